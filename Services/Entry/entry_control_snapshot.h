// What the control thread tells the traffic thread: an immutable value.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/contract.h"
#include "routed_pools.h"

namespace carobbank {

struct KnownEntry {
  std::string instance;
  std::string address;
  bool leaving = false;
};

struct ModelVersion {
  std::string model;
  std::uint64_t newest = 0;
};

struct EntryControlSnapshot {
  // Never null.
  std::shared_ptr<const ConfigurationState> configuration =
      std::make_shared<const ConfigurationState>();
  // The configuration as peers and sidecars receive it.
  Json::Value configuration_export;
  // Never null. The same object as in the snapshot before while no server came,
  // went or changed its standing; its versions and loads are as of then.
  std::shared_ptr<const std::vector<KnownServer>> servers =
      std::make_shared<const std::vector<KnownServer>>();
  // The watched servers with what their latest heartbeats said.
  std::vector<KnownServer> watched;
  std::vector<KnownEntry> entries;
  std::vector<ModelVersion> versions;
  std::vector<std::string> quarantined;
  // The latest crashes, of this entry and of those that told it.
  std::vector<SharedCrash> crashes;
  // False until the configuration was read to its end, or taken from a peer:
  // until then a service that is not found may well be in force.
  bool configuration_known = false;
  bool log_reachable = false;
  bool list_reachable = false;

  // 0 when none was announced.
  std::uint64_t NewestVersion(std::string_view model) const;
  // Nothing when the list does not name it.
  const KnownEntry* FindEntry(std::string_view instance) const;
};

}  // namespace carobbank
