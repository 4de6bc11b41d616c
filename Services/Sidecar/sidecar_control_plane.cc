// Connects the components of the control thread.

#include "Sidecar/sidecar_control_plane.h"

#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kNotifyTimeout{400};

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

SidecarControlPlane::SidecarControlPlane(ControlEnvironment environment,
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
        [this](const InstanceListView& next) { this->OnInstanceList(next); });
  }
  if (environment.log != nullptr) {
    this->crashes = std::make_unique<CrashReporter>(
        environment.timers, *environment.log, instance,
        static_cast<std::uint64_t>(environment.clock.WallNow()),
        [this](const CrashEvidence& evidence) {
          this->NotifyEntries(evidence);
        });
  }
  if (environment.engine == nullptr) {
    return;
  }
  this->engine =
      std::make_unique<EngineWatch>(environment.timers, *environment.engine,
                                    [this] { this->OnEngineReport(); });
  this->upgrader = std::make_unique<EngineUpgrader>(
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
          this->upgrader->SetAuthority(authority);
        });
  }
}

void SidecarControlPlane::Start() {
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

void SidecarControlPlane::ReportCrash(const CrashEvidence& evidence) {
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

void SidecarControlPlane::NotifyEntries(const CrashEvidence& evidence) {
  for (const EntryAddress& entry : this->list_view.entries) {
    for (const std::string& digest : evidence.digests) {
      Json::Value parameters;
      parameters["instance"] = this->settings.place.instance;
      parameters["digest"] = digest;
      parameters["alone"] =
          evidence.lists_all_work && evidence.digests.size() == 1;
      // An entry that misses it reads the evidence from the log later.
      this->environment.peers.Call(entry.address, "report_crash",
                                   std::move(parameters), kNotifyTimeout,
                                   [](const Outcome<Json::Value>&) {});
    }
  }
}

void SidecarControlPlane::OnInstanceList(const InstanceListView& next) {
  if (next.leaving != this->list_view.leaving) {
    Event event;
    event.kind = EventKind::kMembership;
    event.server = this->settings.place.instance;
    event.detail = next.leaving ? "leaving" : "live";
    this->environment.timeline.Record(std::move(event));
  }
  this->list_view = next;
  this->configuration.SetEntries(next.entries);
  this->Publish();
}

void SidecarControlPlane::OnConfiguration() {
  const auto& state = this->configuration.Received().state;
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

void SidecarControlPlane::UpdateTarget() {
  const ReceivedConfiguration& received = this->configuration.Received();
  if (!this->upgrader || !received.version || !received.state) {
    return;
  }
  this->upgrader->SetTarget(*received.version,
                            SwapRulesOf(*received.state, this->settings.pool,
                                        this->settings.backend.model),
                            this->list_view.pool);
}

void SidecarControlPlane::OnEngineReport() {
  if (this->engine->State()) {
    this->upgrader->OnReport(*this->engine->State());
  }
  this->Publish();
}

void SidecarControlPlane::Publish() {
  auto snapshot = std::make_shared<SidecarControlSnapshot>();
  const ReceivedConfiguration& received = this->configuration.Received();
  snapshot->configuration = received.state;
  snapshot->quarantine = received.quarantine;
  snapshot->target_version = received.version;
  snapshot->leaving = this->list_view.leaving;
  snapshot->pool_size = std::max<std::size_t>(1, this->list_view.pool.size());
  if (this->engine) {
    snapshot->engine = this->engine->State();
    snapshot->load = this->engine->Load();
    snapshot->order_state = this->upgrader->State();
  }
  this->listener(std::move(snapshot));
}

}  // namespace carobbank
