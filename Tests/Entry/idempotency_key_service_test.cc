// Tests of IdempotencyKeyService over a faulty log. They guard against a second
// execution of a keyed request: of all attempts under one key, at any number of
// entries and with any fault of the log, at most one wins the claim.

#include "Services/Entry/idempotency_key_service.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(IdempotencyKeyService) {
  LoopRunner runner;
  // The group committer schedules its appends by this clock.
  SystemClock clock;
  FakeLog log{clock};
  Random random{11};
  EventTimeline timeline{clock, {}};
  MetricRegistry metrics{clock};
  Milliseconds claim_timeout{60'000};

  std::unique_ptr<IdempotencyKeyService> MakeEntry() {
    GroupCommitterOptions committer;
    committer.minimum_interval = Milliseconds(0);
    RetentionOptions retention;
    auto service = std::make_unique<IdempotencyKeyService>(
        IdempotencyKeyServiceEnvironment{
            this->runner.loop, this->clock, this->random, this->log,
            this->timeline, this->metrics, committer, retention,
            LongestKeyWindow(retention), this->claim_timeout});
    service->Start();
    return service;
  }

  KeyClaimRequest Request(std::string_view digest = "digest") {
    KeyClaimRequest request;
    request.name = {"dispatch", "key-1"};
    request.issued_ms = this->clock.WallNow();
    request.deadline_ms = this->clock.WallNow() + 60'000;
    request.request_digest = std::string(digest);
    return request;
  }

  ClaimResult Claim(IdempotencyKeyService & entry,
                    const KeyClaimRequest& request) {
    std::optional<ClaimResult> result;
    entry.Claim(request,
                [&result](ClaimResult given) { result = std::move(given); });
    CHECK_TRUE(this->runner.RunUntil([&] { return result.has_value(); }));
    return *result;
  }
};

TEST(IdempotencyKeyService, TwoEntriesAndOneKeyGiveOneWinner) {
  const auto first = this->MakeEntry();
  const auto second = this->MakeEntry();
  const KeyClaimRequest request = this->Request();
  std::vector<ClaimResult> results;
  for (IdempotencyKeyService* entry : {first.get(), second.get()}) {
    entry->Claim(request, [&results](ClaimResult result) {
      results.push_back(std::move(result));
    });
  }
  CHECK_TRUE(this->runner.RunUntil([&] { return results.size() == 2; }));
  int winners = 0;
  for (const ClaimResult& result : results) {
    winners += std::holds_alternative<ClaimWon>(result) ? 1 : 0;
    if (const auto* refusal = std::get_if<Problem>(&result)) {
      STRCMP_EQUAL("key_in_progress", refusal->code.c_str());
      CHECK_TRUE(refusal->execution == Execution::kMayHaveRun);
    }
  }
  LONGS_EQUAL(1, winners);
}

TEST(IdempotencyKeyService,
     ARepeatedRequestReceivesTheStoredOutcomeAtAnyEntry) {
  const auto first = this->MakeEntry();
  const KeyClaimRequest request = this->Request();
  const ClaimResult won = this->Claim(*first, request);
  bool stored = false;
  first->Finish(request.name, std::get<ClaimWon>(won).attempt,
                MakeStoredOutcome(200, "text/plain", "slot b2"),
                [&stored] { stored = true; });
  CHECK_TRUE(this->runner.RunUntil([&] { return stored; }));
  const auto second = this->MakeEntry();
  const ClaimResult repeat = this->Claim(*second, request);
  STRCMP_EQUAL("slot b2", std::get<StoredOutcome>(repeat).body.c_str());
  const ClaimResult other = this->Claim(*second, this->Request("other"));
  STRCMP_EQUAL("key_reused", std::get<Problem>(other).code.c_str());
}

TEST(IdempotencyKeyService, AReleasedClaimMayBeWonAgain) {
  const auto entry = this->MakeEntry();
  const KeyClaimRequest request = this->Request();
  const ClaimResult won = this->Claim(*entry, request);
  entry->Release(request.name, std::get<ClaimWon>(won).attempt);
  CHECK_TRUE(this->runner.RunUntil([&] { return !entry->WritesPending(); }));
  const auto other = this->MakeEntry();
  CHECK_TRUE(std::holds_alternative<ClaimWon>(this->Claim(*other, request)));
}

TEST(IdempotencyKeyService, ALostAppendResponseStillGivesOneWinner) {
  const auto entry = this->MakeEntry();
  this->log.faults.lost_answers = 1;
  const ClaimResult result = this->Claim(*entry, this->Request());
  CHECK_TRUE(std::holds_alternative<ClaimWon>(result));
  const auto other = this->MakeEntry();
  const ClaimResult second = this->Claim(*other, this->Request());
  STRCMP_EQUAL("key_in_progress", std::get<Problem>(second).code.c_str());
}

TEST(IdempotencyKeyService, AStoredOutcomeIsReplayedWhileTheLogIsUnreachable) {
  const auto entry = this->MakeEntry();
  const KeyClaimRequest request = this->Request();
  const ClaimResult won = this->Claim(*entry, request);
  bool stored = false;
  entry->Finish(request.name, std::get<ClaimWon>(won).attempt,
                MakeStoredOutcome(200, "text/plain", "slot b2"),
                [&stored] { stored = true; });
  CHECK_TRUE(this->runner.RunUntil([&] { return stored; }));
  // Another key's claim makes the follower read the outcome.
  KeyClaimRequest other = request;
  other.name.key = "key-2";
  this->Claim(*entry, other);
  this->log.faults.append_outage = true;
  this->log.faults.read_outage = true;
  const ClaimResult repeat = this->Claim(*entry, request);
  STRCMP_EQUAL("slot b2", std::get<StoredOutcome>(repeat).body.c_str());
}

TEST(IdempotencyKeyService, NoClaimIsWonWhileTheLogIsUnreachable) {
  this->log.faults.append_outage = true;
  this->log.faults.read_outage = true;
  this->claim_timeout = Milliseconds(20);
  const auto entry = this->MakeEntry();
  const ClaimResult result = this->Claim(*entry, this->Request());
  const auto& refusal = std::get<Problem>(result);
  STRCMP_EQUAL("log_unavailable", refusal.code.c_str());
  CHECK_TRUE(refusal.execution == Execution::kNotRun);
}

}  // namespace carobbank
