// The control thread's state: configuration, engine reports, orders, lease and
// crash evidence. Publishes an immutable snapshot whenever something changes.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"
#include "LibTimeline/timeline.h"
#include "Sidecar/configuration_poll.h"
#include "Sidecar/control_snapshot.h"
#include "Sidecar/crash_reporter.h"
#include "Sidecar/engine_watch.h"
#include "Sidecar/instance_watch.h"
#include "Sidecar/lease_keeper.h"
#include "Sidecar/order_keeper.h"

namespace carobbank {

struct ControlEnvironment {
  const Clock& clock;
  ControlTimers& timers;
  EventTimeline& timeline;
  MetricRegistry& registry;
  PeerRpcClient& peers;
  // Null when the settings name none.
  InstanceListClient* list = nullptr;
  LogClient* log = nullptr;
  // Null for a plain service.
  EngineControl* engine = nullptr;
};

class ControlState {
 public:
  using Listener = std::function<void(std::shared_ptr<const ControlSnapshot>)>;

  ControlState(ControlEnvironment environment,
               const SidecarSettings& settings,
               Listener listener);

  void Start();
  void ReportCrash(const CrashEvidence& evidence);

 private:
  void OnNeighbourhood(const Neighbourhood& neighbourhood);
  void OnConfiguration();
  void OnEngineReport();
  void UpdateTarget();
  void Publish();

  ControlEnvironment environment;
  const SidecarSettings& settings;
  Listener listener;
  Neighbourhood neighbourhood;
  std::int64_t recorded_offset = kNoRevision;
  ConfigurationPoll configuration;
  std::unique_ptr<InstanceWatch> instances;
  std::unique_ptr<EngineWatch> engine;
  std::unique_ptr<OrderKeeper> orders;
  std::unique_ptr<LeaseKeeper> lease;
  std::unique_ptr<CrashReporter> crashes;
};

}  // namespace carobbank
