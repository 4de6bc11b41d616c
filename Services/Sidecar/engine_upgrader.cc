// Passes orders from the state machine to the engine, and the engine's
// responses and reports back to it.

#include "Sidecar/engine_upgrader.h"

#include <utility>

namespace carobbank {

namespace {

OrderResponse OrderResponseOf(const Outcome<bool>& outcome) {
  if (outcome.Ok()) {
    return OrderResponse::kAccepted;
  }
  switch (outcome.GetError().kind) {
    case ErrorKind::kFenced:
      return OrderResponse::kFenced;
    case ErrorKind::kConflict:
    case ErrorKind::kUnavailable:
    case ErrorKind::kOverloaded:
      return OrderResponse::kNotAccepted;
    default:
      return OrderResponse::kUnknown;
  }
}

EngineReport ReportOf(const EngineState& state) {
  EngineReport report;
  report.version = state.version;
  report.loading = state.loading;
  report.last_order_id = state.last_order_id;
  report.last_order_failed = state.last_order_failed;
  report.fencing_token = state.fencing_token;
  report.incarnation = state.incarnation;
  return report;
}

}  // namespace

SwapRules SwapRulesOf(const ConfigurationState& configuration,
                      std::string_view pool,
                      std::string_view model) {
  SwapRules rules;
  for (const auto& [name, service] : configuration.services) {
    const ServiceDocument& document = service->document;
    const bool applies =
        document.pool == pool && document.model == model && !document.retired;
    if (!applies) {
      continue;
    }
    if (document.swap != SwapStrategy::kInterrupt) {
      rules.mode = SwapMode::kWait;
    }
    if (document.swap == SwapStrategy::kRolling) {
      rules.plan.pace = SwapPace::kRolling;
    }
  }
  return rules;
}

EngineUpgrader::EngineUpgrader(const Clock& clock,
                               EngineControl& engine,
                               EventTimeline& timeline,
                               MetricRegistry& registry,
                               std::string instance,
                               std::string model,
                               std::function<void()> on_fenced)
    : clock(clock),
      engine(engine),
      timeline(timeline),
      registry(registry),
      instance(instance),
      model(std::move(model)),
      on_fenced(std::move(on_fenced)),
      state_machine(std::move(instance), OrderStateMachineOptions()) {}

void EngineUpgrader::SetAuthority(
    const std::optional<OrderAuthority>& authority) {
  this->state_machine.SetAuthority(authority);
  Event event;
  event.kind = EventKind::kLease;
  event.server = this->instance;
  event.detail = authority ? "held" : "yielded";
  event.number =
      authority ? static_cast<std::int64_t>(authority->fencing_token) : -1;
  this->timeline.Record(std::move(event));
  this->Advance();
}

void EngineUpgrader::SetTarget(std::uint64_t version,
                               const SwapRules& rules,
                               const std::vector<std::string>& pool) {
  this->mode = rules.mode;
  if (this->target && this->target->version >= version) {
    return;
  }
  const Milliseconds delay =
      SwapDelay(rules.plan, this->instance, pool, this->model, version);
  this->target = TargetVersion{this->model, version, this->clock.Now() + delay};
  this->state_machine.SetTarget(*this->target);
  this->Advance();
}

void EngineUpgrader::OnReport(const EngineState& state) {
  this->state_machine.OnReport(ReportOf(state), this->clock.Now());
  this->registry.GetGauge(metrics::kWeightVersion, {{"model", this->model}})
      .Set(static_cast<double>(state.version));
  this->Advance();
}

void EngineUpgrader::Advance() {
  if (const auto order = this->state_machine.IssueNext(this->clock.Now())) {
    this->Record("issued", order->version);
    LoadVersionOrder sent;
    sent.order_id = order->order_id;
    sent.fencing_token = order->fencing_token;
    sent.model = order->model;
    sent.version = order->version;
    sent.mode = this->mode;
    this->recorded_state = OrderState::kIssued;
    this->engine.LoadVersion(sent, [this, order_id = order->order_id,
                                    token = std::weak_ptr<bool>(this->alive)](
                                       const Outcome<bool>& outcome) {
      if (!token.expired()) {
        this->OnOrderResponse(order_id, outcome);
      }
    });
  }
  const OrderState state = this->state_machine.State();
  if (state == this->recorded_state) {
    return;
  }
  this->recorded_state = state;
  this->Record(OrderStateName(state), this->target ? this->target->version : 0);
  if (state == OrderState::kSuperseded) {
    this->on_fenced();
  }
}

void EngineUpgrader::OnOrderResponse(const std::string& order_id,
                                     const Outcome<bool>& outcome) {
  this->state_machine.OnOrderResponse(order_id, OrderResponseOf(outcome),
                                      this->clock.Now());
  this->Advance();
}

void EngineUpgrader::Record(std::string_view detail, std::uint64_t version) {
  this->registry
      .GetCounter(metrics::kOrders, {{"outcome", std::string(detail)}})
      .Add();
  Event event;
  event.kind = EventKind::kOrder;
  event.server = this->instance;
  event.detail = detail;
  event.number = static_cast<std::int64_t>(version);
  this->timeline.Record(std::move(event));
}

}  // namespace carobbank
