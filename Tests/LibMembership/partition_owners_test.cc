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
  const std::int64_t others[] = {250, 250};
  CHECK_TRUE(ShouldOwn(1, false, others, 3));
  CHECK_FALSE(ShouldOwn(1, false, others, 2));
  CHECK_FALSE(ShouldOwn(1, true, others, 2));
}

TEST(PartitionOwners, AmongEqualCapacitiesAnOwnerStays) {
  const std::int64_t others[] = {100, 100};
  CHECK_TRUE(ShouldOwn(100, true, others, 2));
  CHECK_FALSE(ShouldOwn(100, false, others, 2));
}

// Machines of unequal capacity decide one after another, in list order first
// and then repeatedly in reverse order.
TEST(PartitionOwners, TheLargestCapacitiesBecomeOwnersAndStay) {
  constexpr std::size_t kTargetOwners = 4;
  const std::vector<std::int64_t> capacities = {30, 30,  250, 250, 30, 250,
                                                45, 250, 250, 250, 30, 45};
  std::vector<bool> owns(capacities.size(), false);
  const auto decide = [&](std::size_t index) {
    std::vector<std::int64_t> others;
    for (std::size_t other = 0; other < capacities.size(); ++other) {
      if (owns[other] && other != index) {
        others.push_back(capacities[other]);
      }
    }
    owns[index] =
        ShouldOwn(capacities[index], owns[index], others, kTargetOwners);
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

}  // namespace carobbank
