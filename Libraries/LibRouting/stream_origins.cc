// Records of origins, and the proof that a path has only one.

#include "LibRouting/stream_origins.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

// Whether some path may belong to the origin's route and begin with `path`.
bool Overlaps(const StreamOrigin& origin,
              std::string_view host,
              std::string_view path) {
  return origin.host == host &&
         (path.starts_with(origin.path_prefix) ||
          std::string_view(origin.path_prefix).starts_with(path));
}

// Two routes may lead to one service at one version.
bool SameServers(const StreamOrigin& left, const StreamOrigin& right) {
  return left.service == right.service &&
         left.software_version == right.software_version;
}

}  // namespace

std::set<StreamOrigin> OriginsOf(const HostRoutes& routes,
                                 std::span<const FleetServer* const> servers) {
  std::vector<const HostRoute*> streaming = routes.All();
  std::erase_if(streaming,
                [](const HostRoute* route) { return !route->streaming; });
  if (streaming.empty()) {
    return {};
  }
  std::map<std::string_view, std::set<std::string_view>> versions;
  for (const FleetServer* const server : servers) {
    versions[server->service].insert(server->software_version);
  }
  std::set<StreamOrigin> origins;
  for (const HostRoute* const route : streaming) {
    for (const WeightedService& target : route->services) {
      for (const std::string_view version : versions[target.service]) {
        origins.insert({route->host, route->path_prefix, target.service,
                        std::string(version)});
      }
    }
  }
  return origins;
}

void StreamOriginTable::SetPresent(std::set<StreamOrigin> origins,
                                   MonotonicTime now) {
  for (auto& [origin, last_present] : this->recorded) {
    if (this->present.contains(origin) || origins.contains(origin)) {
      last_present = now;
    }
  }
  this->present = std::move(origins);
}

void StreamOriginTable::OnRecorded(const StreamOrigin& origin,
                                   MonotonicTime now) {
  this->recorded.insert_or_assign(origin, now);
}

void StreamOriginTable::OnRemoved(const StreamOrigin& origin) {
  this->recorded.erase(origin);
}

// Called for each server that a request could use. There are few origins.
bool StreamOriginTable::IsRecorded(const HostRoute& route,
                                   const FleetServer& server) const {
  return std::any_of(
      this->recorded.begin(), this->recorded.end(), [&](const auto& entry) {
        const StreamOrigin& origin = entry.first;
        return origin.software_version == server.software_version &&
               origin.service == server.service &&
               origin.path_prefix == route.path_prefix &&
               origin.host == route.host;
      });
}

void StreamOriginTable::Reset() {
  this->recorded.clear();
}

std::vector<StreamOrigin> StreamOriginTable::Unrecorded() const {
  std::vector<StreamOrigin> unrecorded;
  std::copy_if(this->present.begin(), this->present.end(),
               std::back_inserter(unrecorded),
               [this](const StreamOrigin& origin) {
                 return !this->recorded.contains(origin);
               });
  return unrecorded;
}

std::vector<StreamOrigin> StreamOriginTable::Unused(
    MonotonicTime now,
    Milliseconds retention) const {
  std::vector<StreamOrigin> unused;
  for (const auto& [origin, last_present] : this->recorded) {
    if (!this->present.contains(origin) && now - last_present >= retention) {
      unused.push_back(origin);
    }
  }
  return unused;
}

bool StreamOriginTable::HasRecordFor(std::string_view host,
                                     std::string_view path_prefix) const {
  return std::any_of(this->recorded.begin(), this->recorded.end(),
                     [&](const auto& entry) {
                       return Overlaps(entry.first, host, path_prefix);
                     });
}

std::optional<StreamOrigin> StreamOriginTable::Only(
    std::string_view host,
    std::string_view path) const {
  const StreamOrigin* only = nullptr;
  for (const auto& [origin, last_present] : this->recorded) {
    if (!Overlaps(origin, host, path)) {
      continue;
    }
    if (only != nullptr && !SameServers(*only, origin)) {
      return std::nullopt;
    }
    only = &origin;
  }
  if (only == nullptr || only->software_version.empty()) {
    return std::nullopt;
  }
  const bool other_present = std::any_of(
      this->present.begin(), this->present.end(),
      [&](const StreamOrigin& origin) {
        return Overlaps(origin, host, path) && !SameServers(*only, origin);
      });
  return other_present ? std::nullopt : std::optional(*only);
}

}  // namespace carobbank
