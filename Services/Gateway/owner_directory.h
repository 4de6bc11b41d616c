// Which instance owns which partition of the log of batch jobs, and where it
// listens for other instances. May be behind: an instance that is asked in
// error says so.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"

namespace carobbank {

class OwnerDirectory {
 public:
  // The group that shares out the topic's partitions.
  OwnerDirectory(GatewayEnvironment& environment,
                 std::string group,
                 std::string topic);
  ~OwnerDirectory();
  OwnerDirectory(const OwnerDirectory&) = delete;
  OwnerDirectory& operator=(const OwnerDirectory&) = delete;

  // Where the other instance that owns the partition listens, "10.1.0.10:8166";
  // empty when none is known, it has no address, or this instance owns it.
  // Valid until the owners are read again.
  std::string_view OtherOwnerAddress(std::int64_t partition) const;
  // Partitions of the instance that listens there.
  std::vector<std::int64_t> PartitionsOf(std::string_view address) const;
  // The group has this generation: reads the owners when it is a new one.
  void NoteGeneration(std::int64_t generation);
  // Reads the owners again, soon.
  void Refresh();
  // They have been read at least once.
  bool Known() const { return this->known; }
  // Fitness of each owner but this instance.
  const std::vector<std::int64_t>& OtherOwnerCapacities() const {
    return this->other_owners;
  }

  static std::int64_t Fitness(const GatewaySettings& settings);
  // The name under which an instance joins the group: it tells its address and
  // its fitness, "front-1@10.1.0.10:8166#250".
  static std::string MemberName(const GatewaySettings& settings);

 private:
  void Ask();
  void Asked(const Outcome<std::vector<PartitionOwner>>& outcome);
  void Take(std::span<const PartitionOwner> rows);

  GatewayEnvironment& environment;
  std::string group;
  std::string topic;
  std::map<std::int64_t, std::string> addresses;
  std::vector<std::int64_t> other_owners;
  bool known = false;
  std::int64_t generation = 0;
  // Invariant: not both set; the timer runs for the pause after a read.
  bool asking = false;
  std::unique_ptr<Timer> timer;
  // Wanted during a read or the pause after it.
  bool again = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
