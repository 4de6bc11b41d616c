// Construction, snapshots and drain of the entry process.

#include "entry.h"

#include <csignal>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kMillisecondsPerSecond{1'000};
constexpr Milliseconds kDrainCheck{50};
constexpr Milliseconds kOwnerTimeout{1'500};

RouterOptions RouterOptionsOf(const EntrySettings& settings) {
  RouterOptions options;
  const RoutingStrategy strategy = settings.routing.strategy;
  options.strategy = strategy == RoutingStrategy::kLeastLoadedOfTwo
                         ? "two_choices"
                         : std::string(RoutingStrategyName(strategy));
  return options;
}

// Callers may connect over TLS; peers never do.
HttpServerOptions CallerServerOptionsOf(const EntrySettings& settings) {
  HttpServerOptions options = ServerOptionsOf(settings.place, settings.limits);
  options.certificate_file = settings.tls.certificate_file;
  options.private_key_file = settings.tls.private_key_file;
  return options;
}

std::uint64_t SeedOf(const EntrySettings& settings) {
  return settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                            : SeedFromSystem();
}

}  // namespace

Entry::Entry(EntrySettings given, PeerProofVerifier verifier)
    : settings(std::move(given)),
      random(SeedOf(this->settings)),
      timeline(this->clock,
               {this->settings.place.instance, this->settings.place.data_center,
                static_cast<std::size_t>(this->settings.log.timeline_events)}),
      metrics(this->clock),
      signer(this->settings.peer.secret),
      verifier(std::move(verifier)),
      control(std::make_shared<const EntryControlSnapshot>()),
      client(HttpClient::Create(
          this->traffic_loop,
          ClientOptionsOf(this->settings.limits, this->metrics))),
      log(CreateHttpLogClient(*this->client, this->settings.platform.log_url)),
      sender(*this->client, this->clock, this->signer, this->timeline),
      peers(*this->client, this->clock, this->signer, this->timeline),
      pools(this->clock,
            this->random,
            this->timeline,
            RouterOptionsOf(this->settings)),
      limiters(this->clock,
               this->random,
               this->metrics,
               this->settings.limits.streams_per_caller),
      generation{this->traffic_loop, this->clock, this->random,
                 this->sender,       this->pools, this->limiters},
      rollouts{
          this->generation,
          this->pools,
          *this->log,
          this->timeline,
          this->metrics,
          this->settings.place.instance,
          this->CommitterOptions(),
          this->Retention(),
          [this](std::string_view service) { return this->PolicyOf(service); },
          [this](std::string_view owner,
                 std::string_view service,
                 std::string_view request_id,
                 std::function<void(OwnerStatus)> done) {
            this->QueryOwner(owner, service, request_id, done);
          }},
      keys({this->traffic_loop, this->clock, this->random, *this->log,
            this->timeline, this->metrics, this->CommitterOptions(),
            this->Retention(), LongestKeyWindow(this->Retention())}),
      versions({this->traffic_loop, this->clock, this->random, *this->log,
                this->metrics},
               std::string(kVersionStream),
               this->CommitterOptions()),
      calls{this->traffic_loop,
            this->clock,
            this->random,
            this->settings,
            this->timeline,
            this->metrics,
            this->sender,
            this->pools,
            this->generation,
            this->limiters,
            this->keys,
            this->versions,
            [this](std::string_view service) -> StepService& {
              return this->StepsOf(service);
            },
            this->control},
      peer_methods(
          this->traffic_loop,
          this->control,
          [this](std::string_view service) -> StepService& {
            return this->StepsOf(service);
          },
          {[this](const ServerCrash& crash) {
             this->control_loop.Post(
                 [this, crash] { this->control_plane->OnPeerCrash(crash); });
           },
           [this](std::string_view digest) {
             this->control_loop.Post([this, digest = std::string(digest)] {
               this->control_plane->OnDigestCleared(digest);
             });
           }}) {}

Entry::~Entry() = default;

GroupCommitterOptions Entry::CommitterOptions() const {
  GroupCommitterOptions options;
  // Minimum interval between appends to one stream. Only a handful of streams
  // are written at a time, so that together they stay within the entry's share
  // of the log's append rate.
  options.minimum_interval =
      kMillisecondsPerSecond / this->settings.log_append_share_per_s;
  return options;
}

RetentionOptions Entry::Retention() const {
  RetentionOptions options;
  options.retention =
      this->settings.platform.log_retention_s * kMillisecondsPerSecond;
  return options;
}

Result<std::unique_ptr<Entry>> Entry::Create(EntrySettings settings) {
  BOOST_LEAF_AUTO(verifier,
                  PeerProofVerifier::Create(
                      {settings.peer.secret, settings.peer.previous_secret}));
  std::unique_ptr<Entry> entry(
      new Entry(std::move(settings), std::move(verifier)));
  BOOST_LEAF_CHECK(entry->Listen());
  return entry;
}

Result<void> Entry::Listen() {
  BOOST_LEAF_ASSIGN(
      this->server,
      HttpServer::Create(
          this->traffic_loop, CallerServerOptionsOf(this->settings),
          [this](HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) {
            this->Handle(std::move(request), std::move(responder));
          }));
  return {};
}

