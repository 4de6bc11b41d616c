// Backend servers that start again under their id.

#pragma once

#include "gateway_environment.h"

namespace carobbank {

// Called with a server's new registry entry before the fleet has it. If the
// server has started again since the entry before, logs that and discards what
// this gateway observed of its earlier start.
void ObserveRestart(GatewayEnvironment& environment, const FleetServer& server);

}  // namespace carobbank
