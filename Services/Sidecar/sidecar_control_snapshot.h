// What the control thread tells the traffic thread: one immutable value, which
// is replaced as a whole.

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
  // Null until the first configuration arrived.
  std::shared_ptr<const ConfigurationState> configuration;
  // Digests that are not run any more.
  std::set<std::string, std::less<>> quarantine;
  // The engine's last report, while it answers.
  std::optional<EngineState> engine;
  std::optional<EngineLoad> load;
  // The platform's list names this server as leaving.
  bool leaving = false;
  // Servers of this one's pool in the list, itself included; at least 1.
  std::size_t pool_size = 1;
  OrderState order_state = OrderState::kIdle;
  // The newest announced version of the engine's model.
  std::optional<std::uint64_t> target_version;
};

}  // namespace carobbank
