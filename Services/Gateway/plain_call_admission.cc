// Queues by service, their timers, counters and log lines.

#include "plain_call_admission.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr Milliseconds kSlotsPeriod{100};
// Without a waiting call for this long, queueing at the service has ended.
constexpr Milliseconds kQueueingEnd{2'000};

std::string KeyOf(const CallToAdmit& call) {
  std::string key(call.workspace);
  key += '\n';
  key += call.digest;
  return key;
}

}  // namespace

struct AdmissionPass::Service {
  Service(std::string_view name, AdmissionBudget& budget)
      : name(name), queue(budget) {}

  std::string name;
  AdmissionQueue queue;
  // Invariant: the passes of exactly the queued calls.
  std::map<AdmissionId, AdmissionPass*> waiting;
  MonotonicTime slots_read = MonotonicTime::min();
  bool pump_posted = false;
  std::unique_ptr<Timer> expiry_timer;
  MonotonicTime expiry_due;
  // From the first waiting call until none has waited for kQueueingEnd.
  bool queueing = false;
  MonotonicTime queueing_since;
  MonotonicTime last_queued;
  std::uint64_t waited = 0;
  std::uint64_t refused = 0;
  std::unique_ptr<Timer> queueing_timer;
};

AdmissionPass::AdmissionPass(PlainCallAdmission& admission,
                             Service& service,
                             const CallToAdmit& call)
    : admission(admission),
      service(service),
      route(call.route),
      objective(call.objective),
      key(KeyOf(call)),
      arrived(admission.environment.clock.Now()),
      deadline(call.deadline),
      asked_at(this->arrived),
      sent_at(this->arrived) {
  if (const auto first = admission.refused.Take(this->key, this->asked_at)) {
    this->arrived = *first;
  }
}

AdmissionPass::~AdmissionPass() {
  const MonotonicTime now = this->admission.environment.clock.Now();
  switch (this->state) {
    case AdmissionState::kWait:
      this->service.queue.Remove(this->id, now);
      this->service.waiting.erase(this->id);
      this->admission.Count(this->service, "withdrawn");
      break;
    case AdmissionState::kSend: {
      const auto held =
          std::chrono::duration_cast<Milliseconds>(now - this->sent_at);
      this->service.queue.End(
          this->route,
          this->answered ? std::optional<Milliseconds>(held) : std::nullopt);
      break;
    }
    case AdmissionState::kRefused:
      return;
  }
  this->admission.PostPump(this->service);
}

Milliseconds AdmissionPass::Refuse() {
  const MonotonicTime now = this->admission.environment.clock.Now();
  this->admission.refused.Remember(this->key, this->arrived, now);
  ++this->service.refused;
  const auto left =
      std::chrono::duration_cast<Milliseconds>(this->deadline - now);
  return RetryAfterRefusal(this->wait.value_or(this->service.queue.DrainTime()),
                           left, this->admission.environment.random);
}

void AdmissionPass::OnRefused(MonotonicTime attempt_began) {
  if (this->state == AdmissionState::kSend) {
    this->service.queue.OnRefused(attempt_began,
                                  this->admission.environment.clock.Now());
  }
}

void AdmissionPass::OnAnswered(MonotonicTime attempt_began, bool streamed) {
  if (this->state != AdmissionState::kSend) {
    return;
  }
  this->answered = true;
  const MonotonicTime now = this->admission.environment.clock.Now();
  if (streamed) {
    this->service.queue.OnStreamed(this->route, attempt_began, now);
  } else {
    this->service.queue.OnAnswered(this->route, this->objective, attempt_began,
                                   now);
  }
}

PlainCallAdmission::PlainCallAdmission(GatewayEnvironment& environment)
    : environment(environment) {}

PlainCallAdmission::~PlainCallAdmission() = default;

std::unique_ptr<AdmissionPass> PlainCallAdmission::Ask(
    const CallToAdmit& call,
    AdmissionPass::Callback decided) {
  Service& service = this->EnsureService(call.service);
  auto pass =
      std::unique_ptr<AdmissionPass>(new AdmissionPass(*this, service, call));
  const MonotonicTime now = pass->asked_at;
  this->UpdateSlots(service, now);
  AdmissionCall asked;
  asked.route = call.route;
  asked.workspace = call.workspace;
  asked.priority = {call.workspace_priority.value_or(call.route_priority),
                    call.route_priority};
  asked.bytes = call.bytes;
  asked.deadline = call.deadline;
  asked.arrived = pass->arrived;
  const AdmissionDecision decision = service.queue.Ask(asked, now);
  if (decision.shed) {
    this->EndWait(service, *decision.shed, AdmissionState::kRefused, "shed");
  }
  switch (decision.verdict) {
    case AdmissionVerdict::kSend:
      return pass;
    case AdmissionVerdict::kWait:
      pass->state = AdmissionState::kWait;
      pass->id = decision.id;
      pass->decided = std::move(decided);
      service.waiting.emplace(decision.id, pass.get());
      this->OnQueued(service);
      return pass;
    case AdmissionVerdict::kTooLate:
      this->Count(service, "too_late");
      break;
    case AdmissionVerdict::kQueueFull:
      this->Count(service, "queue_full");
      break;
  }
  pass->state = AdmissionState::kRefused;
  pass->wait = decision.wait;
  return pass;
}

