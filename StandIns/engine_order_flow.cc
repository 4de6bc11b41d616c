// The engine stand-in's way through a load_version order: fetch the weights,
// load them, switch.

#include <utility>

#include "StandIns/engine_stand_in.h"

namespace carobbank {

namespace {

constexpr int kFetchAttempts = 20;
constexpr std::int64_t kFetchRetryMs = 500;
constexpr Milliseconds kFetchTimeout{120'000};

struct OrderReply {
  OrderAnswer answer;
  int status;
  std::string_view code;
};

constexpr OrderReply kOrderReplies[] = {
    {OrderAnswer::kTaken, 202, "taken"},
    {OrderAnswer::kRepeated, 202, "repeated"},
    {OrderAnswer::kStaleFencing, 409, "stale_fencing"},
    {OrderAnswer::kInProgress, 409, "order_in_progress"},
};

const OrderReply& ReplyFor(OrderAnswer answer) {
  for (const OrderReply& reply : kOrderReplies) {
    if (reply.answer == answer) {
      return reply;
    }
  }
  return kOrderReplies[0];
}

}  // namespace

void EngineStandIn::HandleOrder(const HttpRequest& request,
                                HttpResponder& responder) {
  const auto order = Capture([&] { return EngineOrder::Parse(request.body); });
  if (!order.Ok()) {
    SendCode(responder, 400, order.GetError().Text());
    return;
  }
  const OrderAnswer answer =
      this->orders.Take(order.Value(), this->settings.checks_fencing);
  if (answer == OrderAnswer::kTaken) {
    this->FetchWeights(kFetchAttempts);
  }
  if (TakeOne(this->settings.lose_order_answers)) {
    responder.Abort();
    return;
  }
  const OrderReply& reply = ReplyFor(answer);
  SendCode(responder, reply.status, reply.code);
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
  // A restart forgets the order, and with it this fetch.
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
  const bool is_known = !outcome.Ok() || outcome.Value().status != 404;
  const bool tries_again = !fetched && is_known && attempts_left > 1;
  if (tries_again) {
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
  const bool succeeds = fetched && !TakeOne(this->settings.fail_orders);
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
  if (order.waits && !this->batch.Running().empty()) {
    return;
  }
  this->weights_are_loaded = false;
  this->settings.model = order.model;
  this->SetVersion(order.version);
  this->orders.End(true);
  // Generations that came meanwhile may wait for the switch alone.
  const bool must_begin =
      !this->batch.IsEmpty() && !this->step_ends_at.has_value();
  if (must_begin) {
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
