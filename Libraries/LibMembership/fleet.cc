// Registrations, expired registrations and observed versions.

#include "LibMembership/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carobbank {

std::int64_t FleetServer::VersionOf(std::string_view model) const {
  for (const ServedVersion& served : this->models) {
    if (served.model == model) {
      return served.version;
    }
  }
  return 0;
}

void ServerFleet::Put(FleetServer server) {
  Registered& entry = this->servers[server.id];
  const FleetServer& before = entry.server;
  const bool same_start = before.started_at == server.started_at &&
                          before.address == server.address;
  if (same_start) {
    for (ServedVersion& served : server.models) {
      served.version = std::max(served.version, before.VersionOf(served.model));
    }
  }
  if (same_start) {
    server.alive_at = std::max(server.alive_at, before.alive_at);
    server.load = before.load;
  }
  server.leaving_at = std::max(server.leaving_at, before.leaving_at);
  entry.server = std::move(server);
  entry.expired = false;
}

void ServerFleet::OnEntryRemoved(std::string_view id, MonotonicTime now) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return;
  }
  const bool after_outage = this->last_outage != MonotonicTime::min() &&
                            now - this->last_outage < kReregistrationGrace;
  if (!after_outage) {
    this->servers.erase(found);
    return;
  }
  found->second.expired = true;
}

void ServerFleet::RecordOutage(MonotonicTime now) {
  this->last_outage = now;
}

void ServerFleet::RemoveExpired(MonotonicTime confirmed_at) {
  if (this->last_outage != MonotonicTime::min() &&
      confirmed_at < this->last_outage + kReregistrationGrace) {
    return;
  }
  std::erase_if(this->servers,
                [](const auto& entry) { return entry.second.expired; });
}

void ServerFleet::Replace(std::vector<FleetServer> listed, MonotonicTime now) {
  std::set<std::string, std::less<>> present;
  for (FleetServer& server : listed) {
    present.insert(server.id);
    this->Put(std::move(server));
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->servers) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->OnEntryRemoved(id, now);
  }
}

void ServerFleet::ObserveVersion(std::string_view id,
                                 std::string_view model,
                                 std::int64_t version) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return;
  }
  for (ServedVersion& served : found->second.server.models) {
    if (served.model == model) {
      served.version = std::max(served.version, version);
    }
  }
}

void ServerFleet::SetLoad(std::string_view id, WeightLoadState load) {
  const auto found = this->servers.find(id);
  if (found != this->servers.end()) {
    found->second.server.load = std::move(load);
  }
}

void ServerFleet::RecordSoftware(MonotonicTime now) {
  for (const auto& [id, entry] : this->servers) {
    const FleetServer& server = entry.server;
    const auto [span, is_new] =
        this->software[server.service].try_emplace(server.software_version);
    if (is_new) {
      span->second.first = now;
    }
    span->second.last = now;
  }
}

std::optional<std::string> ServerFleet::OnlySoftware(
    std::string_view service,
    MonotonicTime since) const {
  const auto found = this->software.find(service);
  if (found == this->software.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, span] : found->second) {
    if (span.last < since) {
      continue;
    }
    if (only || span.first > since || version.empty()) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

void ServerFleet::ConfirmAlive(std::string_view id,
                               WallMilliseconds started_at,
                               MonotonicTime at) {
  const auto found = this->servers.find(id);
  if (found != this->servers.end() &&
      found->second.server.started_at == started_at) {
    FleetServer& server = found->second.server;
    server.alive_at = std::max(server.alive_at, at);
  }
}

bool ServerFleet::IsCertain(std::string_view id,
                            WallMilliseconds started_at,
                            MonotonicTime at) const {
  if (started_at == 0) {
    return true;
  }
  const FleetServer* const server = this->Find(id);
  return server != nullptr && server->started_at == started_at &&
         server->alive_at >= at;
}

bool ServerFleet::MarkLeaving(std::string_view id, WallMilliseconds sent_at) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return false;
  }
  FleetServer& server = found->second.server;
  const bool left_before = server.Leaves();
  server.leaving_at = std::max(server.leaving_at, sent_at);
  return !left_before && server.Leaves();
}

const FleetServer* ServerFleet::Find(std::string_view id) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second.server;
}

std::vector<const FleetServer*> ServerFleet::Eligible(
    std::string_view service) const {
  std::vector<const FleetServer*> eligible;
  for (const auto& [id, entry] : this->servers) {
    if (entry.server.service == service && !entry.server.Leaves()) {
      eligible.push_back(&entry.server);
    }
  }
  return eligible;
}

std::vector<const FleetServer*> ServerFleet::All() const {
  std::vector<const FleetServer*> all;
  all.reserve(this->servers.size());
  for (const auto& [id, entry] : this->servers) {
    all.push_back(&entry.server);
  }
  return all;
}

}  // namespace carobbank
