// The orders to one engine: at most one is outstanding, its outcome is read
// back from the engine's own report, and an answer is only a hint.
//
//   idle -> issued -> taken | unknown -> confirmed | failed | idle
//   any  -> superseded, when the engine knows a newer holder

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibVersions/order_authority.h"

namespace carobbank {

// What the engine says of itself.
struct EngineReport {
  std::uint64_t version = 0;
  bool loading = false;
  std::string last_order_id;
  bool last_order_failed = false;
  std::uint64_t fencing_token = 0;
  // Grows when the engine restarts.
  std::uint64_t incarnation = 0;
};

struct TargetVersion {
  std::string model;
  std::uint64_t version = 0;
  // The server's turn under a rolling change.
  MonotonicTime not_before;

  bool operator==(const TargetVersion&) const = default;
};

struct VersionOrder {
  std::string order_id;
  std::uint64_t fencing_token = 0;
  std::string model;
  std::uint64_t version = 0;
};

// What the answer to an order says.
enum class OrderAnswer {
  kTaken,
  // Certainly not taken: refused while another order runs, or not sent.
  kNotTaken,
  // The engine knows a newer fencing number.
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
  // An order without a trace in the engine's reports for this long is given up
  // and issued anew under a new id.
  Milliseconds confirmation_timeout{5'000};
  // Between a failed order and the next; doubles with each failure.
  Milliseconds initial_backoff{200};
  Milliseconds maximum_backoff{10'000};
};

class OrderStateMachine {
 public:
  OrderStateMachine(std::string instance, OrderStateMachineOptions options)
      : instance(std::move(instance)), options(options) {}

  void SetTarget(const TargetVersion& target);
  // Nothing: no order is issued, whatever was reported.
  void SetAuthority(std::optional<OrderAuthority> authority);

  void OnReport(const EngineReport& report, MonotonicTime now);
  void OnAnswer(std::string_view order_id,
                OrderAnswer answer,
                MonotonicTime now);

  // The order to send now, if any. Ask again after every input and once in a
  // while; the caller sends it at once.
  std::optional<VersionOrder> IssueNext(MonotonicTime now);

  OrderState State() const { return this->state; }
  std::uint32_t Failures() const { return this->failures; }

 private:
  bool IsOutstanding() const;
  void ReadBack(const EngineReport& report, MonotonicTime now);
  void GiveUp(OrderState next, MonotonicTime retry_at);
  Milliseconds Backoff() const;

  std::string instance;
  OrderStateMachineOptions options;
  OrderState state = OrderState::kIdle;
  std::optional<TargetVersion> target;
  std::optional<OrderAuthority> authority;
  std::optional<EngineReport> report;
  // Invariant: meaningful in kIssued, kTaken and kUnknown only.
  VersionOrder order;
  MonotonicTime issued_at;
  MonotonicTime retry_at;
  std::uint64_t orders_issued = 0;
  std::uint32_t failures = 0;
};

}  // namespace carobbank
