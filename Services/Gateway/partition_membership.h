// This instance's membership in the group that assigns the partitions of batch
// jobs: joins while this instance should be an owner, renews the membership,
// and leaves.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway_environment.h"
#include "owner_directory.h"

namespace carobbank {

class PartitionMembership {
 public:
  // Calls `on_owned` with the partitions that this instance owns from now on.
  PartitionMembership(GatewayEnvironment& environment,
                      OwnerDirectory& owners,
                      std::string group,
                      std::string topic,
                      std::function<void(std::set<std::int64_t>)> on_owned);
  ~PartitionMembership();
  PartitionMembership(const PartitionMembership&) = delete;
  PartitionMembership& operator=(const PartitionMembership&) = delete;

  void Start();
  // Releases all partitions at once, for a shutdown.
  void Shutdown();

 private:
  void ReconcileAfter(Milliseconds delay);
  void Reconcile();
  void ReconcileAsNonMember(bool should_own);
  void Join();
  void OnJoined(const Outcome<GroupMembership>& outcome);
  void Leave();
  void SetOwned(std::set<std::int64_t> partitions);

  GatewayEnvironment& environment;
  OwnerDirectory& owners;
  std::string group;
  std::string topic;
  std::function<void(std::set<std::int64_t>)> on_owned;
  std::int64_t capacity;
  std::set<std::int64_t> owned;
  // The generation in the last successful join response.
  std::int64_t generation = 0;
  // The log may count this instance as a member.
  bool member = false;
  bool shut_down = false;
  // Since when this instance has not been a member though it should own.
  std::optional<MonotonicTime> owners_missing_since;
  MonotonicTime started_at{};
  // When a member last read the owners.
  MonotonicTime owners_requested_at{};
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
