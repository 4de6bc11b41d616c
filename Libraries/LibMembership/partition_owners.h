// Which instances should own the partitions of a log: a few, those with the
// largest capacity first, so that ownership does not overload a small machine.
// Each instance decides for itself from the same list. The list has only
// members with a partition: after a loss of all instances there may be more
// members than partitions, and large machines among those that are not listed.
// Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

// Resources that the platform assigns to an instance.
struct MachineSize {
  // CPU cores, possibly a fraction of one.
  double cores = 1;
  double link_mbps = 1'000;
  double memory_mb = 1'024;
};

// Capacity of a machine to own partitions, in percent of what an owner needs
// under the design load of the service. The scarcest resource decides; at least
// 1.
std::int64_t OwnerCapacity(const MachineSize& machine);

// How long an instance that has just started waits before it joins the owner
// group, so that instances of larger capacity have joined before.
Milliseconds GroupJoinDelay(std::int64_t capacity);

// Number of owners for that many partitions: two partitions per owner leave
// reserve when owners fail.
std::size_t TargetOwnerCount(std::size_t partitions);

// A member of the group of owners.
struct OwnerCandidate {
  // As OwnerCapacity() returned it.
  std::int64_t capacity = 0;
  // Decides between equal capacities.
  std::string_view name;
};

// Whether the capacity suffices for the design load.
bool IsLargeEnough(std::int64_t capacity);

// Whether an instance should be one of `target_owners` owners, given the other
// current owners. Among equal capacities a current owner stays an owner; but of
// machines that are not large enough, those beyond the target leave, so that
// members without a partition get theirs.
bool ShouldOwn(const OwnerCandidate& self,
               bool is_owner,
               std::span<const OwnerCandidate> other_owners,
               std::size_t target_owners);

}  // namespace carobbank
