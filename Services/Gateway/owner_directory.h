// Which instance owns which partition of the log of batch jobs, and the address
// at which that instance listens for other instances. The directory may be
// stale: an instance that receives a call for a partition that it does not own
// refuses the call.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"

namespace carobbank {

class OwnerDirectory {
 public:
  // `group` assigns the partitions of `topic` to its members.
  OwnerDirectory(GatewayEnvironment& environment,
                 std::string group,
                 std::string topic);
  ~OwnerDirectory();
  OwnerDirectory(const OwnerDirectory&) = delete;
  OwnerDirectory& operator=(const OwnerDirectory&) = delete;

  // Address of the other instance that owns the partition, "10.1.0.10:8166";
  // empty when the owner is unknown, has no address, or is this instance. Valid
  // until the owners are read again.
  std::string_view OtherOwnerAddress(std::int64_t partition) const;
  // Addresses of the other instances that own partitions.
  std::set<std::string> OtherOwnerAddresses() const;
  // Partitions of the instance that listens at `address`.
  std::vector<std::int64_t> PartitionsOf(std::string_view address) const;
  // Reads the owners again when the group has a new generation.
  void OnGeneration(std::int64_t generation);
  // Reads the owners again, at once or after the minimum interval between
  // reads.
  void Refresh();
  // The owners have been read at least once.
  bool OwnersRead() const { return this->owners_read; }
  // Each owner but this instance. Valid until the owners are read again.
  std::vector<OwnerCandidate> OtherOwners() const;

  static std::int64_t Capacity(const GatewaySettings& settings);
  // The name under which an instance joins the group, with its address and its
  // capacity: "front-1@10.1.0.10:8166#250".
  static std::string MemberName(const GatewaySettings& settings);

 private:
  void ReadOwners();
  void OnOwnersRead(const Outcome<std::vector<PartitionOwner>>& outcome);
  void ApplyOwners(std::span<const PartitionOwner> rows);

  GatewayEnvironment& environment;
  std::string group;
  std::string topic;
  std::map<std::int64_t, std::string> addresses;
  // By name of the member: its capacity.
  std::map<std::string, std::int64_t> other_owners;
  bool owners_read = false;
  std::int64_t generation = 0;
  // Invariant: not both set; the timer runs for the minimum interval after a
  // read.
  bool reading = false;
  std::unique_ptr<Timer> timer;
  // A refresh was requested during a read or the interval after it.
  bool read_again = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
