// The control thread's state as the traffic thread sees it: one immutable value
// that is replaced in one step.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "LibContract/contract.h"
#include "LibPlatform/platform.h"
#include "LibVersions/versions.h"

namespace carobbank {

struct SidecarControlSnapshot {
  // Null until the first configuration arrives.
  std::shared_ptr<const ConfigurationState> configuration;
  // Digests of requests that are refused.
  std::set<std::string, std::less<>> quarantine;
  // The engine's last reported state; unset while the engine doesn't respond.
  std::optional<EngineState> engine;
  std::optional<EngineLoad> load;
  // The platform's instance list has this server in a state other than live.
  bool leaving = false;
  // Number of live servers in this server's pool, itself included; at least 1.
  std::size_t pool_size = 1;
  OrderState order_state = OrderState::kIdle;
  // The newest announced version of the engine's model.
  std::optional<std::uint64_t> target_version;
};

}  // namespace carobbank
