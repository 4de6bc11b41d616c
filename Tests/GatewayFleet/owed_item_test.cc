// Samples and reward calls under which servers crashed for other reasons. They
// are owed: they are placed soon after calm, whichever gateway owns them.

#include <algorithm>
#include <set>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr const char* kBody = "fatal body";
// Far beyond the crashes after which a plain request is refused.
constexpr std::size_t kBurst = 5;
constexpr Milliseconds kBurstLimit{20'000};
constexpr Milliseconds kTimeToPlace{2'000};

}  // namespace

TEST_GROUP(OwedItem) {
  GatewayFleet fleet{1};

  void setup() override {
    this->fleet.servers.max_fatal_crashes = kBurst;
  }

  BatchJob JobWith(std::size_t unlucky) const {
    BatchJob job = this->fleet.Job("j", 4);
    job.samples[unlucky].body_base64 = EncodeBase64(kBody);
    return job;
  }
  std::size_t Crashes() {
    return this->fleet.servers.fatal_crashes.size();
  }
  void WaitForCrashes(std::size_t count) {
    const MonotonicTime end = std::chrono::steady_clock::now() + kBurstLimit;
    this->fleet.RunUntil([&] {
      return this->Crashes() >= count || std::chrono::steady_clock::now() > end;
    });
    CHECK_TRUE_TEXT(this->Crashes() >= count,
                    "the sample was not placed during the burst");
  }
  void CheckPlacedSoon(std::size_t gateway, const std::string& job,
                       std::size_t results) {
    const MonotonicTime end = std::chrono::steady_clock::now() + kTimeToPlace;
    CHECK_TRUE_TEXT(this->fleet.RunUntil([&] {
      return GatewayFleet::Results(*this->fleet.gateways[gateway], job) ==
                 results ||
             std::chrono::steady_clock::now() > end;
    }),
                    "neither a result nor the end of the time was reached");
    LONGS_EQUAL(results,
                GatewayFleet::Results(*this->fleet.gateways[gateway], job));
  }
};

TEST(OwedItem, ASampleUnderWhichServersCrashedIsNotPlacedAfterCalm) {
  this->fleet.PutJob(this->JobWith(2));
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(kBurst);
  this->CheckPlacedSoon(0, "j", 4);
}

TEST(OwedItem, ARewardCallUnderWhichServersCrashedIsNotPlacedAfterCalm) {
  BatchJob job = this->fleet.Job("j", 4);
  for (JobSample& sample : job.samples) {
    sample.reward = RewardCall{"reward-" + sample.id, "app.example",
                               "/app/reward", EncodeBase64("of " + sample.id)};
  }
  job.samples[1].reward->body_base64 = EncodeBase64(kBody);
  this->fleet.PutJob(job);
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(kBurst);
  this->CheckPlacedSoon(0, "j", 4);
}

TEST(OwedItem, ASampleIsNotPlacedByTheNextOwnerAfterCalm) {
  this->fleet.PutJob(this->JobWith(2));
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(kBurst - 2);
  this->fleet.gateways.pop_back();
  this->fleet.StartGateway();
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(kBurst);
  this->CheckPlacedSoon(0, "j", 4);
}

TEST(OwedItem, ASampleIsNotPlacedAfterCrashesWhileTheLogIsAway) {
  this->fleet.PutJob(this->JobWith(2));
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(2);
  this->fleet.fixture.log.faults.outage = true;
  this->fleet.fixture.log.FailWaitingReads();
  this->WaitForCrashes(kBurst);
  this->fleet.fixture.log.faults.outage = false;
  this->CheckPlacedSoon(0, "j", 4);
}

TEST(OwedItem, ASampleIsNotPlacedByALaterJobThatCarriesIt) {
  this->fleet.PutJob(this->JobWith(2));
  this->fleet.gateways[0]->runner->SetOwned({0});
  this->WaitForCrashes(kBurst);
  this->fleet.fixture.log.Put(JobsPartition(), {EncodeEnd("j")});
  BatchJob later = this->JobWith(2);
  later.id = "later";
  this->fleet.PutJob(later);
  this->CheckPlacedSoon(0, "later", 4);
}

TEST(OwedItem, ManySamplesUnderWhichServersCrashedArePlacedOneByOne) {
  constexpr std::size_t kSamples = 64;
  this->fleet.servers.duration = Milliseconds(100);
  this->fleet.PutJob(this->fleet.Job("j", kSamples));
  this->fleet.gateways[0]->runner->SetOwned({0});
  constexpr std::size_t kBursts = 2;
  for (std::size_t burst = 0; burst < kBursts; ++burst) {
    const std::size_t losses = this->fleet.servers.innocent_losses;
    this->fleet.RunUntil([&] {
      this->fleet.servers.CrashWhere("llm-", true);
      return this->fleet.servers.innocent_losses > losses + kSamples / 4;
    });
    this->fleet.RunFor(Milliseconds(600));
  }
  this->CheckPlacedSoon(0, "j", kSamples);
}

TEST(OwedItem, ACallBesideASampleThatEndsServersIsRefused) {
  RequestQuarantine& quarantine = this->fleet.gateways[0]->quarantine;
  constexpr std::size_t kServers = 4;
  const std::string call = DigestOfRequest("POST", "app.example/app/x", "fine");
  BatchJob job = this->JobWith(0);
  job.samples[0].path = "/train/again";
  this->fleet.PutJob(job);
  this->fleet.gateways[0]->runner->SetOwned({0});
  for (std::size_t crash = 0; crash < kServers; ++crash) {
    this->WaitForCrashes(crash + 1);
    const FatalCrash& last = this->fleet.servers.fatal_crashes.back();
    const std::vector<FleetServer> servers = this->fleet.servers.Registered();
    const auto server = std::find_if(
        servers.begin(), servers.end(),
        [&](const auto& each) { return each.id == last.server_id; });
    ServerAttempt attempt;
    attempt.server_id = server->id;
    attempt.service = server->service;
    attempt.address = server->address;
    attempt.server_start = server->started_at;
    attempt.digest = call;
    quarantine.OnAttemptStarted(attempt);
    quarantine.OnAttemptEnded(attempt, {SendOutcome::kFailed},
                              Milliseconds(10));
  }
  this->fleet.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, quarantine.RefusedFor(call).count());
}

}  // namespace carobbank