void Entry::Run() {
  this->pools.SetCrashListener([this](const ServerCrash& crash) {
    this->control_loop.Post(
        [this, crash] { this->control_plane->ReportCrash(crash); });
  });
  this->pools.SetClearedListener([this](std::string_view digest) {
    this->control_loop.Post([this, digest = std::string(digest)] {
      this->control_plane->ReportFinished(digest);
    });
  });
  this->control_plane = std::make_unique<EntryControlPlane>(
      this->control_loop, this->clock, this->settings, this->signer,
      this->timeline, this->metrics,
      [this](std::shared_ptr<const EntryControlSnapshot> snapshot) {
        this->traffic_loop.Post([this, snapshot = std::move(snapshot)] {
          this->OnSnapshot(snapshot);
        });
      });
  this->control_loop.Post([this] { this->control_plane->Start(); });
  this->traffic_loop.Post([this] { this->keys.Start(); });
  for (const int signal_number : {SIGTERM, SIGINT}) {
    this->traffic_loop.OnSignal(signal_number, [this] { this->BeginDrain(); });
  }
  WriteLog(LogLevel::kInfo, "entry serving",
           {{"address", this->settings.place.address + ":" +
                            std::to_string(this->server->Port())},
            {"data_center", this->settings.place.data_center}});
  this->control_thread = std::thread([this] { this->control_loop.Run(); });
  this->traffic_loop.Run();
  this->control_loop.Stop();
  this->control_thread.join();
  WriteLog(LogLevel::kInfo, "entry ended");
}

void Entry::OnSnapshot(std::shared_ptr<const EntryControlSnapshot> snapshot) {
  const bool first = this->control->configuration->offset == kNoRevision &&
                     snapshot->configuration->offset != kNoRevision;
  this->control = std::move(snapshot);
  const auto applied = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->pools.ApplyServers(this->control->servers,
                                              this->control->watched));
    return true;
  });
  if (!applied.Ok()) {
    WriteLog(LogLevel::kError,
             "server list not applied; routing keeps the previous servers",
             {{"error", applied.GetError().Text()}});
  }
  this->pools.ApplyQuarantine(this->control->quarantined);
  this->pools.ApplyCrashes(this->control->crashes);
  this->peer_methods.OnSnapshot();
  if (first) {
    WriteLog(
        LogLevel::kInfo, "configuration in force",
        {{"offset", std::to_string(this->control->configuration->offset)}});
  }
}

StepService& Entry::StepsOf(std::string_view service) {
  const auto found = this->steps.find(service);
  if (found != this->steps.end()) {
    return *found->second;
  }
  const std::string name(service);
  auto created = std::make_unique<StepService>(this->rollouts, name);
  StepService& made = *created;
  this->steps.emplace(name, std::move(created));
  made.Start();
  return made;
}

std::optional<StepPolicy> Entry::PolicyOf(std::string_view service) const {
  const auto found = this->control->configuration->services.find(service);
  if (found == this->control->configuration->services.end()) {
    return std::nullopt;
  }
  const ServiceDocument& document = found->second->document;
  StepPolicy policy;
  policy.service = document.name;
  policy.pool = document.pool;
  policy.service_class = RouteClassOf(document.service_class);
  policy.attempt_deadline = Milliseconds(document.limits.deadline_ms);
  policy.configuration_offset =
      static_cast<std::uint64_t>(this->control->configuration->offset);
  return policy;
}

void Entry::QueryOwner(std::string_view owner,
                       std::string_view service,
                       std::string_view request_id,
                       const std::function<void(OwnerStatus)>& done) {
  const KnownEntry* entry = this->control->FindEntry(owner);
  if (!entry) {
    // An owner missing from a reachable list was replaced or removed.
    done(this->control->list_reachable ? OwnerStatus::kNotWorking
                                       : OwnerStatus::kUnknown);
    return;
  }
  Json::Value parameters;
  parameters["service"] = std::string(service);
  parameters["request_id"] = std::string(request_id);
  this->peers.Call(
      entry->address, "step_owner", std::move(parameters), kOwnerTimeout,
      [done](const Outcome<Json::Value>& response) {
        const bool working =
            response.Ok() && JsonBoolean(response.Value(), "working", false);
        done(working ? OwnerStatus::kWorking : OwnerStatus::kNotWorking);
      });
}

void Entry::BeginDrain() {
  if (std::exchange(this->draining, true)) {
    return;
  }
  Event event;
  event.kind = EventKind::kDrain;
  event.detail = "began";
  this->timeline.Record(std::move(event));
  WriteLog(LogLevel::kInfo, "entry draining; new steps and polls are refused");
  this->peer_methods.Drain();
  this->metrics.GetGauge(metrics::kDraining).Set(1);
  this->drain_deadline = this->clock.Now() + this->settings.drain_deadline_s *
                                                 kMillisecondsPerSecond;
  this->ContinueDrain();
}

bool Entry::Idle() const {
  if (this->server->RequestsInProgress() > 0 || this->keys.WritesPending()) {
    return false;
  }
  for (const auto& [name, service] : this->steps) {
    if (service->WritesPending()) {
      return false;
    }
  }
  return true;
}

void Entry::ContinueDrain() {
  // The drain does not wait for steps: their finished samples are in the log,
  // and another entry takes over a step when its trainer polls there.
  if (this->Idle() || this->clock.Now() >= this->drain_deadline) {
    this->server->StopAccepting();
    this->traffic_loop.Stop();
    return;
  }
  this->drain_timer = this->traffic_loop.CallAfter(
      kDrainCheck, [this] { this->ContinueDrain(); });
}

}  // namespace carobbank
