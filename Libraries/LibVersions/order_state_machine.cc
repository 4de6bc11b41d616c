// Transitions of the order state machine.

#include "LibVersions/order_state_machine.h"

#include <algorithm>

namespace carobbank {

std::string_view OrderStateName(OrderState state) {
  switch (state) {
    case OrderState::kIdle:
      return "idle";
    case OrderState::kIssued:
      return "issued";
    case OrderState::kTaken:
      return "taken";
    case OrderState::kUnknown:
      return "unknown";
    case OrderState::kConfirmed:
      return "confirmed";
    case OrderState::kFailed:
      return "failed";
    case OrderState::kSuperseded:
      return "superseded";
  }
  return "idle";
}

void OrderStateMachine::SetTarget(const TargetVersion& target) {
  if (this->target == target) {
    return;
  }
  const bool rises = !this->target || this->target->version < target.version ||
                     this->target->model != target.model;
  this->target = target;
  if (rises && !this->IsOutstanding() &&
      this->state != OrderState::kSuperseded) {
    this->failures = 0;
    this->TransitionTo(OrderState::kIdle, MonotonicTime::min());
  }
}

void OrderStateMachine::SetAuthority(std::optional<OrderAuthority> authority) {
  const bool newer =
      authority && (!this->authority ||
                    authority->fencing_token > this->authority->fencing_token);
  this->authority = authority;
  if (newer && this->state == OrderState::kSuperseded) {
    this->TransitionTo(OrderState::kIdle, MonotonicTime::min());
  }
}

bool OrderStateMachine::IsOutstanding() const {
  return this->state == OrderState::kIssued ||
         this->state == OrderState::kTaken ||
         this->state == OrderState::kUnknown;
}

void OrderStateMachine::OnReport(const EngineReport& report,
                                 MonotonicTime now) {
  const bool restarted =
      this->report && this->report->incarnation != report.incarnation;
  this->report = report;
  if (restarted && this->IsOutstanding()) {
    // The restart aborted the order.
    this->TransitionTo(OrderState::kIdle, now);
  }
  if (this->authority &&
      report.fencing_token > this->authority->fencing_token) {
    this->TransitionTo(OrderState::kSuperseded, MonotonicTime::max());
    return;
  }
  this->ApplyReport(report, now);
}

void OrderStateMachine::ApplyReport(const EngineReport& report,
                                    MonotonicTime now) {
  if (!this->target || this->state == OrderState::kSuperseded) {
    return;
  }
  if (this->IsOutstanding() && report.last_order_id == this->order.order_id) {
    if (report.last_order_failed) {
      ++this->failures;
      this->TransitionTo(OrderState::kFailed, now + this->Backoff());
    } else {
      this->failures = 0;
      this->TransitionTo(OrderState::kIdle, now);
    }
  }
  if (this->IsOutstanding()) {
    const bool unconfirmed =
        !report.loading &&
        now - this->issued_at >= this->options.confirmation_timeout;
    if (unconfirmed) {
      this->TransitionTo(OrderState::kIdle, now);
    }
    return;
  }
  // An engine beyond the target got a newer version from a newer sidecar.
  // Returning to the target version would make every sample staler.
  const bool reached =
      !report.loading && report.version >= this->target->version;
  if (reached) {
    this->state = OrderState::kConfirmed;
  } else if (this->state == OrderState::kConfirmed) {
    // A late order of an earlier lease holder, or a restart, reverted the
    // version.
    this->TransitionTo(OrderState::kIdle, now);
  }
}

void OrderStateMachine::OnOrderResponse(std::string_view order_id,
                                        OrderResponse response,
                                        MonotonicTime now) {
  if (this->state != OrderState::kIssued || order_id != this->order.order_id) {
    return;
  }
  switch (response) {
    case OrderResponse::kAccepted:
      this->state = OrderState::kTaken;
      break;
    case OrderResponse::kUnknown:
      this->state = OrderState::kUnknown;
      break;
    case OrderResponse::kNotAccepted:
      ++this->failures;
      this->TransitionTo(OrderState::kFailed, now + this->Backoff());
      break;
    case OrderResponse::kFenced:
      this->TransitionTo(OrderState::kSuperseded, MonotonicTime::max());
      break;
  }
}

std::optional<VersionOrder> OrderStateMachine::IssueNext(MonotonicTime now) {
  const bool may_issue =
      this->state == OrderState::kIdle || this->state == OrderState::kFailed;
  if (!may_issue || !this->target || !this->report || !this->authority) {
    return std::nullopt;
  }
  const bool wanted =
      !this->report->loading && this->report->version < this->target->version;
  const bool due = now >= this->retry_at && now >= this->target->not_before;
  if (!wanted || !due || !this->authority->IsValidAt(now)) {
    return std::nullopt;
  }
  ++this->orders_issued;
  this->order.order_id = this->instance + "/" +
                         std::to_string(this->authority->fencing_token) + "/" +
                         std::to_string(this->orders_issued);
  this->order.fencing_token = this->authority->fencing_token;
  this->order.model = this->target->model;
  this->order.version = this->target->version;
  this->issued_at = now;
  this->state = OrderState::kIssued;
  return this->order;
}

void OrderStateMachine::TransitionTo(OrderState next, MonotonicTime retry_at) {
  this->state = next;
  this->retry_at = retry_at;
}

Milliseconds OrderStateMachine::Backoff() const {
  const std::uint32_t doublings =
      std::min<std::uint32_t>(this->failures > 0 ? this->failures - 1 : 0, 16);
  return std::min(
      this->options.initial_backoff * (std::int64_t{1} << doublings),
      this->options.maximum_backoff);
}

}  // namespace carobbank
