// Many gateways of two sizes that start together after all were lost. Guards
// against partitions that stay with machines too small to read them.

#include <algorithm>

#include "Services/Gateway/partition_membership.h"
#include "Support/fake_owner_group.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kPartitions = 8;
constexpr Milliseconds kTtl{600};
constexpr MachineSettings kLarge{.cores = 0.5,
                                 .link_mbps = 600,
                                 .memory_mb = 512};
constexpr MachineSettings kSmall{.cores = 0.09,
                                 .link_mbps = 60,
                                 .memory_mb = 160};
constexpr std::string_view kLargePrefix = "large-";

// The parts of a gateway that make it an owner.
struct Candidate {
  Candidate(GatewayFixture& fixture,
            FakeOwnerGroup& group,
            const std::string& name,
            const MachineSettings& machine)
      : settings(SettingsOf(fixture.settings, name, machine)),
        environment{this->settings,
                    fixture.dialect,
                    fixture.clock,
                    fixture.random,
                    fixture.runner.loop,
                    fixture.client,
                    group,
                    fixture.metrics,
                    fixture.fleet,
                    fixture.loads,
                    fixture.quarantine,
                    fixture.retries,
                    fixture.limits,
                    fixture.permits,
                    fixture.configuration,
                    fixture.admission},
        owners(this->environment, "group", "jobs"),
        membership(this->environment,
                   this->owners,
                   "group",
                   "jobs",
                   [](const std::set<std::int64_t>&) {}) {}

  static GatewaySettings SettingsOf(GatewaySettings settings,
                                    const std::string& name,
                                    const MachineSettings& machine) {
    settings.instance = name;
    settings.peer_listen = name + ":1";
    settings.machine = machine;
    settings.job_partitions = kPartitions;
    settings.member_ttl_ms = kTtl.count();
    return settings;
  }

  GatewaySettings settings;
  GatewayEnvironment environment;
  OwnerDirectory owners;
  PartitionMembership membership;
};

}  // namespace

TEST_GROUP(OwnerChoice) {
  GatewayFixture fixture;
  FakeOwnerGroup group{fixture.runner.loop, "jobs", kPartitions, kTtl};
  std::vector<std::unique_ptr<Candidate>> candidates;

  void teardown() override {
    this->candidates.clear();
  }

  void Add(const std::string& name, const MachineSettings& machine) {
    this->candidates.push_back(
        std::make_unique<Candidate>(this->fixture, this->group, name, machine));
  }
  // Starts the gateways one after the other, in an order that has nothing to do
  // with their sizes.
  void StartAll() {
    constexpr Milliseconds kBetweenStarts{10};
    std::sort(this->candidates.begin(), this->candidates.end(),
              [](const auto& left, const auto& right) {
                return FastHash(left->settings.instance) <
                       FastHash(right->settings.instance);
              });
    for (const auto& candidate : this->candidates) {
      candidate->membership.Start();
      this->fixture.runner.RunFor(kBetweenStarts);
    }
  }
  void RunUntilAllOwned() {
    CHECK_TRUE(this->fixture.runner.RunUntil([this] {
      const std::vector<std::string>& holders = this->group.Holders();
      return std::count(holders.begin(), holders.end(), "") == 0;
    }));
  }
  std::size_t HeldBySmall() {
    const std::vector<std::string>& holders = this->group.Holders();
    return static_cast<std::size_t>(std::count_if(
        holders.begin(), holders.end(), [](const std::string& holder) {
          return !holder.starts_with(kLargePrefix);
        }));
  }
};

TEST(OwnerChoice, MembersWithoutPartitionsLeaveThemWithSmallMachines) {
  // More members than partitions, of which the group prefers the first.
  for (int index = 0; index < 12; ++index) {
    this->Add("a-small-" + std::to_string(index), kSmall);
  }
  this->StartAll();
  this->RunUntilAllOwned();
  LONGS_EQUAL(kPartitions, this->HeldBySmall());
  for (int index = 0; index < 5; ++index) {
    this->Add("large-" + std::to_string(index), kLarge);
    this->candidates.back()->membership.Start();
  }
  this->fixture.runner.RunFor(Milliseconds(5'000));
  LONGS_EQUAL(0, this->HeldBySmall());
}

TEST(OwnerChoice, NobodyOwnsWhereAllMachinesAreSmall) {
  for (int index = 0; index < 12; ++index) {
    this->Add("small-" + std::to_string(index), kSmall);
  }
  this->StartAll();
  this->RunUntilAllOwned();
}

}  // namespace carobbank
