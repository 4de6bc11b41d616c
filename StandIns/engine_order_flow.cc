// How the engine stand-in executes a load_version order: fetch the weights,
// load them, switch to the new version.

#include <utility>

#include "StandIns/engine_stand_in.h"

namespace carobbank {

namespace {

constexpr int kFetchAttempts = 20;
constexpr std::int64_t kFetchRetryMs = 500;
constexpr Milliseconds kFetchTimeout{120'000};

struct OrderResponse {
  EngineOrderResult result;
  int status;
  std::string_view code;
};

constexpr OrderResponse kOrderResponses[] = {
    {EngineOrderResult::kAccepted, 202, "taken"},
    {EngineOrderResult::kRepeated, 202, "repeated"},
    {EngineOrderResult::kStaleFencing, 409, "stale_fencing"},
    {EngineOrderResult::kInProgress, 409, "order_in_progress"},
};

const OrderResponse& ResponseFor(EngineOrderResult result) {
  for (const OrderResponse& response : kOrderResponses) {
    if (response.result == result) {
      return response;
    }
  }
  return kOrderResponses[0];
}

}  // namespace

void EngineStandIn::HandleOrder(const HttpRequest& request,
                                HttpResponder& responder) {
  const auto order = Capture([&] { return EngineOrder::Parse(request.body); });
  if (!order.Ok()) {
    SendCode(responder, 400, order.GetError().Text());
    return;
  }
  const EngineOrderResult result =
      this->orders.Accept(order.Value(), this->settings.checks_fencing);
  if (result == EngineOrderResult::kAccepted) {
    this->FetchWeights(kFetchAttempts);
  }
  if (ConsumeFault(this->settings.lose_order_answers)) {
    responder.Abort();
    return;
  }
  const OrderResponse& response = ResponseFor(result);
  SendCode(responder, response.status, response.code);
}

void EngineStandIn::FetchWeights(int attempts_left) {
  const EngineOrder& order = *this->orders.InProgress();
  if (this->settings.weight_store.empty()) {
    this->OnWeights(HttpResponse(), attempts_left);
    return;
  }
  HttpClientRequest request;
  request.url = this->settings.weight_store + "/models/" + order.model +
                "/versions/" + std::to_string(order.version);
  request.timeout = kFetchTimeout;
  // After a restart or for another order, the fetch's result is ignored.
  this->client->Fetch(
      std::move(request),
      [this, attempts_left, started = this->incarnation,
       order_id = order.order_id](const Outcome<HttpResponse>& outcome) {
        const auto& current = this->orders.InProgress();
        const bool is_current = started == this->incarnation &&
                                current.has_value() &&
                                current->order_id == order_id;
        if (is_current) {
          this->OnWeights(outcome, attempts_left);
        }
      });
}

void EngineStandIn::OnWeights(const Outcome<HttpResponse>& outcome,
                              int attempts_left) {
  const std::uint64_t started = this->incarnation;
  const bool fetched = outcome.Ok() && outcome.Value().status == 200;
  const bool may_exist = !outcome.Ok() || outcome.Value().status != 404;
  const bool retries = !fetched && may_exist && attempts_left > 1;
  if (retries) {
    this->After(this->ScaledDelay(kFetchRetryMs),
                [this, started, attempts_left] {
                  const bool is_current = started == this->incarnation &&
                                          this->orders.InProgress().has_value();
                  if (is_current) {
                    this->FetchWeights(attempts_left - 1);
                  }
                });
    return;
  }
  const bool succeeds = fetched && !ConsumeFault(this->settings.fail_orders);
  this->After(this->ScaledDelay(this->settings.load_ms),
              [this, started, succeeds] {
                const bool is_current = started == this->incarnation &&
                                        this->orders.InProgress().has_value();
                if (is_current) {
                  this->EndLoading(succeeds);
                }
              });
}

void EngineStandIn::EndLoading(bool succeeded) {
  if (!succeeded) {
    this->orders.End(false);
    if (this->settings.crash_on_failed_order) {
      this->Crash();
    }
    return;
  }
  this->weights_are_loaded = true;
  this->SwitchIfReady();
}

void EngineStandIn::SwitchIfReady() {
  if (!this->weights_are_loaded) {
    return;
  }
  const EngineOrder order = *this->orders.InProgress();
  if (order.waits_for_running && !this->batch.Running().empty()) {
    return;
  }
  this->weights_are_loaded = false;
  this->settings.model = order.model;
  this->SetVersion(order.version);
  this->orders.End(true);
  // Generations that arrived during the load may be waiting only for the
  // switch.
  const bool must_begin_step =
      !this->batch.IsEmpty() && !this->step_ends_at.has_value();
  if (must_begin_step) {
    this->BeginStep();
    this->ScheduleStep();
  }
}

void EngineStandIn::SetVersion(std::uint64_t version) {
  this->version = version;
  this->version_changes.push_back(
      {this->clock.WallNow(), version, this->incarnation});
}

}  // namespace carobbank
