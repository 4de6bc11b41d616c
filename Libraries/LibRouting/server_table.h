// What an entry knows of the backend servers of one pool: where they are,
// their load as last reported, and what this entry has sent since.

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

// A server's own report; it lags.
struct ReportedLoad {
  // When it was measured, on this process's monotonic clock.
  MonotonicTime as_of{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Of running and waiting: training work.
  std::uint32_t training = 0;
  // Requests that the server runs at once; 0 when unknown.
  std::uint32_t max_batch = 0;
};

struct RoutedServer {
  std::string id;
  std::string data_center;
  // Weight version that it last reported; 0 when unknown or a plain service.
  std::uint64_t version = 0;
  ReportedLoad load;
  // One-way latency from this entry, in milliseconds.
  double latency_ms = 0;
  // This entry's own unfinished requests there.
  std::uint32_t in_flight = 0;

  // Requests at the server, as far as this entry can tell: the report,
  // corrected by what this entry has started and finished since.
  double CorrectedLoad() const { return this->corrected_load; }
  // The corrected load in relation to what it runs at once; above 1 requests
  // wait.
  double Utilization() const;

 private:
  friend class ServerTable;

  std::uint64_t hash = 0;
  double corrected_load = 0;
  // Starts and ends of this entry's requests after `load.as_of`, oldest first.
  std::deque<MonotonicTime> starts;
  std::deque<MonotonicTime> ends;
  // Positions within its group's and its in-flight level's lists.
  std::uint32_t group_slot = 0;
  std::uint32_t level_slot = 0;
};

// Servers of one data center with one version, for sampling.
struct ServerGroup {
  std::uint64_t version = 0;
  std::vector<ServerIndex> servers;
};

// Servers at which this entry has equally many requests.
struct InFlightLevel {
  std::vector<ServerIndex> servers;
};

// One data center's servers. Invariant: every server stands in one group and
// once in `rendezvous_tree`.
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
  // A report older than the known one is ignored.
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
  // By the number of this entry's own requests, fewest first; no empty levels.
  const std::map<std::uint32_t, InFlightLevel>& InFlightLevels() const {
    return this->levels;
  }
  std::size_t Size() const { return this->by_id.size(); }
  // Mean corrected load over all servers.
  double MeanLoad() const;
  // Newest version that any server has and the range holds; 0 for none.
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
