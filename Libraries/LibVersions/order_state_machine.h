// The orders to one engine. At most one order is outstanding. The engine's
// reports decide its outcome; the response to the order is only a hint.
//
//   idle -> issued -> taken | unknown -> confirmed | failed | idle
//   any  -> superseded, when the engine has a newer fencing token

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibVersions/order_authority.h"

namespace carobbank {

// The state that the engine reports.
struct EngineReport {
  std::uint64_t version = 0;
  bool loading = false;
  std::string last_order_id;
  bool last_order_failed = false;
  std::uint64_t fencing_token = 0;
  // Increases when the engine restarts.
  std::uint64_t incarnation = 0;
};

struct TargetVersion {
  std::string model;
  std::uint64_t version = 0;
  // When the server may load under a rolling upgrade.
  MonotonicTime not_before;

  bool operator==(const TargetVersion&) const = default;
};

struct VersionOrder {
  std::string order_id;
  std::uint64_t fencing_token = 0;
  std::string model;
  std::uint64_t version = 0;
};

// The engine's response to an order.
enum class OrderResponse {
  kAccepted,
  // Certainly not accepted: refused while another order runs, or not sent.
  kNotAccepted,
  // The engine has received a newer fencing token.
  kFenced,
  kUnknown,
};

enum class OrderState {
  kIdle,
  kIssued,
  kTaken,
  kUnknown,
  kConfirmed,
  kFailed,
  kSuperseded,
};

std::string_view OrderStateName(OrderState state);

struct OrderStateMachineOptions {
  // An order that the engine's reports don't show for this long is abandoned
  // and issued again under a new id.
  Milliseconds confirmation_timeout{5'000};
  // Delay between a failed order and the next; doubles with each failure.
  Milliseconds initial_backoff{200};
  Milliseconds maximum_backoff{10'000};
};

class OrderStateMachine {
 public:
  OrderStateMachine(std::string instance, OrderStateMachineOptions options)
      : instance(std::move(instance)), options(options) {}

  void SetTarget(const TargetVersion& target);
  // Without an authority no order is issued.
  void SetAuthority(std::optional<OrderAuthority> authority);

  void OnReport(const EngineReport& report, MonotonicTime now);
  void OnOrderResponse(std::string_view order_id,
                       OrderResponse response,
                       MonotonicTime now);

  // Issues the order to send now, if any; the caller sends it immediately. Call
  // after every input and periodically.
  std::optional<VersionOrder> IssueNext(MonotonicTime now);

  OrderState State() const { return this->state; }
  std::uint32_t Failures() const { return this->failures; }

 private:
  bool IsOutstanding() const;
  void ApplyReport(const EngineReport& report, MonotonicTime now);
  void TransitionTo(OrderState next, MonotonicTime retry_at);
  Milliseconds Backoff() const;

  std::string instance;
  OrderStateMachineOptions options;
  OrderState state = OrderState::kIdle;
  std::optional<TargetVersion> target;
  std::optional<OrderAuthority> authority;
  std::optional<EngineReport> report;
  // Invariant: valid in kIssued, kTaken and kUnknown only.
  VersionOrder order;
  MonotonicTime issued_at;
  MonotonicTime retry_at;
  std::uint64_t orders_issued = 0;
  std::uint32_t failures = 0;
};

}  // namespace carobbank
