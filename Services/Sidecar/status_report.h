// What a sidecar says of itself: the RPC `status` and GET /status.

#pragma once

#include "LibContract/contract.h"
#include "Sidecar/work_gate.h"

namespace carobbank {

// What an entry's heartbeat needs, in few bytes.
Json::Value BriefStatusJson(const SidecarSettings& settings,
                            const WorkGate& gate);

Json::Value StatusJson(const SidecarSettings& settings,
                       std::uint64_t incarnation,
                       const WorkGate& gate);

// Ready: a configuration is in force, the engine answers, and it isn't leaving.
bool IsServing(const SidecarSettings& settings, const WorkGate& gate);

}  // namespace carobbank
