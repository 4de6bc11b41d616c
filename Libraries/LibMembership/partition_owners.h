// Which instances should own the partitions of a log: a few, those with the
// largest capacity first, so that ownership does not overload a small machine.
// Each instance decides for itself from the same list. Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

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

// Whether an instance should be one of `target_owners` owners, given the
// capacities of the other current owners. Among equal capacities a current
// owner stays an owner.
bool ShouldOwn(std::int64_t capacity,
               bool is_owner,
               std::span<const std::int64_t> other_owners,
               std::size_t target_owners);

}  // namespace carobbank
