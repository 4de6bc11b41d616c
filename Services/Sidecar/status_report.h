// The sidecar's status for the RPC `status` and GET /status.

#pragma once

#include "LibContract/contract.h"
#include "Sidecar/work_dispatcher.h"

namespace carobbank {

// The short status for an entry's heartbeat.
Json::Value BriefStatusJson(const SidecarSettings& settings,
                            const WorkDispatcher& work_dispatcher);

Json::Value StatusJson(const SidecarSettings& settings,
                       std::uint64_t incarnation,
                       const WorkDispatcher& work_dispatcher);

// Whether a configuration is in force, the engine (if any) responds, and the
// sidecar isn't draining.
bool IsServing(const SidecarSettings& settings,
               const WorkDispatcher& work_dispatcher);

}  // namespace carobbank
