// Guards against job partitions without an owner, and against needless
// ownership changes: when an instance joins the group of owners, stays a member
// and leaves.

#include "Services/Gateway/partition_membership.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(PartitionMembership) {
  GatewayFixture fixture;
  std::unique_ptr<OwnerDirectory> owners;
  std::unique_ptr<PartitionMembership> membership;
  std::set<std::int64_t> owned;

  void setup() override {
    this->fixture.settings.job_partitions = 4;
    this->fixture.settings.peer_listen = "10.0.0.1:1";
    this->fixture.settings.member_ttl_ms = 40;
  }
  void teardown() override {
    this->membership.reset();
    this->owners.reset();
  }

  void Start(double cores) {
    this->fixture.settings.machine.cores = cores;
    this->owners = std::make_unique<OwnerDirectory>(this->fixture.environment,
                                                    "group", "jobs");
    this->membership = std::make_unique<PartitionMembership>(
        this->fixture.environment, *this->owners, "group", "jobs",
        [this](std::set<std::int64_t> partitions) {
          this->owned = std::move(partitions);
        });
    this->membership->Start();
  }
  // Makes other instances own all partitions, as many instances as there should
  // be owners.
  void SetOthers(int capacity) {
    const std::string capacity_suffix = "#" + std::to_string(capacity);
    this->fixture.log.owners = {
        {{"jobs", 0}, "a@10.0.0.2:1" + capacity_suffix},
        {{"jobs", 1}, "a@10.0.0.2:1" + capacity_suffix},
        {{"jobs", 2}, "b@10.0.0.3:1" + capacity_suffix},
        {{"jobs", 3}, "b@10.0.0.3:1" + capacity_suffix}};
  }
  void Assign(std::int64_t generation, std::vector<std::int64_t> numbers) {
    this->fixture.log.membership.generation = generation;
    this->fixture.log.membership.partitions.clear();
    for (const std::int64_t number : numbers) {
      this->fixture.log.membership.partitions.push_back({"jobs", number});
    }
  }
  bool RunUntilOwned(const std::set<std::int64_t>& wanted) {
    return this->fixture.runner.RunUntil([&] { return this->owned == wanted; });
  }
};

TEST(PartitionMembership, AnInstanceJoinsWhenOwnersAreMissing) {
  // The topic has more partitions than are used.
  this->Assign(1, {1, 3, 7});
  this->Start(1);
  CHECK_TRUE(this->RunUntilOwned({1, 3}));
}

TEST(PartitionMembership, AnInstanceJoinsOnlyWhenThereAreTooFewOwners) {
  this->SetOthers(500);
  this->Start(1);
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->fixture.log.joins);
  // One owner is gone; the log has assigned its partitions already.
  this->fixture.log.owners.resize(2);
  this->Assign(2, {2, 3});
  CHECK_TRUE(this->RunUntilOwned({2, 3}));
}

TEST(PartitionMembership, AnOwnerLeavesOnlyForOwnersOfLargerCapacity) {
  this->Assign(1, {0});
  this->Start(1);
  CHECK_TRUE(this->RunUntilOwned({0}));
  this->SetOthers(500);
  this->Assign(2, {0});
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->fixture.log.leaves);
  this->SetOthers(501);
  this->Assign(3, {0});
  CHECK_TRUE(this->RunUntilOwned({}));
  LONGS_EQUAL(1, this->fixture.log.leaves);
}

TEST(PartitionMembership, OwnershipOutlastsAnOutageOfTheLog) {
  this->Assign(1, {0});
  this->Start(1);
  CHECK_TRUE(this->RunUntilOwned({0}));
  this->fixture.log.faults.outage = true;
  this->fixture.runner.RunFor(Milliseconds(100));
  LONGS_EQUAL(1, this->owned.size());
}

TEST(PartitionMembership, AnInstanceThatShutsDownReleasesItsPartitions) {
  this->Assign(1, {0});
  this->Start(1);
  CHECK_TRUE(this->RunUntilOwned({0}));
  this->membership->Shutdown();
  CHECK_TRUE(this->owned.empty());
  const std::size_t joins = this->fixture.log.joins;
  this->fixture.runner.RunFor(Milliseconds(100));
  LONGS_EQUAL(joins, this->fixture.log.joins);
}

}  // namespace carobbank