bool PlainCallAdmission::Congested(std::string_view service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         found->second->queue.Congested(this->environment.clock.Now());
}

PlainCallAdmission::Service& PlainCallAdmission::EnsureService(
    std::string_view name) {
  const auto found = this->services.find(name);
  if (found != this->services.end()) {
    return *found->second;
  }
  return *this->services
              .emplace(std::string(name),
                       std::make_unique<Service>(name, this->budget))
              .first->second;
}

void PlainCallAdmission::UpdateSlots(Service& service, MonotonicTime now) {
  if (service.slots_read != MonotonicTime::min() &&
      now - service.slots_read < kSlotsPeriod) {
    return;
  }
  service.slots_read = now;
  std::int64_t slots = 0;
  for (const FleetServer* const server :
       this->environment.fleet.Eligible(service.name)) {
    slots += std::max<std::int64_t>(server->slots, 1);
  }
  service.queue.SetSlots(slots);
}

void PlainCallAdmission::PostPump(Service& service) {
  if (service.waiting.empty() || std::exchange(service.pump_posted, true)) {
    return;
  }
  this->environment.loop.Post([this, &service] {
    service.pump_posted = false;
    this->Pump(service);
  });
}

void PlainCallAdmission::Pump(Service& service) {
  const MonotonicTime now = this->environment.clock.Now();
  this->UpdateSlots(service, now);
  for (const AdmissionId id : service.queue.TakeExpired(now)) {
    this->EndWait(service, id, AdmissionState::kRefused, "expired");
  }
  while (const auto id = service.queue.TakeNext(now)) {
    this->EndWait(service, *id, AdmissionState::kSend, "waited");
  }
  this->ScheduleExpiry(service);
  this->Report(service);
}

void PlainCallAdmission::EndWait(Service& service,
                                 AdmissionId id,
                                 AdmissionState state,
                                 std::string_view outcome) {
  const auto found = service.waiting.find(id);
  if (found == service.waiting.end()) {
    return;
  }
  AdmissionPass& pass = *found->second;
  service.waiting.erase(found);
  this->Count(service, outcome);
  pass.state = state;
  pass.sent_at = this->environment.clock.Now();
  if (state == AdmissionState::kSend) {
    ++service.waited;
    this->environment.metrics
        .GetTiming(metrics::kAdmissionWaitTime, {{"service", service.name}})
        .Record(pass.sent_at - pass.asked_at);
  }
  // The callback may destroy the pass.
  const AdmissionPass::Callback decided = std::move(pass.decided);
  decided(state);
}

void PlainCallAdmission::ScheduleExpiry(Service& service) {
  const std::optional<MonotonicTime> next = service.queue.NextExpiry();
  if (!next) {
    service.expiry_timer.reset();
    return;
  }
  if (service.expiry_timer && service.expiry_due <= *next) {
    return;
  }
  service.expiry_due = *next;
  const auto delay =
      std::chrono::ceil<Milliseconds>(*next - this->environment.clock.Now());
  service.expiry_timer = this->environment.loop.CallAfter(
      std::max(delay, Milliseconds(1)), [this, &service] {
        service.expiry_timer.reset();
        this->Pump(service);
      });
}

void PlainCallAdmission::OnQueued(Service& service) {
  service.last_queued = this->environment.clock.Now();
  this->ScheduleExpiry(service);
  this->Report(service);
  if (service.queueing) {
    return;
  }
  service.queueing = true;
  service.queueing_since = service.last_queued;
  service.waited = 0;
  service.refused = 0;
  WriteLog(LogLevel::kInfo, "plain calls wait: their service is overloaded",
           {{"service", service.name},
            {"limit", std::to_string(service.queue.Limit())},
            {"in_flight", std::to_string(service.queue.InFlight())}});
  this->CheckQueueingEnded(service);
}

void PlainCallAdmission::CheckQueueingEnded(Service& service) {
  const MonotonicTime now = this->environment.clock.Now();
  if (!service.waiting.empty() || now - service.last_queued < kQueueingEnd) {
    service.queueing_timer = this->environment.loop.CallAfter(
        kQueueingEnd, [this, &service] { this->CheckQueueingEnded(service); });
    return;
  }
  service.queueing = false;
  const auto lasted =
      std::chrono::duration_cast<Milliseconds>(now - service.queueing_since);
  WriteLog(LogLevel::kInfo, "plain calls no longer wait",
           {{"service", service.name},
            {"lasted_ms", std::to_string(lasted.count())},
            {"waited", std::to_string(service.waited)},
            {"refused", std::to_string(service.refused)}});
}

void PlainCallAdmission::Report(const Service& service) {
  const MetricLabels labels = {{"service", service.name}};
  this->environment.metrics.GetGauge(metrics::kAdmissionQueue, labels)
      .Set(static_cast<double>(service.queue.Queued()));
  this->environment.metrics.GetGauge(metrics::kAdmissionLimit, labels)
      .Set(service.queue.Limit());
}

void PlainCallAdmission::Count(const Service& service,
                               std::string_view outcome) {
  this->environment.metrics
      .GetCounter(metrics::kAdmissionCalls, {{"service", service.name},
                                             {"outcome", std::string(outcome)}})
      .Add();
}

}  // namespace carobbank
