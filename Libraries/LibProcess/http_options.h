// HTTP server and client options from a program's settings.

#pragma once

#include "LibContract/contract.h"
#include "LibHTTP/http.h"

namespace carobbank {

HttpServerOptions ServerOptionsOf(const InstanceSettings& instance,
                                  const TrafficLimits& limits);
HttpClientOptions ClientOptionsOf(const TrafficLimits& limits);

}  // namespace carobbank
