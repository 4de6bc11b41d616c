// This instance's part in the group that shares out the partitions of batch
// jobs: joins while it should be an owner, keeps its place, and leaves.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "gateway_environment.h"
#include "owner_directory.h"

namespace carobbank {

class PartitionMembership {
 public:
  // `on_owned`: the partitions of this instance from now on.
  PartitionMembership(GatewayEnvironment& environment,
                      OwnerDirectory& owners,
                      std::string group,
                      std::string topic,
                      std::function<void(std::set<std::int64_t>)> on_owned);
  ~PartitionMembership();
  PartitionMembership(const PartitionMembership&) = delete;
  PartitionMembership& operator=(const PartitionMembership&) = delete;

  void Start();
  // Gives everything back at once, for a shutdown.
  void Shutdown();

 private:
  void ReviewAfter(Milliseconds delay);
  void Review();
  void Join();
  void Joined(const Outcome<GroupMembership>& outcome);
  void Leave();
  void SetOwned(std::set<std::int64_t> partitions);

  GatewayEnvironment& environment;
  OwnerDirectory& owners;
  std::string group;
  std::string topic;
  std::function<void(std::set<std::int64_t>)> on_owned;
  std::int64_t capacity;
  std::set<std::int64_t> owned;
  // The newest that a join was answered with.
  std::int64_t generation = 0;
  // The log may count this instance as a member.
  bool member = false;
  bool shut_down = false;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
