// Reads the platform's instance list: the entries, this server's own state, and
// the servers of its pool. The list may be large, so the pause between two
// reads grows with it.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"
#include "Sidecar/configuration_poll.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

struct InstanceListView {
  std::vector<EntryAddress> entries;
  // Ids of the live servers of this one's pool, itself included.
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
