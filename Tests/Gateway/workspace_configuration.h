// Configurations with workspaces for tests.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace carobbank {

struct ListedWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::int64_t> priority{};
};

// Without workspaces if the list has a fault.
inline Workspaces MakeWorkspaces(const std::vector<ListedWorkspace>& listed) {
  std::vector<WorkspaceEntry> entries;
  for (const ListedWorkspace& workspace : listed) {
    WorkspaceEntry entry;
    entry.workspace = {workspace.name, workspace.priority};
    for (const std::string& key : workspace.keys) {
      entry.key_digests.push_back(DigestOfKey(key));
    }
    entries.push_back(std::move(entry));
  }
  auto created = Workspaces::Create(std::move(entries));
  auto* const workspaces = std::get_if<Workspaces>(&created);
  return workspaces == nullptr ? Workspaces() : std::move(*workspaces);
}

inline std::shared_ptr<const TrafficConfiguration> WithWorkspaces(
    TrafficConfiguration traffic,
    const std::vector<ListedWorkspace>& workspaces) {
  traffic.workspaces = MakeWorkspaces(workspaces);
  return std::make_shared<const TrafficConfiguration>(std::move(traffic));
}

// The configuration with only this route of the fixture, which is public.
inline std::shared_ptr<const TrafficConfiguration> WithPublicRoute(
    TrafficConfiguration traffic,
    const std::string& path_prefix) {
  const std::string host =
      path_prefix == "/train/" ? "trainer.example" : "app.example";
  HostRoute route = *traffic.routes.Find(host, path_prefix);
  route.is_public = true;
  traffic.routes = HostRoutes({route});
  return std::make_shared<const TrafficConfiguration>(std::move(traffic));
}

}  // namespace carobbank
