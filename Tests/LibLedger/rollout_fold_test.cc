// Tests of the fold of a service's rollouts: first accepts, first results,
// validation, ownership and delivery pages. They guard against folds of one
// stream that disagree on a step, and against samples that are delivered twice,
// in another order or with invalid versions.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

RolloutFoldOptions Options() {
  RolloutFoldOptions options;
  options.service = "gulf";
  options.step_lifetime = Milliseconds(10000);
  return options;
}

}  // namespace

TEST_GROUP(RolloutFold) {
  MemoryStream stream;
  RolloutFold fold{Options(), 0};
  StepId step{"r1", {0, 0}};

  void Accepted() {
    this->stream.Add(MakeAccept("r1"), 1000);
  }
  void Feed() {
    this->stream.FeedTo(this->fold);
  }
};

TEST(RolloutFold, FirstAcceptCountsAndRepeatsAreDetected) {
  Accepted();
  AcceptEntry repeat = MakeAccept("r1", 3);
  repeat.request_digest = "other";
  stream.Add(repeat, 1001);
  Feed();
  const StepState* state = fold.Find("r1");
  CHECK_TRUE(state != nullptr);
  LONGS_EQUAL(4, state->accept.ExpectedSamples());
  CHECK_TRUE((state->accepted_at == LogPosition{0, 0}));
  CHECK_TRUE(fold.DecideAccept("r1", "digest", 1002).decision ==
             AcceptDecision::kRepeat);
  CHECK_TRUE(fold.DecideAccept("r1", "other", 1002).decision ==
             AcceptDecision::kMismatch);
  CHECK_TRUE(fold.DecideAccept("r2", "digest", 1002).decision ==
             AcceptDecision::kNew);
  CHECK_TRUE(fold.DecideAccept("r1", "digest", 11001).decision ==
             AcceptDecision::kNew);
}

TEST(RolloutFold, AcceptDelayedPastHalfALifetimeIsVoid) {
  stream.Add(MakeAccept("late", 2, 2, {0, 1000}), 6001);
  stream.Add(MakeAccept("in time", 2, 2, {0, 1001}), 6001);
  Feed();
  CHECK_TRUE(fold.Find("late") == nullptr);
  CHECK_TRUE(fold.Find("in time") != nullptr);
}

TEST(RolloutFold, LateFoldIgnoresAcceptsWithAnOlderBasis) {
  Accepted();
  stream.Add(MakeAccept("r2", 2, 2, {0, 1000}), 1001);
  stream.Add(MakeAccept("r3", 2, 2, {1, 1001}), 1002);
  RolloutFold late(Options(), 1);
  stream.FeedTo(late);
  CHECK_TRUE(late.Find("r2") == nullptr);
  CHECK_TRUE(late.Find("r3") != nullptr);
}

TEST(RolloutFold, FirstResultOfASampleCounts) {
  Accepted();
  stream.Append({EncodeRolloutEntry(MakeCommit(step, "g0/1", "a")),
                 EncodeRolloutEntry(MakeCommit(step, "g0/1", "b"))},
                1001);
  stream.Add(FailEntry{"r1", step.accepted_at, "g0/1", "quarantined"}, 1002);
  stream.Add(FailEntry{"r1", step.accepted_at, "g1/0", "quarantined"}, 1003);
  stream.Add(MakeCommit(step, "g1/0", "c"), 1004);
  Feed();
  STRCMP_EQUAL("g0/1=a g1/0!quarantined ",
               Summary(fold.Find("r1")->results).c_str());
  LONGS_EQUAL(3, fold.Counters().duplicate_results);
}

