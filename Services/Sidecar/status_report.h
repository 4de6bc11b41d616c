// What a sidecar says of itself: the RPC `status` and GET /status.

#pragma once

#include "LibContract/contract.h"
#include "Sidecar/work_dispatcher.h"

namespace carobbank {

// What an entry's heartbeat needs, in few bytes.
Json::Value BriefStatusJson(const SidecarSettings& settings,
                            const WorkDispatcher& work_dispatcher);

Json::Value StatusJson(const SidecarSettings& settings,
                       std::uint64_t incarnation,
                       const WorkDispatcher& work_dispatcher);

// Ready: a configuration is in force, the engine answers, and it isn't leaving.
bool IsServing(const SidecarSettings& settings,
               const WorkDispatcher& work_dispatcher);

}  // namespace carobbank
