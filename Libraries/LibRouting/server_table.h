// State of the backend servers of one pool, as one entry sees them: location,
// version, last reported load, and the requests that this entry sent since.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibCore/core.h"
#include "LibRouting/rendezvous_tree.h"

namespace carobbank {

// Index of a server within its table; valid until the server is removed.
using ServerIndex = std::uint32_t;
inline constexpr ServerIndex kNoServer = UINT32_MAX;

struct VersionRange {
  // Both inclusive; a plain service has version 0.
  std::uint64_t oldest = 0;
  std::uint64_t newest = UINT64_MAX;

  bool Contains(std::uint64_t version) const {
    return version >= this->oldest && version <= this->newest;
  }
};

// Load as reported by the server; always somewhat out of date.
struct ReportedLoad {
  // When the load was measured, on this process's monotonic clock.
  MonotonicTime as_of{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Training work, counted in `running` and `waiting` too.
  std::uint32_t training = 0;
  // Requests that the server runs concurrently at most; 0 when unknown.
  std::uint32_t max_batch = 0;
};

struct RoutedServer {
  std::string id;
  std::string data_center;
  // Weight version that the server last reported; 0 when unknown or for a plain
  // service.
  std::uint64_t version = 0;
  ReportedLoad load;
  // One-way latency from this entry, in milliseconds.
  double latency_ms = 0;
  // This entry's requests in flight at the server.
  std::uint32_t in_flight = 0;

  // Estimated requests at the server: the reported load, corrected by the
  // requests that this entry started and finished since; at least `in_flight`.
  double CorrectedLoad() const { return this->corrected_load; }
  // Corrected load relative to the server's maximum batch; requests wait above
  // 1.
  double Utilization() const;

 private:
  friend class ServerTable;

  std::uint64_t hash = 0;
  double corrected_load = 0;
  // When this entry's requests started and ended since `load.as_of`, oldest
  // first.
  std::deque<MonotonicTime> starts;
  std::deque<MonotonicTime> ends;
  // Positions of the server in the lists of its group and its in-flight level.
  std::uint32_t group_slot = 0;
  std::uint32_t level_slot = 0;
};

// Servers of one data center with the same version, for sampling.
struct ServerGroup {
  std::uint64_t version = 0;
  std::vector<ServerIndex> servers;
};

// Servers at which this entry has the same number of requests in flight.
struct InFlightLevel {
  std::vector<ServerIndex> servers;
};

// Servers of one data center. Invariant: each server is in exactly one group
// and once in `rendezvous_tree`.
struct DataCenterServers {
  std::string data_center;
  double latency_ms = 0;
  // Newest version first; no empty groups.
  std::vector<ServerGroup> groups;
  RendezvousTree rendezvous_tree;
  std::size_t size = 0;
};

class ServerTable {
 public:
  // Adds a server, or moves it to another data center.
  ServerIndex Upsert(std::string_view id,
                     std::string_view data_center,
                     double latency_ms);
  void Remove(std::string_view id);
  ServerIndex Find(std::string_view id) const;

  void SetVersion(ServerIndex server, std::uint64_t version);
  // Ignores a report that is older than the last one.
  void SetLoad(ServerIndex server, const ReportedLoad& load);
  void OnSent(ServerIndex server, MonotonicTime now);
  void OnFinished(ServerIndex server, MonotonicTime now);

  const RoutedServer& At(ServerIndex server) const {
    return this->servers[server];
  }
  // Nearest first.
  const std::vector<DataCenterServers>& DataCenters() const {
    return this->data_centers;
  }
  // By the number of this entry's requests in flight, fewest first; no empty
  // levels.
  const std::map<std::uint32_t, InFlightLevel>& InFlightLevels() const {
    return this->levels;
  }
  std::size_t Size() const { return this->by_id.size(); }
  // Mean corrected load over all servers.
  double MeanLoad() const;
  // Newest version in the range that any server has; 0 for none.
  std::uint64_t NewestIn(const VersionRange& versions) const;

 private:
  DataCenterServers& DataCenterOf(const RoutedServer& server);
  void Attach(ServerIndex server);
  void Detach(ServerIndex server);
  void AttachToGroup(ServerIndex server);
  void DetachFromGroup(ServerIndex server);
  void AttachToLevel(ServerIndex server);
  void DetachFromLevel(ServerIndex server);
  void Recompute(RoutedServer& server);

  std::vector<RoutedServer> servers;
  std::vector<ServerIndex> free_slots;
  std::unordered_map<std::string, ServerIndex> by_id;
  std::vector<DataCenterServers> data_centers;
  std::map<std::uint32_t, InFlightLevel> levels;
  // Invariant: sum of corrected_load over present servers.
  double total_load = 0;
};

}  // namespace carobbank