TEST(RolloutFold, CommitNeedsCompleteSpansOfAllowedVersions) {
  struct Case {
    const char* what;
    std::vector<TokenSpan> spans;
    bool valid;
  };
  const Case cases[] = {
      {"complete", {{0, 3, 7}}, true},
      {"the version before", {{0, 2, 6}, {2, 3, 7}}, true},
      {"a newer version", {{0, 1, 7}, {1, 3, 9}}, true},
      {"one version too old", {{0, 1, 5}, {1, 3, 7}}, false},
      {"unknown version", {{0, 1, 0}, {1, 3, 7}}, false},
      {"gap", {{0, 1, 7}, {2, 3, 7}}, false},
      {"overlap", {{0, 2, 7}, {1, 3, 7}}, false},
      {"empty span", {{0, 0, 7}, {0, 3, 7}}, false},
      {"short", {{0, 2, 7}}, false},
      {"long", {{0, 4, 7}}, false},
      {"none", {}, false},
  };
  for (const Case& item : cases) {
    CommitEntry commit = MakeCommit(step, "g0/0", "a");
    commit.spans = item.spans;
    CHECK_EQUAL_TEXT(item.valid,
                     SpansValid(commit, MakeAccept("r1").OldestVersion()),
                     item.what);
  }
}

TEST(RolloutFold, InvalidCommitLeavesTheSampleOpen) {
  Accepted();
  stream.Add(MakeCommit(step, "g0/0", "old", 5), 1001);
  stream.Add(MakeCommit(step, "g0/2", "no such sample"), 1001);
  stream.Add(MakeCommit(step, "g0/00", "no such sample"), 1001);
  stream.Add(MakeCommit(step, "g0/0", "fresh", 6), 1002);
  Feed();
  STRCMP_EQUAL("g0/0=fresh ", Summary(fold.Find("r1")->results).c_str());
  LONGS_EQUAL(3, fold.Counters().invalid_commits);
}

TEST(RolloutFold, EntriesOfAnotherStepAreIgnored) {
  Accepted();
  stream.Add(MakeCommit({"r1", {5, 0}}, "g0/0", "a"), 1001);
  stream.Add(MakeCommit({"r2", {0, 0}}, "g0/0", "a"), 1001);
  stream.Add(EndEntry{"r1", {5, 0}, "cancelled"}, 1001);
  Feed();
  CHECK_TRUE(fold.Find("r1")->results.empty());
  CHECK_TRUE(fold.Find("r1")->end_reason.empty());
  LONGS_EQUAL(3, fold.Counters().ignored_entries);
}

TEST(RolloutFold, NothingCountsAfterTheEnd) {
  Accepted();
  stream.Add(EndEntry{"r1", step.accepted_at, "cancelled"}, 1001);
  stream.Add(EndEntry{"r1", step.accepted_at, "delivered"}, 1002);
  stream.Add(MakeCommit(step, "g0/0", "late"), 1003);
  Feed();
  CHECK_TRUE(fold.Find("r1")->Complete());
  CHECK_TRUE(fold.Find("r1")->results.empty());
  STRCMP_EQUAL("cancelled", fold.Find("r1")->end_reason.c_str());
}

TEST(RolloutFold, HighestTermOwnsTheStep) {
  Accepted();
  stream.Add(StepTakeoverEntry{"r1", step.accepted_at, "entry-1", 1}, 1001);
  stream.Add(StepTakeoverEntry{"r1", step.accepted_at, "entry-2", 1}, 1002);
  Feed();
  const StepState* state = fold.Find("r1");
  STRCMP_EQUAL("entry-1", state->owner.owner.c_str());
  using Action = OwnershipAction;
  using Status = OwnerStatus;
  CHECK_TRUE(DecideOwnership(*state, "entry-1", Status::kUnknown).action ==
             Action::kWork);
  CHECK_TRUE(DecideOwnership(*state, "entry-2", Status::kWorking).action ==
             Action::kDeferToOwner);
  CHECK_TRUE(DecideOwnership(*state, "entry-2", Status::kUnknown).action ==
             Action::kAskOwner);
  const OwnershipDecision taken =
      DecideOwnership(*state, "entry-2", Status::kNotWorking);
  CHECK_TRUE(taken.action == Action::kTakeOver);
  LONGS_EQUAL(2, taken.take_over->term);
  stream.Add(*taken.take_over, 1003);
  Feed();
  STRCMP_EQUAL("entry-2", fold.Find("r1")->owner.owner.c_str());
}

