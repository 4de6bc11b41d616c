// The sidecar process: its control thread, its traffic thread, and the drain at
// its end.

#pragma once

#include <memory>
#include <optional>
#include <thread>

#include "LibContract/contract.h"
#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"
#include "LibProcess/process.h"
#include "LibTimeline/timeline.h"
#include "Sidecar/sidecar_control_plane.h"
#include "Sidecar/traffic_server.h"
#include "Sidecar/work_dispatcher.h"

namespace carobbank {

class SidecarProcess {
 public:
  // Binds the port. Fails with kUnavailable if the port is in use.
  static Result<std::unique_ptr<SidecarProcess>> Create(
      SidecarSettings settings);
  ~SidecarProcess();
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  // Serves until SIGTERM or SIGINT, then drains and returns.
  void Run();

 private:
  SidecarProcess(SidecarSettings settings, PeerProofVerifier verifier);
  Result<void> Listen();
  void StartControl();
  void OnSnapshot(std::shared_ptr<const SidecarControlSnapshot> snapshot);
  void WakeAt(MonotonicTime time);
  void TickPeriodically();
  void BeginDrain();
  void ContinueDrain();

  // In order of dependency.
  SidecarSettings settings;
  SystemClock clock;
  std::uint64_t incarnation;
  EventTimeline timeline;
  MetricRegistry registry;
  PeerProofSigner signer;
  PeerProofVerifier verifier;
  EventLoop traffic_loop;
  EventLoop control_loop;

  // Used by the traffic thread.
  std::unique_ptr<HttpClient> traffic_client;
  std::unique_ptr<EngineControl> traffic_engine;
  Backend backend;
  WorkDispatcher work_dispatcher;
  TrafficServer traffic;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Timer> tick_timer;
  std::unique_ptr<Timer> wake_timer;
  MonotonicTime wake_time = MonotonicTime::max();
  std::unique_ptr<Timer> drain_timer;
  std::optional<MonotonicTime> drain_deadline;

  // Used by the control thread; created before the thread starts and destroyed
  // after it has ended.
  LoopTimers control_timers;
  std::unique_ptr<HttpClient> control_client;
  HttpPeerRpcClient peers;
  std::unique_ptr<InstanceListClient> list;
  std::unique_ptr<LogClient> log;
  std::unique_ptr<EngineControl> control_engine;
  std::unique_ptr<SidecarControlPlane> control;
  std::thread control_thread;
};

}  // namespace carobbank
