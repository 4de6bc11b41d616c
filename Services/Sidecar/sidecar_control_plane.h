// The control thread's components: configuration, engine reports, orders, lease
// and crash evidence. Publishes an immutable snapshot whenever the
// configuration, the instance list or the engine's state is updated.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"
#include "LibTimeline/timeline.h"
#include "Sidecar/configuration_poll.h"
#include "Sidecar/crash_reporter.h"
#include "Sidecar/engine_upgrader.h"
#include "Sidecar/engine_watch.h"
#include "Sidecar/instance_watch.h"
#include "Sidecar/lease_keeper.h"
#include "Sidecar/sidecar_control_snapshot.h"

namespace carobbank {

struct ControlEnvironment {
  const Clock& clock;
  ControlTimers& timers;
  EventTimeline& timeline;
  MetricRegistry& registry;
  PeerRpcClient& peers;
  // The instance list and the log are null when the settings have no URL for
  // them.
  InstanceListClient* list = nullptr;
  LogClient* log = nullptr;
  // Null for a plain service.
  EngineControl* engine = nullptr;
};

class SidecarControlPlane {
 public:
  using Listener =
      std::function<void(std::shared_ptr<const SidecarControlSnapshot>)>;

  SidecarControlPlane(ControlEnvironment environment,
                      const SidecarSettings& settings,
                      Listener listener);

  void Start();
  void ReportCrash(const CrashEvidence& evidence);

 private:
  void NotifyEntries(const CrashEvidence& evidence);
  void OnInstanceList(const InstanceListView& list_view);
  void OnConfiguration();
  void OnEngineReport();
  void UpdateTarget();
  void Publish();

  ControlEnvironment environment;
  const SidecarSettings& settings;
  Listener listener;
  InstanceListView list_view;
  std::int64_t recorded_offset = kNoRevision;
  ConfigurationPoll configuration;
  std::unique_ptr<InstanceWatch> instances;
  std::unique_ptr<EngineWatch> engine;
  std::unique_ptr<EngineUpgrader> upgrader;
  std::unique_ptr<LeaseKeeper> lease;
  std::unique_ptr<CrashReporter> crashes;
};

}  // namespace carobbank
