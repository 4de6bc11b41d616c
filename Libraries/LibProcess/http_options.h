// HTTP options as the settings of either program state them.

#pragma once

#include "LibContract/contract.h"
#include "LibHTTP/http.h"

namespace carobbank {

HttpServerOptions ServerOptionsOf(const InstanceSettings& place,
                                  const TrafficLimits& limits);
HttpClientOptions ClientOptionsOf(const TrafficLimits& limits);

}  // namespace carobbank
