// Immutable state that the control thread passes to the traffic thread.

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
  // Never null. The same object as in the previous snapshot as long as no
  // server was added, removed or changed in whether it takes new work; versions
  // and loads in it are as of its creation.
  std::shared_ptr<const std::vector<KnownServer>> servers =
      std::make_shared<const std::vector<KnownServer>>();
  // The watched servers with the state that their latest heartbeats reported.
  std::vector<KnownServer> watched;
  std::vector<KnownEntry> entries;
  std::vector<ModelVersion> versions;
  std::vector<std::string> quarantined;
  // The latest crashes, as reported by this entry, by other entries and in the
  // log.
  std::vector<SharedCrash> crashes;
  // False until the configuration stream was read to its end or a configuration
  // was imported from a peer. Until then, a service that is not found may be in
  // force.
  bool configuration_known = false;
  bool log_reachable = false;
  bool list_reachable = false;

  // 0 when no version of `model` was announced.
  std::uint64_t NewestVersion(std::string_view model) const;
  // Null when the instance list does not contain `instance`.
  const KnownEntry* FindEntry(std::string_view instance) const;
};

}  // namespace carobbank
