// Which instances should share the partitions of a log among them: a few, the
// strongest first, so that no owner is a machine that its work would drown.
// Every instance decides for itself from the same list. Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "LibCore/core.h"

namespace carobbank {

// What the platform gives an instance.
struct MachineSize {
  // Cores, or a share of one.
  double cores = 1;
  double link_mbps = 1'000;
  double memory_mb = 1'024;
};

// How fit a machine is to own partitions, in percent of what an owner needs
// under the load that the service is designed for: its scarcest part decides.
std::int64_t OwnerCapacity(const MachineSize& machine);

// How long an instance that has just started waits before it offers itself, so
// that fitter ones are there already.
Milliseconds GroupJoinDelay(std::int64_t capacity);

// Owners for that many partitions: two partitions each leave owners spare when
// some are lost.
std::size_t TargetOwnerCount(std::size_t partitions);

// Whether an instance should be one of `wanted` owners, beside the others of
// these fitnesses that are. Among equals who is an owner stays one.
bool ShouldOwn(std::int64_t capacity,
               bool is_owner,
               std::span<const std::int64_t> other_owners,
               std::size_t wanted);

}  // namespace carobbank
