// Construction, threads and drain of the sidecar process.

#include "Sidecar/sidecar_process.h"

#include <csignal>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr Milliseconds kTickInterval{1'000};
constexpr Milliseconds kDrainCheckInterval{20};
// Time after the drain deadline to send the last error events.
constexpr Milliseconds kDrainFlushTimeout{1'000};
constexpr std::int64_t kMillisecondsPerSecond = 1'000;

TimelineOptions TimelineOptionsOf(const SidecarSettings& settings) {
  return {settings.place.instance, settings.place.data_center,
          static_cast<std::size_t>(settings.log.timeline_events)};
}

WorkDispatcherOptions WorkDispatcherOptionsOf(const SidecarSettings& settings) {
  WorkDispatcherOptions options;
  options.instance = settings.place.instance;
  options.pool = settings.pool;
  options.max_running =
      static_cast<std::uint32_t>(settings.scheduling.max_running);
  options.scheduler.strategy =
      settings.scheduling.strategy == SchedulingStrategy::kFifo
          ? QueueStrategy::kFifo
          : QueueStrategy::kFairShare;
  options.scheduler.limits.live_headroom =
      static_cast<std::uint32_t>(settings.scheduling.live_headroom);
  options.live_slowdown = settings.scheduling.live_slowdown;
  options.scheduler.max_queued =
      static_cast<std::size_t>(settings.scheduling.queue_length);
  return options;
}

std::unique_ptr<EngineControl> EngineOf(const SidecarSettings& settings,
                                        HttpClient& client) {
  if (settings.backend.kind != BackendKind::kEngine) {
    return nullptr;
  }
  return CreateHttpEngineControl(client, settings.backend.url);
}

}  // namespace

SidecarProcess::SidecarProcess(SidecarSettings given,
                               PeerProofVerifier verifier)
    : settings(std::move(given)),
      incarnation(static_cast<std::uint64_t>(this->clock.WallNow())),
      timeline(this->clock, TimelineOptionsOf(this->settings)),
      registry(this->clock),
      signer(this->settings.peer.secret),
      verifier(std::move(verifier)),
      traffic_client(HttpClient::Create(
          this->traffic_loop,
          ClientOptionsOf(this->settings.limits, this->registry))),
      traffic_engine(EngineOf(this->settings, *this->traffic_client)),
      backend(*this->traffic_client,
              this->traffic_engine.get(),
              this->settings.backend.url),
      work_dispatcher({this->clock, this->backend,
                       WorkRecorder(this->timeline,
                                    this->registry,
                                    this->settings.place.instance),
                       [this](MonotonicTime time) { this->WakeAt(time); },
                       [this](const CrashEvidence& evidence) {
                         this->control_loop.Post([this, evidence] {
                           this->control->ReportCrash(evidence);
                         });
                       }},
                      WorkDispatcherOptionsOf(this->settings)),
      traffic({this->settings, this->clock, this->timeline, this->registry,
               this->verifier, this->work_dispatcher, this->incarnation}),
      control_timers(this->control_loop),
      control_client(HttpClient::Create(
          this->control_loop,
          ClientOptionsOf(this->settings.limits, this->registry))),
      peers(*this->control_client, this->clock, this->signer, this->timeline) {}

SidecarProcess::~SidecarProcess() = default;

Result<std::unique_ptr<SidecarProcess>> SidecarProcess::Create(
    SidecarSettings settings) {
  BOOST_LEAF_AUTO(verifier,
                  PeerProofVerifier::Create(
                      {settings.peer.secret, settings.peer.previous_secret}));
  std::unique_ptr<SidecarProcess> process(
      new SidecarProcess(std::move(settings), std::move(verifier)));
  BOOST_LEAF_CHECK(process->Listen());
  return process;
}

Result<void> SidecarProcess::Listen() {
  BOOST_LEAF_ASSIGN(
      this->server,
      HttpServer::Create(
          this->traffic_loop,
          ServerOptionsOf(this->settings.place, this->settings.limits),
          [this](HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) {
            this->traffic.Handle(std::move(request), std::move(responder));
          }));
  return {};
}

