// Fitness of machines and the choice of owners.

#include "LibMembership/partition_owners.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// An owner drives some hundred streams and hands megabytes of results on.
constexpr MachineSize kOwnerNeeds{.cores = 0.2,
                                  .link_mbps = 200,
                                  .memory_mb = 128};
constexpr double kPercent = 100;
// A machine that is just fit waits for this long; instances that start together
// start within some tenths of a second.
constexpr Milliseconds kFitDelay{200};
constexpr Milliseconds kLongestDelay{2'000};

}  // namespace

std::int64_t OwnerCapacity(const MachineSize& machine) {
  const double scarcest = std::min({machine.cores / kOwnerNeeds.cores,
                                    machine.link_mbps / kOwnerNeeds.link_mbps,
                                    machine.memory_mb / kOwnerNeeds.memory_mb});
  return std::max<std::int64_t>(1, std::llround(scarcest * kPercent));
}

Milliseconds GroupJoinDelay(std::int64_t capacity) {
  const Milliseconds delay =
      kFitDelay * static_cast<std::int64_t>(kPercent) / capacity;
  return std::min(delay, kLongestDelay);
}

std::size_t TargetOwnerCount(std::size_t partitions) {
  constexpr std::size_t kPartitionsEach = 2;
  return (partitions + kPartitionsEach - 1) / kPartitionsEach;
}

bool ShouldOwn(std::int64_t capacity,
               bool is_owner,
               std::span<const std::int64_t> other_owners,
               std::size_t wanted) {
  const auto ahead = static_cast<std::size_t>(std::count_if(
      other_owners.begin(), other_owners.end(), [=](std::int64_t other) {
        return is_owner ? other > capacity : other >= capacity;
      }));
  return ahead < wanted;
}

}  // namespace carobbank
