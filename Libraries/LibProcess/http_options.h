// HTTP server and client options from a program's settings.

#pragma once

#include "LibContract/contract.h"
#include "LibHTTP/http.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

HttpServerOptions ServerOptionsOf(const InstanceSettings& instance,
                                  const TrafficLimits& limits);
// `metrics` must outlive the client.
HttpClientOptions ClientOptionsOf(const TrafficLimits& limits,
                                  MetricRegistry& metrics);

// Logs and counts a response that was ended at a limit.
void ReportResponseLimit(MetricRegistry& metrics,
                         const ResponseLimitExceeded& exceeded);

}  // namespace carobbank
