// Wiring of the control thread's parts.

#include "Sidecar/control_state.h"

#include <utility>

namespace carobbank {

namespace {

LeaseOptions LeaseOptionsOf(const SidecarSettings& settings,
                            const Clock& clock) {
  LeaseOptions options;
  options.instance = settings.place.instance;
  options.incarnation = static_cast<std::uint64_t>(clock.WallNow());
  options.terms.duration = Milliseconds(settings.lease.duration_ms);
  options.terms.margin = Milliseconds(settings.lease.margin_ms);
  options.renew_interval = Milliseconds(settings.lease.renew_ms);
  options.engine_checks_fencing = settings.backend.checks_fencing;
  return options;
}

}  // namespace

ControlState::ControlState(ControlEnvironment environment,
                           const SidecarSettings& settings,
                           Listener listener)
    : environment(environment),
      settings(settings),
      listener(std::move(listener)),
      configuration(environment.timers,
                    environment.peers,
                    settings.place.instance,
                    settings.backend.model,
                    [this] { this->OnConfiguration(); }) {
  const std::string& instance = settings.place.instance;
  if (environment.list != nullptr) {
    this->instances = std::make_unique<InstanceWatch>(
        environment.timers, *environment.list, instance, settings.pool,
        [this](const Neighbourhood& next) { this->OnNeighbourhood(next); });
  }
  if (environment.log != nullptr) {
    this->crashes = std::make_unique<CrashReporter>(
        environment.timers, *environment.log, instance,
        static_cast<std::uint64_t>(environment.clock.WallNow()));
  }
  if (environment.engine == nullptr) {
    return;
  }
  this->engine =
      std::make_unique<EngineWatch>(environment.timers, *environment.engine,
                                    [this] { this->OnEngineReport(); });
  this->orders = std::make_unique<OrderKeeper>(
      environment.clock, *environment.engine, environment.timeline,
      environment.registry, instance, settings.backend.model, [this] {
        if (this->lease) {
          this->lease->OnFenced();
        }
      });
  if (environment.log != nullptr) {
    this->lease = std::make_unique<LeaseKeeper>(
        environment.timers, environment.clock, *environment.log,
        LeaseOptionsOf(settings, environment.clock),
        [this](const std::optional<OrderAuthority>& authority) {
          this->orders->SetAuthority(authority);
        });
  }
}

void ControlState::Start() {
  if (this->instances) {
    this->instances->Start();
  }
  if (this->engine) {
    this->engine->Start();
  }
  if (this->lease) {
    this->lease->Start();
  }
}

void ControlState::ReportCrash(const CrashEvidence& evidence) {
  for (const std::string& digest : evidence.digests) {
    Event event;
    event.kind = EventKind::kQuarantine;
    event.server = this->settings.place.instance;
    event.detail = "crashed while it ran " + digest;
    this->environment.timeline.Record(std::move(event));
  }
  if (this->crashes) {
    this->crashes->Report(evidence);
  }
}

void ControlState::OnNeighbourhood(const Neighbourhood& next) {
  if (next.leaving != this->neighbourhood.leaving) {
    Event event;
    event.kind = EventKind::kMembership;
    event.server = this->settings.place.instance;
    event.detail = next.leaving ? "leaving" : "live";
    this->environment.timeline.Record(std::move(event));
  }
  this->neighbourhood = next;
  this->configuration.SetEntries(next.entries);
  this->Publish();
}

void ControlState::OnConfiguration() {
  const auto& state = this->configuration.Learned().state;
  if (state && state->offset > this->recorded_offset) {
    this->recorded_offset = state->offset;
    Event event;
    event.kind = EventKind::kConfiguration;
    event.detail = state->digest;
    event.number = state->offset;
    this->environment.timeline.Record(std::move(event));
    this->environment.registry.GetGauge(metrics::kConfigurationOffset)
        .Set(static_cast<double>(state->offset));
  }
  this->UpdateTarget();
  this->Publish();
}

void ControlState::UpdateTarget() {
  const LearnedConfiguration& learned = this->configuration.Learned();
  if (!this->orders || !learned.version || !learned.state) {
    return;
  }
  this->orders->SetTarget(*learned.version,
                          SwapRulesOf(*learned.state, this->settings.pool,
                                      this->settings.backend.model),
                          this->neighbourhood.pool);
}

void ControlState::OnEngineReport() {
  if (this->engine->State()) {
    this->orders->OnReport(*this->engine->State());
  }
  this->Publish();
}

void ControlState::Publish() {
  auto snapshot = std::make_shared<ControlSnapshot>();
  const LearnedConfiguration& learned = this->configuration.Learned();
  snapshot->configuration = learned.state;
  snapshot->quarantine = learned.quarantine;
  snapshot->target_version = learned.version;
  snapshot->leaving = this->neighbourhood.leaving;
  snapshot->pool_size =
      std::max<std::size_t>(1, this->neighbourhood.pool.size());
  if (this->engine) {
    snapshot->engine = this->engine->State();
    snapshot->load = this->engine->Load();
    snapshot->order_state = this->orders->State();
  }
  this->listener(std::move(snapshot));
}

}  // namespace carobbank
