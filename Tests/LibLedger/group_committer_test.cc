// Tests of group commit: one append in flight, minimum interval, backoff,
// bounds and confirmed positions. They guard against entries that are lost
// after a failed append, and against buffers, records and retries beyond their
// bounds.

#include "LibLedger/ledger.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

GroupCommitterOptions Options() {
  GroupCommitterOptions options;
  options.max_buffered_entries = 8;
  options.max_buffered_bytes = 1000;
  options.max_record_bytes = 40;
  options.minimum_interval = Milliseconds(20);
  options.initial_backoff = Milliseconds(100);
  options.maximum_backoff = Milliseconds(400);
  return options;
}

}  // namespace

TEST_GROUP(GroupCommitter) {
  GroupCommitter committer{Options()};
  Random random{1};
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);

  EntryTicket Add(const char* entry) {
    return Capture([&] { return this->committer.Add(entry); }).Value();
  }
  AppendRequest Next() {
    const std::optional<AppendRequest> next =
        this->committer.NextAppend(this->now);
    CHECK_TRUE(next.has_value());
    return next.value_or(AppendRequest());
  }
};

TEST(GroupCommitter, EntriesAddedDuringAnAppendGoIntoTheNext) {
  const EntryTicket first = Add("\"a\"");
  const AppendRequest append = Next();
  STRCMP_EQUAL("{\"entries\":[\"a\"]}", append.payload.c_str());
  Add("\"b\"");
  Add("\"c\"");
  CHECK_FALSE(committer.NextAppend(now + std::chrono::hours(1)).has_value());
  const auto appended = committer.OnAppended(append.number, 41);
  LONGS_EQUAL(1, appended.size());
  CHECK_TRUE(appended[0].ticket == first);
  CHECK_TRUE((appended[0].position == LogPosition{41, 0}));
  CHECK_FALSE(committer.NextAppend(now).has_value());
  now = *committer.NextWakeup();
  const AppendRequest second = Next();
  STRCMP_EQUAL("{\"entries\":[\"b\",\"c\"]}", second.payload.c_str());
  CHECK_TRUE((committer.OnAppended(second.number, 43)[1].position ==
              LogPosition{43, 1}));
  CHECK_FALSE(committer.NextWakeup().has_value());
}

TEST(GroupCommitter, EveryFailureAppendsTheSameEntriesAgain) {
  struct Case {
    ErrorKind kind;
    std::uint64_t certain;
    std::uint64_t unknown;
  };
  const Case cases[] = {{ErrorKind::kUnavailable, 1, 0},
                        {ErrorKind::kOverloaded, 1, 0},
                        {ErrorKind::kOutcomeUnknown, 0, 1},
                        {ErrorKind::kInternal, 0, 1}};
  for (const Case& item : cases) {
    committer = GroupCommitter(Options());
    Add("\"a\"");
    const AppendRequest failed = Next();
    Add("\"b\"");
    committer.OnFailed(failed.number, item.kind, now, random);
    LONGS_EQUAL(item.certain, committer.Counters().certain_failures);
    LONGS_EQUAL(item.unknown, committer.Counters().unknown_outcomes);
    now = *committer.NextWakeup();
    const AppendRequest again = Next();
    STRCMP_EQUAL("{\"entries\":[\"a\",\"b\"]}", again.payload.c_str());
    // The lost response arrives after all: its append is no longer in flight.
    CHECK_TRUE(committer.OnAppended(failed.number, 7).empty());
    LONGS_EQUAL(2, committer.OnAppended(again.number, 8).size());
  }
}

TEST(GroupCommitter, BackoffGrowsToItsMaximumAndHonoursRetryAfter) {
  Add("\"a\"");
  Milliseconds longest(0);
  for (int round = 0; round < 6; ++round) {
    const AppendRequest append = Next();
    committer.OnFailed(append.number, ErrorKind::kUnavailable, now, random);
    const auto wait =
        std::chrono::duration_cast<Milliseconds>(*committer.NextWakeup() - now);
    const std::int64_t full = std::min(400, 100 << round);
    CHECK_TRUE(wait.count() >= full / 2 && wait.count() <= full);
    longest = std::max(longest, wait);
    now = *committer.NextWakeup();
  }
  CHECK_TRUE(longest >= Milliseconds(200));
  const AppendRequest append = Next();
  committer.OnFailed(append.number, ErrorKind::kOverloaded, now, random,
                     Milliseconds(9000));
  CHECK_TRUE(*committer.NextWakeup() == now + Milliseconds(9000));
}

TEST(GroupCommitter, RecordsStayWithinTheirBound) {
  for (int count = 0; count < 8; ++count) {
    Add("\"12345678\"");
  }
  std::size_t entries = 0;
  while (committer.BufferedEntries() > 0) {
    const AppendRequest append = Next();
    CHECK_TRUE(append.payload.size() <= Options().max_record_bytes);
    entries += committer.OnAppended(append.number, entries).size();
    now += Milliseconds(20);
  }
  LONGS_EQUAL(8, entries);
  LONGS_EQUAL(0, committer.BufferedBytes());
}

TEST(GroupCommitter, FullBufferRefusesEntriesAfterSignallingBackPressure) {
  for (int count = 0; count < 5; ++count) {
    Add("1");
  }
  CHECK_FALSE(committer.BackPressure());
  Add("1");
  CHECK_TRUE(committer.BackPressure());
  Add("1");
  Add("1");
  const auto refused = Capture([&] { return committer.Add("1"); });
  CHECK_TRUE(refused.GetError().kind == ErrorKind::kOverloaded);
  const auto large =
      Capture([&] { return committer.Add(std::string(40, '1')); });
  CHECK_TRUE(large.GetError().kind == ErrorKind::kInvalidArgument);
  LONGS_EQUAL(2, committer.Counters().refused_entries);
}

}  // namespace carobbank
