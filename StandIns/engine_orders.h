// The stand-in engine's load_version orders: acceptance, fencing and outcome.
// Has no clock or I/O.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

struct EngineOrder {
  std::string order_id;
  std::uint64_t fencing_token = 0;
  std::string model;
  std::uint64_t version = 0;
  // Whether running generations first end on the old version.
  bool waits_for_running = false;

  // Fails with kInvalidArgument.
  static Result<EngineOrder> Parse(std::string_view body);
};

enum class EngineOrderResult {
  kAccepted,
  // The order is a duplicate of the one in progress or of the last one; it has
  // no further effect.
  kRepeated,
  // The fencing token is lower than one seen before.
  kStaleFencing,
  // Another order is in progress.
  kInProgress,
};

class EngineOrders {
 public:
  EngineOrderResult Accept(const EngineOrder& order, bool checks_fencing);
  // Ends the order in progress, which must exist.
  void End(bool succeeded);
  // Clears all orders and the fencing token, as an engine restart does.
  void Clear();

  const std::optional<EngineOrder>& InProgress() const {
    return this->in_progress;
  }
  // Adds the order members of GET /state.
  void WriteState(Json::Value& state) const;

 private:
  std::optional<EngineOrder> in_progress;
  std::string last_order_id;
  bool last_order_failed = false;
  // Invariant: decreases only in Clear().
  std::uint64_t highest_fencing_token = 0;
};

}  // namespace carobbank
