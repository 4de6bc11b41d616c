// What gateways send after a request has crashed three servers: one trial at a
// time over all gateways, and only while the log can be reached.

#include <deque>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kGateways = 3;
// The rule of the platform: a request that crashed three servers reaches
// servers in at most three retries more.
constexpr std::size_t kMaxTrials = 3;
constexpr std::size_t kCrashesToNotice = 3;
constexpr const char* kBody = "fatal body";

}  // namespace

TEST_GROUP(SuspectTrial) {
  GatewayFleet fleet{kGateways};
  std::deque<ReceivedResponse> received;
  std::vector<std::shared_ptr<ForwardedCall>> calls;

  void teardown() override {
    this->calls.clear();
  }

  std::size_t Sent() {
    return this->fleet.servers.ServedWithBody(kBody).size();
  }
  std::size_t Crashes() {
    return this->fleet.servers.fatal_crashes.size();
  }

  void CrashThreeServers() {
    for (std::size_t index = 0; index < kGateways; ++index) {
      this->fleet.Call(*this->fleet.gateways[index], "/app/x", kBody);
    }
    CHECK_TRUE(this->Crashes() >= kCrashesToNotice);
    this->fleet.RunFor(Milliseconds(100));
  }

  void WaitForEndOfRefusal() {
    constexpr Milliseconds kMargin{200};
    this->fleet.RunFor(QuarantineTrialOptions().first_refusal + kMargin);
  }

  // Callers send the request at every gateway again and again.
  void CallEverywhere(Milliseconds duration) {
    constexpr Milliseconds kPeriod{50};
    for (Milliseconds elapsed{0}; elapsed < duration; elapsed += kPeriod) {
      for (const auto& gateway : this->fleet.gateways) {
        this->calls.push_back(this->fleet.StartCall(
            *gateway, "/app/x", kBody, this->received.emplace_back()));
      }
      this->fleet.RunFor(kPeriod);
    }
  }

  void LetServersRefuse() {
    this->fleet.servers.fatal_text = "no request is fatal";
    this->fleet.servers.answer = [](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      response.status = 503;
      response.headers.push_back({"Not-Run", "1"});
      return response;
    };
  }
};

TEST(SuspectTrial, ATrialThatAServerRefusesGoesOnToOtherServers) {
  this->CrashThreeServers();
  this->WaitForEndOfRefusal();
  this->LetServersRefuse();
  const std::size_t before = this->Sent();
  LONGS_EQUAL(
      503, this->fleet.Call(*this->fleet.gateways[0], "/app/x", kBody).status);
  LONGS_EQUAL(before + 1, this->Sent());
}

TEST(SuspectTrial, EachGatewayTriesARequestThatServersRefuse) {
  this->CrashThreeServers();
  this->WaitForEndOfRefusal();
  this->LetServersRefuse();
  const std::size_t before = this->Sent();
  this->CallEverywhere(Milliseconds(2'000));
  LONGS_EQUAL(before + 1, this->Sent());
}

TEST(SuspectTrial, GatewaysWithoutTheLogTryARefusedRequest) {
  this->CrashThreeServers();
  this->fleet.fixture.log.faults.outage = true;
  this->fleet.fixture.log.FailWaitingReads();
  this->WaitForEndOfRefusal();
  const std::size_t before = this->Sent();
  this->CallEverywhere(Milliseconds(2'000));
  LONGS_EQUAL(before, this->Sent());
}

TEST(SuspectTrial, ATrialIsSentThoughItsClaimMayHaveComeLate) {
  this->CrashThreeServers();
  this->WaitForEndOfRefusal();
  const std::size_t before = this->Sent();
  this->fleet.fixture.log.faults.lost_answers = 1;
  LONGS_EQUAL(
      503, this->fleet.Call(*this->fleet.gateways[0], "/app/x", kBody).status);
  this->CallEverywhere(Milliseconds(500));
  LONGS_EQUAL(before, this->Sent());
}

TEST(SuspectTrial, AClaimThatMeetsOtherRecordsIsGivenUp) {
  this->CrashThreeServers();
  this->WaitForEndOfRefusal();
  const std::size_t before = this->Sent();
  ReceivedResponse received;
  const auto call = this->fleet.StartCall(*this->fleet.gateways[0], "/app/x",
                                          kBody, received);
  CrashReport other;
  other.instance = "app-0";
  other.digests = {"other"};
  this->fleet.fixture.log.Put(CrashesPartition(),
                              {RequestRecordLog::EncodeCrash(other)});
  CHECK_TRUE(this->fleet.RunUntil([&] { return call->Ended(); }));
  LONGS_EQUAL(before + 1, this->Sent());
}

TEST(SuspectTrial, ARequestThatServersSurviveNowAndThenCrashesMoreAndMore) {
  this->fleet.servers.survived_run = 3;
  constexpr std::size_t kCalls = 60;
  for (std::size_t index = 0; index < kCalls; ++index) {
    this->fleet.Call(*this->fleet.gateways[index % kGateways], "/app/x", kBody);
    this->fleet.RunFor(Milliseconds(50));
  }
  CHECK_TRUE(this->Crashes() <= kCrashesToNotice + kMaxTrials);
}

}  // namespace carobbank