void SidecarProcess::StartControl() {
  const PlatformSettings& platform = this->settings.platform;
  ControlEnvironment environment{this->clock,    this->control_timers,
                                 this->timeline, this->registry,
                                 this->peers,    nullptr,
                                 nullptr,        nullptr};
  if (!platform.instance_list_url.empty()) {
    this->list = CreateHttpInstanceListClient(*this->control_client,
                                              platform.instance_list_url);
    environment.list = this->list.get();
  }
  if (!platform.log_url.empty()) {
    this->log = CreateHttpLogClient(*this->control_client, platform.log_url);
    environment.log = this->log.get();
  }
  this->control_engine = EngineOf(this->settings, *this->control_client);
  environment.engine = this->control_engine.get();
  this->control = std::make_unique<SidecarControlPlane>(
      environment, this->settings,
      [this](std::shared_ptr<const SidecarControlSnapshot> snapshot) {
        this->traffic_loop.Post([this, snapshot = std::move(snapshot)] {
          this->OnSnapshot(snapshot);
        });
      });
  this->control_loop.Post([this] { this->control->Start(); });
}

void SidecarProcess::Run() {
  this->StartControl();
  for (const int signal_number : {SIGTERM, SIGINT}) {
    this->traffic_loop.OnSignal(signal_number, [this] { this->BeginDrain(); });
  }
  this->traffic_loop.Post([this] { this->TickPeriodically(); });
  WriteLog(LogLevel::kInfo, "sidecar serving",
           {{"address", this->settings.place.address + ":" +
                            std::to_string(this->server->Port())},
            {"backend", this->settings.backend.url},
            {"pool", this->settings.pool}});
  this->control_thread = std::thread([this] { this->control_loop.Run(); });
  this->traffic_loop.Run();
  this->control_loop.Stop();
  this->control_thread.join();
  WriteLog(LogLevel::kInfo, "sidecar stopped");
}

void SidecarProcess::OnSnapshot(
    std::shared_ptr<const SidecarControlSnapshot> snapshot) {
  const SidecarControlSnapshot& current = this->work_dispatcher.Snapshot();
  const bool first = !current.configuration && snapshot->configuration;
  const bool left = !current.leaving && snapshot->leaving;
  this->work_dispatcher.Apply(std::move(snapshot));
  if (first) {
    WriteLog(LogLevel::kInfo, "configuration in force",
             {{"offset",
               std::to_string(
                   this->work_dispatcher.Snapshot().configuration->offset)}});
  }
  if (left) {
    WriteLog(LogLevel::kInfo, "instance is leaving; new requests are refused");
  }
}

void SidecarProcess::WakeAt(MonotonicTime time) {
  const MonotonicTime now = this->clock.Now();
  if (this->wake_timer && this->wake_time <= time && this->wake_time > now) {
    return;
  }
  this->wake_time = time;
  const auto delay = std::chrono::ceil<Milliseconds>(time - now);
  this->wake_timer =
      this->traffic_loop.CallAfter(std::max(delay, Milliseconds(1)), [this] {
        this->wake_time = MonotonicTime::max();
        this->work_dispatcher.Tick();
      });
}

void SidecarProcess::TickPeriodically() {
  this->work_dispatcher.Tick();
  this->tick_timer = this->traffic_loop.CallAfter(
      kTickInterval, [this] { this->TickPeriodically(); });
}

void SidecarProcess::BeginDrain() {
  if (this->drain_deadline) {
    return;
  }
  const Milliseconds longest(this->settings.drain_deadline_s *
                             kMillisecondsPerSecond);
  this->drain_deadline = this->clock.Now() + longest;
  WriteLog(LogLevel::kInfo, "drain started",
           {{"running", std::to_string(this->work_dispatcher.Load().running)}});
  this->work_dispatcher.BeginDrain();
  this->ContinueDrain();
}

void SidecarProcess::ContinueDrain() {
  if (this->work_dispatcher.Idle() && this->server->RequestsInProgress() == 0) {
    this->traffic_loop.Stop();
    return;
  }
  const MonotonicTime now = this->clock.Now();
  if (now >= *this->drain_deadline + kDrainFlushTimeout) {
    this->traffic_loop.Stop();
    return;
  }
  if (now >= *this->drain_deadline) {
    this->work_dispatcher.EndDrain();
  }
  this->drain_timer = this->traffic_loop.CallAfter(
      kDrainCheckInterval, [this] { this->ContinueDrain(); });
}

}  // namespace carobbank
