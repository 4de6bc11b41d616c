// Index of one pool's servers by data center, version and in-flight count.

#include "LibRouting/server_table.h"

#include <algorithm>

namespace carobbank {

namespace {

// Concurrent requests assumed for a server that reports no maximum batch.
constexpr double kAssumedMaxBatch = 16;
// Bounds the retained starts and ends while a server sends no new report.
constexpr std::size_t kMaxRetainedTimes = 4096;

void RemoveUntil(std::deque<MonotonicTime>& times, MonotonicTime as_of) {
  while (!times.empty() && times.front() <= as_of) {
    times.pop_front();
  }
}

// Removes the element at `slot` from `list` by moving the last element there.
// Returns the moved server, or `kNoServer`.
ServerIndex RemoveSlot(std::vector<ServerIndex>& list, std::uint32_t slot) {
  list[slot] = list.back();
  list.pop_back();
  return slot < list.size() ? list[slot] : kNoServer;
}

}  // namespace

double RoutedServer::Utilization() const {
  const double batch =
      this->load.max_batch > 0 ? this->load.max_batch : kAssumedMaxBatch;
  return this->corrected_load / batch;
}

ServerIndex ServerTable::Upsert(std::string_view id,
                                std::string_view data_center,
                                double latency_ms) {
  ServerIndex index = this->Find(id);
  if (index != kNoServer) {
    RoutedServer& existing = this->servers[index];
    if (existing.data_center == data_center &&
        existing.latency_ms == latency_ms) {
      return index;
    }
    this->Detach(index);
  } else if (!this->free_slots.empty()) {
    index = this->free_slots.back();
    this->free_slots.pop_back();
  } else {
    index = static_cast<ServerIndex>(this->servers.size());
    this->servers.emplace_back();
  }
  RoutedServer& server = this->servers[index];
  server.id = id;
  server.data_center = data_center;
  server.latency_ms = latency_ms;
  server.hash = FastHash(id);
  this->by_id.insert_or_assign(server.id, index);
  this->Attach(index);
  return index;
}

void ServerTable::Remove(std::string_view id) {
  const ServerIndex index = this->Find(id);
  if (index == kNoServer) {
    return;
  }
  this->Detach(index);
  this->by_id.erase(this->servers[index].id);
  this->total_load -= this->servers[index].corrected_load;
  this->servers[index] = RoutedServer();
  this->free_slots.push_back(index);
}

ServerIndex ServerTable::Find(std::string_view id) const {
  const auto found = this->by_id.find(std::string(id));
  return found == this->by_id.end() ? kNoServer : found->second;
}

DataCenterServers& ServerTable::DataCenterOf(const RoutedServer& server) {
  const auto same = std::find_if(
      this->data_centers.begin(), this->data_centers.end(),
      [&](const auto& one) { return one.data_center == server.data_center; });
  if (same != this->data_centers.end()) {
    return *same;
  }
  const auto next_farther = std::find_if(
      this->data_centers.begin(), this->data_centers.end(),
      [&](const auto& one) { return one.latency_ms > server.latency_ms; });
  DataCenterServers created;
  created.data_center = server.data_center;
  created.latency_ms = server.latency_ms;
  return *this->data_centers.insert(next_farther, std::move(created));
}

void ServerTable::Attach(ServerIndex index) {
  const RoutedServer& server = this->servers[index];
  DataCenterServers& data_center = this->DataCenterOf(server);
  data_center.rendezvous_tree.Insert(server.hash, index);
  ++data_center.size;
  this->AttachToGroup(index);
  this->AttachToLevel(index);
}

void ServerTable::Detach(ServerIndex index) {
  this->DetachFromLevel(index);
  this->DetachFromGroup(index);
  const RoutedServer& server = this->servers[index];
  DataCenterServers& data_center = this->DataCenterOf(server);
  data_center.rendezvous_tree.Erase(server.hash, index);
  --data_center.size;
  std::erase_if(this->data_centers,
                [](const auto& one) { return one.size == 0; });
}

void ServerTable::AttachToGroup(ServerIndex index) {
  RoutedServer& server = this->servers[index];
  auto& groups = this->DataCenterOf(server).groups;
  auto group = std::find_if(groups.begin(), groups.end(), [&](const auto& one) {
    return one.version <= server.version;
  });
  if (group == groups.end() || group->version != server.version) {
    group = groups.insert(group, ServerGroup{server.version, {}});
  }
  server.group_slot = static_cast<std::uint32_t>(group->servers.size());
  group->servers.push_back(index);
}

void ServerTable::DetachFromGroup(ServerIndex index) {
  const RoutedServer& server = this->servers[index];
  auto& groups = this->DataCenterOf(server).groups;
  const auto group = std::find_if(
      groups.begin(), groups.end(),
      [&](const auto& one) { return one.version == server.version; });
  const ServerIndex moved = RemoveSlot(group->servers, server.group_slot);
  if (moved != kNoServer) {
    this->servers[moved].group_slot = server.group_slot;
  }
  if (group->servers.empty()) {
    groups.erase(group);
  }
}

void ServerTable::AttachToLevel(ServerIndex index) {
  RoutedServer& server = this->servers[index];
  auto& level = this->levels[server.in_flight].servers;
  server.level_slot = static_cast<std::uint32_t>(level.size());
  level.push_back(index);
}

void ServerTable::DetachFromLevel(ServerIndex index) {
  const RoutedServer& server = this->servers[index];
  const auto level = this->levels.find(server.in_flight);
  const ServerIndex moved =
      RemoveSlot(level->second.servers, server.level_slot);
  if (moved != kNoServer) {
    this->servers[moved].level_slot = server.level_slot;
  }
  if (level->second.servers.empty()) {
    this->levels.erase(level);
  }
}

void ServerTable::SetVersion(ServerIndex index, std::uint64_t version) {
  if (this->servers[index].version == version) {
    return;
  }
  this->DetachFromGroup(index);
  this->servers[index].version = version;
  this->AttachToGroup(index);
}

void ServerTable::SetLoad(ServerIndex index, const ReportedLoad& load) {
  RoutedServer& server = this->servers[index];
  if (load.as_of < server.load.as_of) {
    return;
  }
  server.load = load;
  RemoveUntil(server.starts, load.as_of);
  RemoveUntil(server.ends, load.as_of);
  this->Recompute(server);
}

void ServerTable::OnSent(ServerIndex index, MonotonicTime now) {
  this->DetachFromLevel(index);
  RoutedServer& server = this->servers[index];
  ++server.in_flight;
  this->AttachToLevel(index);
  if (server.load.as_of != MonotonicTime()) {
    server.starts.push_back(now);
  }
  this->Recompute(server);
}

void ServerTable::OnFinished(ServerIndex index, MonotonicTime now) {
  if (this->servers[index].in_flight == 0) {
    // The server was removed and added again since the request was sent.
    return;
  }
  this->DetachFromLevel(index);
  RoutedServer& server = this->servers[index];
  --server.in_flight;
  this->AttachToLevel(index);
  if (server.load.as_of != MonotonicTime()) {
    server.ends.push_back(now);
  }
  this->Recompute(server);
}

void ServerTable::Recompute(RoutedServer& server) {
  while (server.starts.size() > kMaxRetainedTimes && !server.ends.empty()) {
    server.starts.pop_front();
    server.ends.pop_front();
  }
  const double reported =
      static_cast<double>(server.load.running) + server.load.waiting;
  const double net_starts = static_cast<double>(server.starts.size()) -
                            static_cast<double>(server.ends.size());
  const double own_load = server.in_flight;
  this->total_load -= server.corrected_load;
  server.corrected_load = std::max(own_load, reported + net_starts);
  this->total_load += server.corrected_load;
}

double ServerTable::MeanLoad() const {
  return this->by_id.empty()
             ? 0
             : this->total_load / static_cast<double>(this->by_id.size());
}

std::uint64_t ServerTable::NewestIn(const VersionRange& versions) const {
  std::uint64_t newest = 0;
  for (const DataCenterServers& data_center : this->data_centers) {
    for (const ServerGroup& group : data_center.groups) {
      if (versions.Contains(group.version)) {
        newest = std::max(newest, group.version);
        break;
      }
    }
  }
  return newest;
}

}  // namespace carobbank
