// The stand-in engine's orders: which one is taken, and how it ended. Pure.

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
  // Whether running generations end on the old version first.
  bool waits = false;

  // Fails with kInvalidArgument.
  static Result<EngineOrder> Parse(std::string_view body);
};

enum class OrderAnswer {
  kTaken,
  // The same order came again; nothing new begins.
  kRepeated,
  kStaleFencing,
  kInProgress,
};

class EngineOrders {
 public:
  OrderAnswer Take(const EngineOrder& order, bool checks_fencing);
  // Ends the order in progress, which must exist.
  void End(bool succeeded);
  // A restarted engine knows no order and no fencing number.
  void Forget();

  const std::optional<EngineOrder>& InProgress() const {
    return this->in_progress;
  }
  // Adds the members of GET /state that tell about orders.
  void Show(Json::Value& state) const;

 private:
  std::optional<EngineOrder> in_progress;
  std::string last_order_id;
  bool last_order_failed = false;
  // Invariant: never decreases but in Forget().
  std::uint64_t highest_fencing = 0;
};

}  // namespace carobbank
