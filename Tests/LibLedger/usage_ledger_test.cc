// Guards against usage reports that are sent twice with different counts, that
// lose appended counts, or that are made for windows without a right to one.

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibLedger/ledger.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kWindow{5'000};
// Begins window 200'000.
constexpr WallMilliseconds kStart = 1'000'000'000;
constexpr std::int64_t kFirstWindow = 200'000;

KeyedRecord Counts(std::int64_t window,
                   const std::string& process,
                   std::int64_t sequence,
                   UsageCounts counts,
                   std::int64_t epoch = 0) {
  return EncodeUsageCounts({window, process, epoch, sequence, counts});
}

// A number of the full range: RapidCheck's ranges are narrow in its first
// cases.
template <typename Number = int>
Number Draw(Number min, Number max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(min, max));
}

}  // namespace

TEST_GROUP(UsageCounter) {
  UsageCounter counter{"p-1", {.max_workspaces = 2}};

  std::vector<UsageCountsRecord> All() {
    return this->counter.Unappended(kStart + 1'000'000, Milliseconds(0));
  }
};

TEST(UsageCounter, ARequestCountsInTheWindowInWhichItBegan) {
  CHECK_TRUE(this->counter.Add("a", kStart));
  CHECK_TRUE(this->counter.Add("a", kStart + 4'999));
  CHECK_TRUE(this->counter.Add("a", kStart + 5'000));
  const auto records = this->All();
  LONGS_EQUAL(2, records.size());
  CHECK_EQUAL(kFirstWindow, records[0].window);
  CHECK_EQUAL(2, records[0].counts.at("a"));
  CHECK_EQUAL(kFirstWindow + 1, records[1].window);
  CHECK_EQUAL(1, records[1].counts.at("a"));
}

TEST(UsageCounter, ARequestThatDidNotRunIsTakenBackAfterItWasAppended) {
  this->counter.Add("a", kStart);
  this->counter.Add("b", kStart);
  const auto appended = this->All();
  this->counter.OnAppended(appended);
  LONGS_EQUAL(0, this->All().size());
  this->counter.Remove("a", kStart);
  const auto records = this->All();
  LONGS_EQUAL(1, records.size());
  LONGS_EQUAL(0, records[0].counts.count("a"));
  CHECK_EQUAL(1, records[0].counts.at("b"));
  CHECK_TRUE(records[0].sequence > appended[0].sequence);
}

TEST(UsageCounter, RequestsDuringAnAppendRemainToBeAppended) {
  this->counter.Add("a", kStart);
  const auto appended = this->All();
  this->counter.Add("a", kStart + 1);
  this->counter.OnAppended(appended);
  LONGS_EQUAL(1, this->All().size());
}

TEST(UsageCounter, WorkspacesBeyondTheLimitAreNotCounted) {
  CHECK_TRUE(this->counter.Add("a", kStart));
  CHECK_TRUE(this->counter.Add("b", kStart));
  CHECK_FALSE(this->counter.Add("c", kStart));
  CHECK_TRUE(this->counter.Add("c", kStart + 5'000));
}

TEST(UsageCounter, WindowsAreKeptForAMinuteWithoutTheLog) {
  this->counter.Add("a", kStart);
  this->counter.Add("a", kStart + 60'000);
  LONGS_EQUAL(2, this->All().size());
  this->counter.Add("a", kStart + 70'000);
  CHECK_FALSE(this->counter.Add("a", kStart));
  LONGS_EQUAL(2, this->All().size());
}

TEST(UsageCounter, AWindowThatHasJustBegunIsLeftToTheNextAppend) {
  this->counter.Add("a", kStart + 100);
  LONGS_EQUAL(
      0, this->counter.Unappended(kStart + 500, Milliseconds(2'500)).size());
  LONGS_EQUAL(
      1, this->counter.Unappended(kStart + 2'500, Milliseconds(2'500)).size());
}

TEST_GROUP(UsageLedger) {
  UsageLedger ledger{{}};

  void Decide(const UsageReport& report, bool sent = false) {
    this->ledger.ApplyReport(EncodeUsageReport({report, sent}));
  }
};

TEST(UsageLedger, CountsOfAllProcessesAddUpAndNewerOnesReplaceOlderOnes) {
  this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 1, {{"a", 5}}));
  this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 3, {{"a", 7}, {"b", 1}}));
  this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 2, {{"a", 6}}, 1));
  this->ledger.ApplyCounts(Counts(kFirstWindow, "q", 1, {{"a", 10}}));
  const auto undecided = this->ledger.Undecided(kStart + 9'000);
  LONGS_EQUAL(1, undecided.size());
  CHECK_TRUE(
      (undecided[0] == UsageReport{kFirstWindow, {{"a", 17}, {"b", 1}}}));
}

TEST(UsageLedger, AWindowIsDecidedFourSecondsAfterItsEndAndNotBeforeTraffic) {
  LONGS_EQUAL(0, this->ledger.Undecided(kStart + 30'000).size());
  this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 1, {{"a", 5}}));
  LONGS_EQUAL(0, this->ledger.Undecided(kStart + 8'999).size());
  LONGS_EQUAL(1, this->ledger.Undecided(kStart + 9'000).size());
}

TEST(UsageLedger, AWindowWithoutTrafficAfterTheFirstTrafficIsReportedEmpty) {
  this->Decide({kFirstWindow, {{"a", 1}}});
  const auto undecided = this->ledger.Undecided(kStart + 14'000);
  LONGS_EQUAL(1, undecided.size());
  CHECK_EQUAL(kFirstWindow + 1, undecided[0].window);
  CHECK_TRUE(undecided[0].counts.empty());
}

TEST(UsageLedger, WindowsThatEndedMoreThanAMinuteAgoAreNotDecided) {
  this->Decide({kFirstWindow, {{"a", 1}}});
  const auto undecided = this->ledger.Undecided(kStart + 600'000);
  // Those that ended between 60 s and 4 s ago.
  LONGS_EQUAL(11, undecided.size());
  CHECK_TRUE(UsageWindowEnd(undecided.front().window, kWindow) >=
             kStart + 540'000);
}

TEST(UsageLedger, TheFirstReportOfAWindowStays) {
  this->Decide({kFirstWindow, {{"a", 1}}});
  this->Decide({kFirstWindow, {{"a", 2}}});
  const auto unsent = this->ledger.Unsent(kStart + 10'000);
  LONGS_EQUAL(1, unsent.size());
  CHECK_EQUAL(1, unsent[0].counts.at("a"));
}

TEST(UsageLedger, CountsAfterTheDecisionAreReportedAsLate) {
  CHECK_TRUE(this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 1, {})));
  this->Decide({kFirstWindow, {}});
  CHECK_FALSE(
      this->ledger.ApplyCounts(Counts(kFirstWindow, "p", 2, {{"a", 1}})));
}

TEST(UsageLedger, AReportIsSentUntilItIsConfirmedOrAMinuteOld) {
  this->Decide({kFirstWindow, {{"a", 1}}});
  LONGS_EQUAL(1, this->ledger.Unsent(kStart + 64'999).size());
  LONGS_EQUAL(0, this->ledger.Unsent(kStart + 65'000).size());
  this->ledger.OnSent(kFirstWindow);
  LONGS_EQUAL(0, this->ledger.Unsent(kStart + 10'000).size());
}

TEST(UsageLedger, TheNextHolderLearnsWhichReportsWereConfirmed) {
  this->Decide({kFirstWindow, {{"a", 1}}});
  this->ledger.OnSent(kFirstWindow);
  const auto updates = this->ledger.Updates(kStart + 10'000);
  LONGS_EQUAL(1, updates.size());
  UsageLedger next{{}};
  next.ApplyReport(updates[0]);
  LONGS_EQUAL(0, next.Unsent(kStart + 10'000).size());
  this->ledger.ApplyReport(updates[0]);
  LONGS_EQUAL(0, this->ledger.Updates(kStart + 10'000).size());
}

TEST(UsageLedger, RecordsOfNoMoreUseAreDeletedAndTheNewestReportStays) {
  const KeyedRecord counts = Counts(kFirstWindow, "p", 1, {{"a", 1}});
  this->ledger.ApplyCounts(counts);
  LONGS_EQUAL(0, this->ledger.CountsDeletions(kStart + 100'000).size());
  this->Decide({kFirstWindow, {{"a", 1}}}, true);
  this->Decide({kFirstWindow + 1, {}}, true);
  LONGS_EQUAL(0, this->ledger.CountsDeletions(kStart + 34'999).size());
  const auto deletions = this->ledger.CountsDeletions(kStart + 35'000);
  LONGS_EQUAL(1, deletions.size());
  STRCMP_EQUAL(counts.key.c_str(), deletions[0].key.c_str());
  this->ledger.ApplyCounts(deletions[0]);
  LONGS_EQUAL(0, this->ledger.CountsDeletions(kStart + 35'000).size());
  LONGS_EQUAL(1, this->ledger.Updates(kStart + 500'000).size());
}

TEST(UsageLedger, MalformedRecordsAreIgnored) {
  for (const char* const key : {"c/1/p", "c//p/0", "c/x/p/0", "r/x", "z"}) {
    this->ledger.ApplyCounts({key, "{}"});
    this->ledger.ApplyReport({key, "{}"});
  }
  this->ledger.ApplyReport({"r/200000", R"({"counts":{"a":"x"}})"});
  LONGS_EQUAL(0, this->ledger.Undecided(kStart + 100'000).size());
}

namespace {

// A topic of the log that keeps the newest record of each key for snapshots.
struct Topic {
  std::vector<KeyedRecord> records;

  std::vector<KeyedRecord> Snapshot() const {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < this->records.size(); ++i) {
      newest[this->records[i].key] = i;
    }
    std::vector<KeyedRecord> snapshot;
    for (std::size_t i = 0; i < this->records.size(); ++i) {
      if (newest[this->records[i].key] == i &&
          !this->records[i].value.empty()) {
        snapshot.push_back(this->records[i]);
      }
    }
    return snapshot;
  }
};

struct LateAppend {
  std::vector<KeyedRecord> records;
  std::optional<std::size_t> expected_end;
};

// A holder's process, or one that believes it is the holder.
struct Holder {
  UsageLedger ledger{{}};
  std::size_t counts_read = 0;
  std::size_t reports_read = 0;
};

class World {
 public:
  void Step() {
    this->now += Draw(1, 1'500);
    switch (Draw(0, 9)) {
      case 0:
      case 1:
        this->Count();
        break;
      case 2:
      case 3:
        this->AppendCounts();
        break;
      case 4:
        this->ReplaceProcess();
        break;
      case 5:
        this->ApplyLateAppend();
        break;
      case 6:
        this->Read(this->AnyHolder());
        break;
      case 7:
        this->Decide(this->AnyHolder());
        break;
      default:
        this->Send(this->AnyHolder());
    }
  }

  // Counts in the log of a window: the highest sequence of each process.
  UsageCounts Appended(std::int64_t window) const {
    std::map<std::string, UsageCountsRecord> newest;
    for (const KeyedRecord& record : this->counts.records) {
      if (record.value.empty()) {
        continue;
      }
      const UsageCountsRecord decoded = *DecodeUsageCounts(record);
      UsageCountsRecord& known = newest[decoded.process];
      if (decoded.window == window && decoded.sequence > known.sequence) {
        known = decoded;
      }
    }
    UsageCounts sum;
    for (const auto& [name, record] : newest) {
      for (const auto& [workspace, count] : record.counts) {
        sum[workspace] += count;
      }
    }
    return sum;
  }

  // A process that starts now knows from the log's snapshot what it holds.
  void CheckSnapshot() const {
    UsageLedger fresh{{.counts_kept = Milliseconds(1'000'000'000)}};
    for (const KeyedRecord& record : this->counts.Snapshot()) {
      fresh.ApplyCounts(record);
    }
    for (const UsageReport& report : fresh.Undecided(this->now + 10'000)) {
      RC_ASSERT(report.counts == this->Appended(report.window));
    }
  }

 private:
  struct Process {
    std::string name;
    UsageCounter counter;
  };

  Holder& AnyHolder() { return this->holders[Draw<std::size_t>(0, 2)]; }

  Process& AnyProcess() { return this->processes[Draw<std::size_t>(0, 2)]; }

  void Count() {
    Process& process = this->AnyProcess();
    const std::string workspace = Draw(0, 2) == 0 ? "a" : "b";
    const WallMilliseconds at = this->now;
    if (process.counter.Add(workspace, at) && Draw(0, 4) == 0) {
      process.counter.Remove(workspace, at);
    }
  }

  // True when the append took effect and its answer arrived.
  bool Append(Topic& topic,
              const std::vector<KeyedRecord>& records,
              std::optional<std::size_t> expected_end,
              bool& unknown) {
    const int fate = Draw(0, 5);
    unknown = fate >= 3;
    if (fate == 4) {
      this->late[&topic].push_back({records, expected_end});
      return false;
    }
    if (expected_end && topic.records.size() != *expected_end) {
      return false;
    }
    topic.records.insert(topic.records.end(), records.begin(), records.end());
    return !unknown;
  }

  void AppendCounts() {
    Process& process = this->AnyProcess();
    const auto records = process.counter.Unappended(this->now, Milliseconds(0));
    if (records.empty()) {
      return;
    }
    std::vector<KeyedRecord> encoded;
    for (const UsageCountsRecord& record : records) {
      encoded.push_back(EncodeUsageCounts(record));
    }
    bool unknown = false;
    if (this->Append(this->counts, encoded, std::nullopt, unknown)) {
      process.counter.OnAppended(records);
    } else if (unknown) {
      process.counter.OnAppendUnknown();
    }
  }

  void ReplaceProcess() {
    Process& process = this->AnyProcess();
    process.name = "p-" + std::to_string(++this->starts);
    process.counter = UsageCounter(process.name, {});
  }

  void ApplyLateAppend() {
    for (auto& [topic, appends] : this->late) {
      for (const LateAppend& append : std::exchange(appends, {})) {
        if (!append.expected_end ||
            topic->records.size() == *append.expected_end) {
          topic->records.insert(topic->records.end(), append.records.begin(),
                                append.records.end());
        }
      }
    }
  }

  void Read(Holder& holder) {
    if (Draw(0, 5) == 0) {
      holder = Holder();
      for (const KeyedRecord& record : this->counts.Snapshot()) {
        holder.ledger.ApplyCounts(record);
      }
      for (const KeyedRecord& record : this->reports.Snapshot()) {
        holder.ledger.ApplyReport(record);
      }
      holder.counts_read = this->counts.records.size();
      holder.reports_read = this->reports.records.size();
      return;
    }
    for (; holder.counts_read < this->counts.records.size();
         ++holder.counts_read) {
      holder.ledger.ApplyCounts(this->counts.records[holder.counts_read]);
    }
    // The newest reports may be unread.
    const std::size_t end = this->reports.records.size() -
                            Draw<std::size_t>(0, this->reports.records.size() -
                                                     holder.reports_read + 1);
    for (; holder.reports_read < end; ++holder.reports_read) {
      holder.ledger.ApplyReport(this->reports.records[holder.reports_read]);
    }
  }

  void Decide(Holder& holder) {
    std::vector<KeyedRecord> records;
    for (const UsageReport& report : holder.ledger.Undecided(this->now)) {
      records.push_back(EncodeUsageReport({report, false}));
      if (holder.counts_read == this->counts.records.size()) {
        RC_ASSERT(report.counts == this->Appended(report.window));
      }
    }
    for (const KeyedRecord& record : holder.ledger.Updates(this->now)) {
      records.push_back(record);
    }
    bool unknown = false;
    if (!records.empty() &&
        this->Append(this->reports, records, holder.reports_read, unknown)) {
      for (const KeyedRecord& record : records) {
        holder.ledger.ApplyReport(record);
      }
      holder.reports_read = this->reports.records.size();
    }
  }

  void Send(Holder& holder) {
    for (const UsageReport& report : holder.ledger.Unsent(this->now)) {
      const auto [sent, first] =
          this->received.try_emplace(report.window, report.counts);
      RC_ASSERT(sent->second == report.counts);
      if (Draw(0, 2) == 0) {
        holder.ledger.OnSent(report.window);
      }
    }
  }

  WallMilliseconds now = kStart;
  Topic counts;
  Topic reports;
  std::map<Topic*, std::vector<LateAppend>> late;
  int starts = 2;
  std::vector<Process> processes = {{"p-1", UsageCounter("p-1", {})},
                                    {"p-2", UsageCounter("p-2", {})}};
  std::vector<Holder> holders{2};
  // By window, as the receiver of the reports saw them.
  std::map<std::int64_t, UsageCounts> received;
};

}  // namespace

// Processes are replaced, answers of appends are lost or appends take effect
// late, and two holders decide and send at the same time.
TEST(UsageLedger, AWindowsReportIsTheSameWhoeverSendsItAndHoldsAllThatWasRead) {
  CHECK_TRUE(rc::check([] {
    constexpr int kWorldsPerCase = 3;
    for (int i = 0; i < kWorldsPerCase; ++i) {
      World world;
      const int steps = Draw(20, 200);
      for (int step = 0; step < steps; ++step) {
        world.Step();
      }
      world.CheckSnapshot();
    }
  }));
}

}  // namespace carobbank
