// An in-memory EngineControl with switchable faults. An accepted order ends
// when the test calls FinishOrder().

#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibPlatform/platform.h"

namespace carobbank {

class FakeEngineControl final : public EngineControl {
 public:
  // Calls fail with kUnavailable and have no effect.
  bool outage = false;
  // The next N orders are accepted and fail with kOutcomeUnknown.
  std::size_t lost_answers = 0;
  // The next N orders have no effect and fail with kOutcomeUnknown.
  std::size_t lost_requests = 0;
  // Whether orders with a lower fencing token than an earlier one are rejected.
  bool checks_fencing = true;

  EngineState state;
  EngineLoad load;
  CacheEvents cache_events;
  std::vector<std::string> cancelled_attempts;
  // Every order that took effect, oldest first.
  std::vector<LoadVersionOrder> taken_orders;

  void ReadState(StateCallback callback) override {
    this->Report(this->state, callback);
  }

  void ReadLoad(LoadCallback callback) override {
    this->Report(this->load, callback);
  }

  void ReadCacheEvents(std::uint64_t from, CacheCallback callback) override {
    CacheEvents page;
    page.first_retained = this->cache_events.first_retained;
    for (const CacheEvent& event : this->cache_events.events) {
      if (event.sequence >= from) {
        page.events.push_back(event);
      }
    }
    this->Report(page, callback);
  }

  void LoadVersion(const LoadVersionOrder& order,
                   OrderCallback callback) override {
    callback(this->Accept(order));
  }

  void Cancel(std::string_view attempt_id) override {
    if (!this->outage) {
      this->cancelled_attempts.emplace_back(attempt_id);
    }
  }

  // Ends the order in progress, if there is one.
  void FinishOrder(bool succeeds = true) {
    if (!this->running_order.has_value()) {
      return;
    }
    this->state.loading = false;
    this->state.last_order_id = this->running_order->order_id;
    this->state.last_order_failed = !succeeds;
    if (succeeds) {
      this->state.model = this->running_order->model;
      this->state.version = this->running_order->version;
    }
    this->running_order.reset();
  }

  // Restarts the engine on `version`; orders and the fencing token are cleared.
  void Restart(std::uint64_t version) {
    EngineState fresh;
    fresh.model = this->state.model;
    fresh.version = version;
    fresh.incarnation = this->state.incarnation + 1;
    this->state = fresh;
    this->running_order.reset();
  }

 private:
  template <typename Value, typename Callback>
  void Report(const Value& value, const Callback& callback) {
    if (this->outage) {
      callback(Unavailable());
      return;
    }
    callback(value);
  }

  static Error Unavailable() {
    return Error{ErrorKind::kUnavailable, "the fake engine is down",
                 "call it again later"};
  }

  static Error LostResponse() {
    return Error{ErrorKind::kOutcomeUnknown, "the response was lost",
                 "read the engine's state"};
  }

  Outcome<bool> Accept(const LoadVersionOrder& order) {
    if (this->outage) {
      return Unavailable();
    }
    if (this->lost_requests > 0) {
      --this->lost_requests;
      return LostResponse();
    }
    const bool stale = order.fencing_token < this->state.fencing_token;
    if (this->checks_fencing && stale) {
      return Error{ErrorKind::kFenced,
                   "an order with a higher fencing token was accepted",
                   "send no more orders to this engine"};
    }
    this->state.fencing_token =
        std::max(this->state.fencing_token, order.fencing_token);
    if (this->IsRepeated(order)) {
      return true;
    }
    if (this->running_order.has_value()) {
      return Error{ErrorKind::kConflict, "another order is in progress",
                   "wait until the engine's state reports its end"};
    }
    this->Begin(order);
    if (this->lost_answers > 0) {
      --this->lost_answers;
      return LostResponse();
    }
    return true;
  }

  bool IsRepeated(const LoadVersionOrder& order) const {
    if (this->running_order.has_value()) {
      return this->running_order->order_id == order.order_id;
    }
    return !order.order_id.empty() &&
           this->state.last_order_id == order.order_id;
  }

  void Begin(const LoadVersionOrder& order) {
    this->state.loading = true;
    this->running_order = order;
    this->taken_orders.push_back(order);
  }

  std::optional<LoadVersionOrder> running_order;
};

}  // namespace carobbank
