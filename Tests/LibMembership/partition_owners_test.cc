// Tests of the choice of partition owners. They guard against owners of too
// little capacity while larger instances are available, partitions without
// enough owners, and ownership that moves between equal instances.

#include "LibMembership/partition_owners.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

namespace carobbank {

TEST_GROUP(PartitionOwners){};

TEST(PartitionOwners, TheScarcestResourceDecides) {
  LONGS_EQUAL(100, OwnerCapacity({0.2, 200, 128}));
  LONGS_EQUAL(45, OwnerCapacity({0.09, 600, 512}));
  LONGS_EQUAL(30, OwnerCapacity({0.5, 60, 512}));
  LONGS_EQUAL(50, OwnerCapacity({0.5, 600, 64}));
  LONGS_EQUAL(1, OwnerCapacity({0, 0, 0}));
}

TEST(PartitionOwners, LargerCapacityJoinsEarlier) {
  CHECK_TRUE(GroupJoinDelay(250) < GroupJoinDelay(100));
  CHECK_TRUE(GroupJoinDelay(100) < GroupJoinDelay(30));
  LONGS_EQUAL(2'000, GroupJoinDelay(1).count());
}

TEST(PartitionOwners, AnyInstanceOwnsWhileThereAreTooFewOwners) {
  const OwnerCandidate others[] = {{250, "a"}, {250, "b"}};
  CHECK_TRUE(ShouldOwn({1, "c"}, false, others, 3));
  CHECK_FALSE(ShouldOwn({1, "c"}, false, others, 2));
  CHECK_FALSE(ShouldOwn({1, "c"}, true, others, 2));
}

TEST(PartitionOwners, AmongEqualCapacitiesAnOwnerStays) {
  const OwnerCandidate others[] = {{100, "a"}, {100, "b"}};
  CHECK_TRUE(ShouldOwn({100, "c"}, true, others, 2));
  CHECK_FALSE(ShouldOwn({100, "c"}, false, others, 2));
}

// Machines of unequal capacity decide one after another, in list order first
// and then repeatedly in reverse order.
TEST(PartitionOwners, TheLargestCapacitiesBecomeOwnersAndStay) {
  constexpr std::size_t kTargetOwners = 4;
  const std::vector<std::int64_t> capacities = {30, 30,  250, 250, 30, 250,
                                                45, 250, 250, 250, 30, 45};
  const std::vector<std::string_view> names = {"a", "b", "c", "d", "e", "f",
                                               "g", "h", "i", "j", "k", "l"};
  std::vector<bool> owns(capacities.size(), false);
  const auto decide = [&](std::size_t index) {
    std::vector<OwnerCandidate> others;
    for (std::size_t other = 0; other < capacities.size(); ++other) {
      if (owns[other] && other != index) {
        others.push_back({capacities[other], names[other]});
      }
    }
    owns[index] = ShouldOwn({capacities[index], names[index]}, owns[index],
                            others, kTargetOwners);
  };
  // Machines of small capacity decide first, as after a join delay that was too
  // short.
  for (std::size_t index = 0; index < capacities.size(); ++index) {
    decide(index);
  }
  for (int round = 0; round < 2; ++round) {
    for (std::size_t index = capacities.size(); index-- > 0;) {
      decide(index);
    }
  }
  const std::vector<bool> settled = owns;
  LONGS_EQUAL(kTargetOwners, std::count(owns.begin(), owns.end(), true));
  for (std::size_t index = 0; index < capacities.size(); ++index) {
    CHECK_TRUE(!owns[index] || capacities[index] == 250);
    decide(index);
  }
  CHECK_TRUE(owns == settled);
}

// The list of owners has no members without a partition, so that large ones
// may be missing from it.
TEST(PartitionOwners, SmallMachinesBeyondTheTargetKeepTheirPartitions) {
  const OwnerCandidate others[] = {{30, "a"}, {30, "b"}, {30, "d"}};
  CHECK_TRUE(ShouldOwn({30, "c"}, true, others, 3));
  CHECK_FALSE(ShouldOwn({30, "e"}, true, others, 3));
  CHECK_TRUE(ShouldOwn({30, "e"}, true, others, 4));
  CHECK_TRUE(ShouldOwn({45, "e"}, true, others, 3));
  // Large ones may stay: nobody needs their partitions.
  const OwnerCandidate large[] = {{100, "a"}, {100, "b"}, {100, "d"}};
  CHECK_TRUE(ShouldOwn({100, "e"}, true, large, 3));
}

}  // namespace carobbank