TEST(RolloutFold, PagesFollowTheCursorAndEndWithDone) {
  Accepted();
  stream.Add(MakeCommit(step, "g0/0", "a"), 1001);
  stream.Add(MakeCommit(step, "g0/1", "b"), 1002);
  Feed();
  Cursor cursor = fold.FirstCursor(*fold.Find("r1"));
  const auto first =
      Capture([&] { return ReadDelivery(fold, cursor, 1); }).Value();
  LONGS_EQUAL(1, first.results.size());
  CHECK_FALSE(first.done);
  const auto second =
      Capture([&] { return ReadDelivery(fold, first.next, 9); }).Value();
  LONGS_EQUAL(1, second.results.size());
  CHECK_FALSE(second.done);
  stream.Add(MakeCommit(step, "g1/0", "c"), 1003);
  stream.Add(MakeCommit(step, "g1/1", "d"), 1004);
  Feed();
  const auto third =
      Capture([&] { return ReadDelivery(fold, second.next, 9); }).Value();
  LONGS_EQUAL(2, third.results.size());
  CHECK_TRUE(third.done);
  const auto again =
      Capture([&] { return ReadDelivery(fold, cursor, 1); }).Value();
  LONGS_EQUAL(1, again.results.size());
  CHECK_TRUE(again.next == first.next);
  STRCMP_EQUAL("a", std::get<CommitEntry>(*again.results[0]).attempt.c_str());
}

TEST(RolloutFold, WrongCursorsAreTypedErrors) {
  Accepted();
  Feed();
  const Cursor good = fold.FirstCursor(*fold.Find("r1"));
  const auto kind_of = [&](const Cursor& cursor) {
    const auto page = Capture([&] { return ReadDelivery(fold, cursor, 9); });
    return page.Ok() ? ErrorKind::kInternal : page.GetError().kind;
  };
  Cursor other_service = good;
  other_service.service = "ruta";
  CHECK_TRUE(kind_of(other_service) == ErrorKind::kInvalidArgument);
  Cursor past_the_end = good;
  past_the_end.next = 5;
  CHECK_TRUE(kind_of(past_the_end) == ErrorKind::kInvalidArgument);
  Cursor unread = good;
  unread.accepted_at = {9, 0};
  CHECK_TRUE(kind_of(unread) == ErrorKind::kNotFound);
}

TEST(RolloutFold, RecordsAfterAGapAreRefused) {
  Accepted();
  stream.Add(MakeCommit(step, "g0/0", "a"), 1001);
  CHECK_FALSE(fold.Apply(stream.At(1)));
  CHECK_TRUE(fold.Apply(stream.At(0)));
  CHECK_TRUE(fold.Apply(stream.At(0)));
  CHECK_TRUE(fold.Apply(stream.At(1)));
  LONGS_EQUAL(2, fold.NextOffset());
  LONGS_EQUAL(1, fold.Find("r1")->results.size());
}

TEST(RolloutFold, StepIsRemovedAfterItsLifetime) {
  Accepted();
  stream.Add(MakeAccept("r2", 2, 2, {1, 11000}), 11000);
  Feed();
  CHECK_TRUE(fold.Find("r1") != nullptr);
  stream.Add(MakeAccept("r1", 3, 2, {2, 11001}), 11001);
  Feed();
  CHECK_TRUE((fold.Find("r1")->accepted_at == LogPosition{2, 0}));
  const auto page = Capture([&] {
    return ReadDelivery(fold, Cursor{"gulf", "r1", {0, 0}, 0, 0}, 9);
  });
  CHECK_TRUE(page.GetError().kind == ErrorKind::kExpired);
}

}  // namespace carobbank
