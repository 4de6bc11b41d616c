// Owner capacity of machines and the choice of owners.

#include "LibMembership/partition_owners.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// An owner serves some hundred streams and forwards megabytes of results.
constexpr MachineSize kOwnerRequirements{.cores = 0.2,
                                         .link_mbps = 200,
                                         .memory_mb = 128};
constexpr double kPercent = 100;
// Delay of a machine with a capacity of 100 percent. Instances that are
// deployed together start within some tenths of a second.
constexpr Milliseconds kFullCapacityDelay{200};
constexpr Milliseconds kMaximumDelay{2'000};

}  // namespace

std::int64_t OwnerCapacity(const MachineSize& machine) {
  const double scarcest_ratio =
      std::min({machine.cores / kOwnerRequirements.cores,
                machine.link_mbps / kOwnerRequirements.link_mbps,
                machine.memory_mb / kOwnerRequirements.memory_mb});
  return std::max<std::int64_t>(1, std::llround(scarcest_ratio * kPercent));
}

Milliseconds GroupJoinDelay(std::int64_t capacity) {
  const Milliseconds delay =
      kFullCapacityDelay * static_cast<std::int64_t>(kPercent) / capacity;
  return std::min(delay, kMaximumDelay);
}

std::size_t TargetOwnerCount(std::size_t partitions) {
  constexpr std::size_t kPartitionsPerOwner = 2;
  return (partitions + kPartitionsPerOwner - 1) / kPartitionsPerOwner;
}

bool IsLargeEnough(std::int64_t capacity) {
  return capacity >= static_cast<std::int64_t>(kPercent);
}

bool ShouldOwn(const OwnerCandidate& self,
               bool is_owner,
               std::span<const OwnerCandidate> other_owners,
               std::size_t target_owners) {
  const bool too_many_owners = other_owners.size() >= target_owners;
  const bool ranks_among_equals =
      too_many_owners && !IsLargeEnough(self.capacity);
  const auto is_ahead = [&](const OwnerCandidate& other) {
    if (other.capacity != self.capacity) {
      return other.capacity > self.capacity;
    }
    return !is_owner || (ranks_among_equals && other.name < self.name);
  };
  const auto ahead = static_cast<std::size_t>(
      std::count_if(other_owners.begin(), other_owners.end(), is_ahead));
  return ahead < target_owners;
}

}  // namespace carobbank
