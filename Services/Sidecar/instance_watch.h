// Polls the platform's instance list for the entries, this server's own state,
// and the live servers of its pool. The list may be large, so the polling
// interval grows with its length.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"
#include "Sidecar/configuration_poll.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

// The rows of the instance list that matter to this server.
struct InstanceListView {
  std::vector<EntryAddress> entries;
  // Ids of the live servers in this server's pool, itself included.
  std::vector<std::string> pool;
  bool leaving = false;

  bool operator==(const InstanceListView&) const = default;
};

class InstanceWatch {
 public:
  InstanceWatch(ControlTimers& timers,
                InstanceListClient& list,
                std::string instance,
                std::string pool,
                std::function<void(const InstanceListView&)> changed);

  void Start();
  bool Reachable() const { return this->reachable; }

 private:
  void Fetch();
  void OnListing(const Outcome<InstanceListing>& listing);
  InstanceListView ViewOf(const InstanceListing& listing) const;

  ControlTimers& timers;
  InstanceListClient& list;
  std::string instance;
  std::string pool;
  std::function<void(const InstanceListView&)> changed;
  InstanceListView current;
  bool reachable = false;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
