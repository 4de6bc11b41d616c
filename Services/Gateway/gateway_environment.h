// State and services that the gateway's parts share. Everything runs on one
// event loop's thread, which owns the control state and forwards the traffic.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibContract/contract.h"
#include "LibHTTP/http.h"
#include "LibTimeline/timeline.h"
#include "platform_dialect.h"

namespace carobbank {

class PlainCallAdmission;
class RequestQuarantine;
class RetryBudgets;
class SendPermits;
class ServerLimits;
class ServerStartChecks;
class ShutdownWindow;
class UsageRecorder;

struct GatewayEnvironment {
  const GatewaySettings& settings;
  const PlatformDialect& dialect;
  const Clock& clock;
  Random& random;
  EventLoop& loop;
  HttpClient& client;
  PartitionedLog& log;
  MetricRegistry& metrics;
  ServerFleet& fleet;
  BackendLoads& loads;
  RequestQuarantine& quarantine;
  RetryBudgets& retries;
  ServerLimits& limits;
  SendPermits& permits;
  // Null until the first configuration has been read.
  std::shared_ptr<const TrafficConfiguration>& configuration;
  PlainCallAdmission& admission;
  // Null when usage is not reported.
  UsageRecorder* usage = nullptr;
  // Null for a gateway that is never shut down.
  ShutdownWindow* shutdown = nullptr;
  // When `configuration` was last known to be the newest one, by
  // Clock::BootNow(); the earliest time if that is not known. Empty for a
  // gateway whose configuration does not change.
  std::function<MonotonicTime()> configuration_confirmed_at = {};
  // Null: only their entries show which start of a server is up.
  ServerStartChecks* start_checks = nullptr;
};

}  // namespace carobbank
