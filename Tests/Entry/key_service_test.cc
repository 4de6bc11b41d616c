// Tests of KeyService over a faulty log: at most one attempt of a key is sent,
// whatever the log does and at however many entries the caller tries.

#include "Services/Entry/key_service.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(KeyService) {
  LoopRunner runner;
  // The committer paces by it.
  SystemClock clock;
  FakeLog log{clock};
  Random random{11};
  EventTimeline timeline{clock, {}};
  MetricRegistry metrics{clock};
  Milliseconds patience{60'000};

  std::unique_ptr<KeyService> MakeEntry() {
    GroupCommitterOptions committer;
    committer.minimum_interval = Milliseconds(0);
    RetentionOptions retention;
    auto service = std::make_unique<KeyService>(KeyServiceEnvironment{
        this->runner.loop, this->clock, this->random, this->log, this->timeline,
        this->metrics, committer, retention, LongestKeyWindow(retention),
        this->patience});
    service->Start();
    return service;
  }

  KeyedRequest Request(std::string_view digest = "digest") {
    KeyedRequest request;
    request.name = {"dispatch", "key-1"};
    request.issued_ms = this->clock.WallNow();
    request.deadline_ms = this->clock.WallNow() + 60'000;
    request.request_digest = std::string(digest);
    return request;
  }

  ClaimAnswer Claim(KeyService & entry, const KeyedRequest& request) {
    std::optional<ClaimAnswer> answer;
    entry.Claim(request,
                [&answer](ClaimAnswer given) { answer = std::move(given); });
    CHECK_TRUE(this->runner.RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }
};

TEST(KeyService, TwoEntriesAndOneKeyGiveOneWinner) {
  const auto first = this->MakeEntry();
  const auto second = this->MakeEntry();
  const KeyedRequest request = this->Request();
  std::vector<ClaimAnswer> answers;
  for (KeyService* entry : {first.get(), second.get()}) {
    entry->Claim(request, [&answers](ClaimAnswer answer) {
      answers.push_back(std::move(answer));
    });
  }
  CHECK_TRUE(this->runner.RunUntil([&] { return answers.size() == 2; }));
  int winners = 0;
  for (const ClaimAnswer& answer : answers) {
    winners += std::holds_alternative<ClaimWon>(answer) ? 1 : 0;
    if (const auto* refusal = std::get_if<Problem>(&answer)) {
      STRCMP_EQUAL("key_in_progress", refusal->code.c_str());
      CHECK_TRUE(refusal->execution == Execution::kMayHaveRun);
    }
  }
  LONGS_EQUAL(1, winners);
}

TEST(KeyService, ARepeatGetsTheStoredOutcomeAtAnyEntry) {
  const auto first = this->MakeEntry();
  const KeyedRequest request = this->Request();
  const ClaimAnswer won = this->Claim(*first, request);
  bool stored = false;
  first->Finish(request.name, std::get<ClaimWon>(won).attempt,
                MakeStoredOutcome(200, "text/plain", "slot b2"),
                [&stored] { stored = true; });
  CHECK_TRUE(this->runner.RunUntil([&] { return stored; }));
  const auto second = this->MakeEntry();
  const ClaimAnswer repeat = this->Claim(*second, request);
  STRCMP_EQUAL("slot b2", std::get<StoredOutcome>(repeat).body.c_str());
  const ClaimAnswer other = this->Claim(*second, this->Request("other"));
  STRCMP_EQUAL("key_reused", std::get<Problem>(other).code.c_str());
}

TEST(KeyService, AnUnusedClaimThatIsReleasedMayBeWonAgain) {
  const auto entry = this->MakeEntry();
  const KeyedRequest request = this->Request();
  const ClaimAnswer won = this->Claim(*entry, request);
  entry->Release(request.name, std::get<ClaimWon>(won).attempt);
  CHECK_TRUE(this->runner.RunUntil([&] { return !entry->WritesPending(); }));
  const auto other = this->MakeEntry();
  CHECK_TRUE(std::holds_alternative<ClaimWon>(this->Claim(*other, request)));
}

TEST(KeyService, ALostAppendAnswerStillGivesOneWinner) {
  const auto entry = this->MakeEntry();
  this->log.faults.lost_answers = 1;
  const ClaimAnswer answer = this->Claim(*entry, this->Request());
  CHECK_TRUE(std::holds_alternative<ClaimWon>(answer));
  const auto other = this->MakeEntry();
  const ClaimAnswer second = this->Claim(*other, this->Request());
  STRCMP_EQUAL("key_in_progress", std::get<Problem>(second).code.c_str());
}

TEST(KeyService, AKnownOutcomeIsGivenWhileTheLogIsDown) {
  const auto entry = this->MakeEntry();
  const KeyedRequest request = this->Request();
  const ClaimAnswer won = this->Claim(*entry, request);
  bool stored = false;
  entry->Finish(request.name, std::get<ClaimWon>(won).attempt,
                MakeStoredOutcome(200, "text/plain", "slot b2"),
                [&stored] { stored = true; });
  CHECK_TRUE(this->runner.RunUntil([&] { return stored; }));
  // Another key's claim lets the tail read the outcome.
  KeyedRequest other = request;
  other.name.key = "key-2";
  this->Claim(*entry, other);
  this->log.faults.append_outage = true;
  this->log.faults.read_outage = true;
  const ClaimAnswer repeat = this->Claim(*entry, request);
  STRCMP_EQUAL("slot b2", std::get<StoredOutcome>(repeat).body.c_str());
}

TEST(KeyService, WhileTheLogIsDownNothingIsSent) {
  this->log.faults.append_outage = true;
  this->log.faults.read_outage = true;
  this->patience = Milliseconds(20);
  const auto entry = this->MakeEntry();
  const ClaimAnswer answer = this->Claim(*entry, this->Request());
  const auto& refusal = std::get<Problem>(answer);
  STRCMP_EQUAL("log_unavailable", refusal.code.c_str());
  CHECK_TRUE(refusal.execution == Execution::kNotRun);
}

}  // namespace carobbank
