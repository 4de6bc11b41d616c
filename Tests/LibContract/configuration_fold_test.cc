// Tests of the configuration fold: examples of each publish decision, and
// properties that guard against readers of the same log that end in different
// states after gaps, restarts, repeated records, snapshots or imports.

#include <rapidcheck.h>

#include <vector>

#include "LibContract/contract.h"
#include "LibContract/document_texts.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kStartMs = 1'800'000'000'000;
constexpr Milliseconds kRetention = std::chrono::hours(1);

struct LoggedRecord {
  WallMilliseconds time_ms = 0;
  std::string payload;
};

// A log that retains all records; a reader may start at any offset.
using Log = std::vector<LoggedRecord>;

std::string Payload(const ConfigurationEntry& entry) {
  return WriteConfigurationRecord({&entry, 1});
}

PublishEntry Publish(std::string_view service,
                     std::int64_t base,
                     std::string_view id,
                     int share = 100,
                     std::string_view team = "t") {
  return {std::string(service), base, DocumentText(service, team, share), "ana",
          std::string(id)};
}

void ReadLog(ConfigurationFold& fold,
             const Log& log,
             std::size_t from,
             std::size_t to) {
  for (std::size_t offset = from; offset < to; ++offset) {
    fold.Apply(static_cast<std::int64_t>(offset), log[offset].time_ms,
               log[offset].payload);
  }
}

bool SameState(const ConfigurationFold& left, const ConfigurationFold& right) {
  return left.State()->offset == right.State()->offset &&
         left.State()->digest == right.State()->digest &&
         ToServiceRevisions(left.State()->services) ==
             ToServiceRevisions(right.State()->services);
}

// A log of concurrent publishers on few services with current or arbitrary base
// revisions, repeated appends, malformed records and snapshots.
Log RandomLog() {
  Log log;
  ConfigurationFold writer;
  const auto length = *rc::gen::inRange<std::size_t>(1, 40);
  while (log.size() < length) {
    const auto offset = static_cast<std::int64_t>(log.size());
    const int choice = *rc::gen::inRange(0, 10);
    std::string payload;
    if (choice == 0) {
      payload = *rc::gen::element<std::string>(
          "", "{}", R"({"entries": [{"kind": "document"}]})",
          R"({"entries": [{"kind": "later"}]})",
          R"({"entries": [{"kind": "snapshot", "through": 999, "digest": "",
              "services": []}]})");
    } else if (choice == 1 && !log.empty()) {
      payload = (*rc::gen::elementOf(log)).payload;
    } else if (choice == 2) {
      payload = Payload(writer.MakeSnapshot());
    } else {
      const auto service = *rc::gen::element<std::string>("a", "b", "c");
      const ServiceInForce* current = writer.State()->Find(service);
      const std::int64_t seen =
          current == nullptr ? kNoRevision : current->revision;
      const std::int64_t base = *rc::gen::weightedOneOf<std::int64_t>(
          {{3, rc::gen::just(seen)},
           {1, rc::gen::inRange<std::int64_t>(-1, offset + 1)}});
      const auto team = *rc::gen::element<std::string>("t", "t", "t", "u");
      const int share = *rc::gen::inRange(0, 4);
      payload =
          Payload(Publish(service, base, std::to_string(offset), share, team));
    }
    log.push_back({kStartMs + offset, payload});
    ReadLog(writer, log, log.size() - 1, log.size());
  }
  return log;
}

}  // namespace

TEST_GROUP(ConfigurationFold){};

TEST(ConfigurationFold, DecidesEachPublishOfRacingPublishers) {
  ConfigurationFold fold;
  struct Row {
    PublishEntry entry;
    PublishDecision decision;
    std::int64_t in_force;
  };
  PublishEntry invalid = Publish("s", 1, "invalid");
  invalid.document += "extra: 1\n";
  PublishEntry misnamed = Publish("s", 1, "misnamed");
  misnamed.service = "other";
  const std::vector<Row> rows = {
      {Publish("s", kNoRevision, "first"), PublishDecision::kInForce, 0},
      {Publish("s", 0, "second", 200), PublishDecision::kInForce, 1},
      {Publish("s", 0, "raced", 300), PublishDecision::kStaleBase, 1},
      {Publish("s", kNoRevision, "anew"), PublishDecision::kStaleBase, 1},
      {Publish("s", 1, "foreign", 5, "u"), PublishDecision::kForeignTeam, 1},
      {invalid, PublishDecision::kInvalid, 1},
      {misnamed, PublishDecision::kInvalid, 1},
      {Publish("s", 1, "third", 400), PublishDecision::kInForce, 7},
      // A repeated append of "third", as after a lost response.
      {Publish("s", 1, "third", 400), PublishDecision::kInForce, 7},
  };
  for (std::size_t offset = 0; offset < rows.size(); ++offset) {
    const Row& row = rows[offset];
    fold.Apply(static_cast<std::int64_t>(offset), 0, Payload(row.entry));
    const auto outcome = fold.OutcomeOf(row.entry.publish_id);
    CHECK_TRUE(outcome.has_value());
    CHECK_TRUE(outcome->decision == row.decision);
    LONGS_EQUAL(row.in_force, fold.State()->Find("s")->revision);
    CHECK_EQUAL(row.decision == PublishDecision::kInForce,
                outcome->detail.empty());
  }
  LONGS_EQUAL(8, fold.State()->offset);
  CHECK_FALSE(fold.OutcomeOf("unknown").has_value());
}

TEST(ConfigurationFold, OneRecordMayCarryManyEntries) {
  const std::vector<ConfigurationEntry> entries = {
      Publish("a", kNoRevision, "1"), Publish("b", kNoRevision, "2"),
      Publish("a", kNoRevision, "3")};
  ConfigurationFold fold;
  fold.Apply(0, 0, WriteConfigurationRecord(entries));
  LONGS_EQUAL(2, fold.State()->services.size());
  CHECK_TRUE(fold.OutcomeOf("3")->decision == PublishDecision::kStaleBase);
}

TEST(ConfigurationFold, OldRecordsAndOldExportsChangeNothing) {
  ConfigurationFold fold;
  fold.Apply(0, 0, Payload(Publish("s", kNoRevision, "1")));
  fold.Apply(1, 0, Payload(Publish("s", 0, "2", 7)));
  const auto before = fold.State();
  CHECK_TRUE(fold.Apply(0, 0, Payload(Publish("s", kNoRevision, "3"))) ==
             ApplyResult::kOld);
  CHECK_TRUE(fold.State() == before);
  ConfigurationFold behind;
  behind.Apply(0, 0, Payload(Publish("s", kNoRevision, "1")));
  CHECK_FALSE(fold.Import(behind.Export()).value());
  CHECK_TRUE(fold.State() == before);
}

TEST(ConfigurationFold, BuffersRecordsAfterAGapUntilAnImportFillsIt) {
  ConfigurationFold complete;
  complete.Apply(0, 0, Payload(Publish("s", kNoRevision, "1")));
  complete.Apply(1, 0, Payload(Publish("s", 0, "2", 7)));
  ConfigurationFold late;
  CHECK_TRUE(late.Apply(2, 0, Payload(Publish("s", 1, "3", 9))) ==
             ApplyResult::kBuffered);
  CHECK_FALSE(late.HasNoGap());
  LONGS_EQUAL(3, late.NextOffset());
  CHECK_TRUE(late.Import(complete.Export()).value());
  CHECK_TRUE(late.HasNoGap());
  LONGS_EQUAL(2, late.State()->offset);
  LONGS_EQUAL(2, late.State()->Find("s")->revision);
}

TEST(ConfigurationFold, RejectsDamagedExports) {
  ConfigurationFold complete;
  complete.Apply(0, 0, Payload(Publish("s", kNoRevision, "1")));
  ConfigurationExport good = complete.Export();
  std::vector<ConfigurationExport> damaged(4, good);
  damaged[0].digest[0] ^= 1;
  damaged[1].documents[0].document += "extra: 1\n";
  damaged[2].documents[0].revision = 4;
  damaged[3].documents.push_back(damaged[3].documents[0]);
  for (const ConfigurationExport& exported : damaged) {
    ConfigurationFold fold;
    CHECK_FALSE(Capture([&] { return fold.Import(exported); }).Ok());
    LONGS_EQUAL(kNoRevision, fold.State()->offset);
  }
  const Json::Value json = ConfigurationExportToJson(good);
  ConfigurationFold fold;
  CHECK_TRUE(fold.Import(ConfigurationExportFromJson(json).value()).value());
  CHECK_TRUE(SameState(fold, complete));
}

TEST(ConfigurationFold, SnapshotsAreDueAtHalfOfTheRetention) {
  const WallMilliseconds half_ms = kRetention.count() / 2;
  ConfigurationFold fold;
  CHECK_FALSE(fold.SnapshotDue(kStartMs + 9 * half_ms, kRetention));
  fold.Apply(0, kStartMs, Payload(Publish("s", kNoRevision, "1")));
  CHECK_FALSE(fold.SnapshotDue(kStartMs + half_ms, kRetention));
  CHECK_TRUE(fold.SnapshotDue(kStartMs + half_ms + 1, kRetention));
  const SnapshotEntry snapshot = fold.MakeSnapshot();
  // A record between the state of the snapshot and the append of the snapshot.
  fold.Apply(1, kStartMs + half_ms, Payload(Publish("s", 0, "2", 7)));
  fold.Apply(2, kStartMs + half_ms + 5, Payload(snapshot));
  CHECK_FALSE(fold.SnapshotDue(kStartMs + 2 * half_ms, kRetention));
  CHECK_TRUE(fold.SnapshotDue(kStartMs + 2 * half_ms + 1, kRetention));
  ConfigurationFold peer;
  peer.Import(fold.Export()).value();
  CHECK_FALSE(peer.SnapshotDue(kStartMs + 2 * half_ms, kRetention));
  CHECK_TRUE(peer.SnapshotDue(kStartMs + 2 * half_ms + 1, kRetention));
}

TEST(ConfigurationFold, CountsAMismatchedSnapshotAndStillRequiresOldRecords) {
  ConfigurationFold fold;
  fold.Apply(0, kStartMs, Payload(Publish("s", kNoRevision, "1")));
  SnapshotEntry snapshot = fold.MakeSnapshot();
  snapshot.digest[3] ^= 1;
  fold.Apply(1, kStartMs + kRetention.count(), Payload(snapshot));
  LONGS_EQUAL(1, fold.SnapshotMismatches());
  CHECK_TRUE(fold.SnapshotDue(kStartMs + kRetention.count(), kRetention));
  ConfigurationFold late;
  CHECK_TRUE(late.Apply(1, 0, Payload(snapshot)) == ApplyResult::kBuffered);
}

TEST(ConfigurationFold, PropertySplitsRestartsAndImportsGiveTheSameState) {
  CHECK_TRUE(rc::check("split, restart and import", [] {
    const Log log = RandomLog();
    ConfigurationFold complete;
    ReadLog(complete, log, 0, log.size());

    auto fold = std::make_unique<ConfigurationFold>();
    std::int64_t highest = kNoRevision;
    while (fold->State()->offset + 1 < static_cast<std::int64_t>(log.size())) {
      const auto next = static_cast<std::size_t>(fold->NextOffset());
      const auto to = *rc::gen::inRange<std::size_t>(next + 1, log.size() + 1);
      ReadLog(*fold, log, next, to);
      if (*rc::gen::arbitrary<bool>()) {
        // A restart that imports the state of a peer, here the fold's own.
        auto restarted = std::make_unique<ConfigurationFold>();
        RC_ASSERT(restarted->Import(fold->Export()).value() ||
                  fold->State()->offset == kNoRevision);
        fold = std::move(restarted);
      }
      if (*rc::gen::arbitrary<bool>()) {
        ConfigurationFold peer;
        ReadLog(peer, log, 0, *rc::gen::inRange<std::size_t>(0, log.size()));
        fold->Import(peer.Export()).value();
      }
      // Records arrive again, for instance after a repeated read.
      ReadLog(*fold, log, 0, *rc::gen::inRange<std::size_t>(0, to + 1));
      RC_ASSERT(fold->State()->offset >= highest);
      highest = fold->State()->offset;
    }
    RC_ASSERT(SameState(complete, *fold));
  }));
}

TEST(ConfigurationFold,
     PropertyAReaderThatStartsLateAgreesThroughASnapshotOrImport) {
  CHECK_TRUE(rc::check("start at any retained offset", [] {
    const Log log = RandomLog();
    ConfigurationFold complete;
    ReadLog(complete, log, 0, log.size());
    const auto first = *rc::gen::inRange<std::size_t>(0, log.size());
    ConfigurationFold late;
    ReadLog(late, log, first, log.size());
    if (late.HasNoGap()) {
      RC_ASSERT(SameState(complete, late));
    } else {
      RC_ASSERT(late.State()->services.empty());
      RC_ASSERT(late.Import(complete.Export()).value());
      RC_ASSERT(SameState(complete, late));
    }
  }));
}

TEST(ConfigurationFold, PropertyOneOfTwoPublishesOnTheSameBaseIsInForce) {
  CHECK_TRUE(rc::check("exactly one", [] {
    Log log = RandomLog();
    ConfigurationFold fold;
    ReadLog(fold, log, 0, log.size());
    const ServiceInForce* current = fold.State()->Find("a");
    const std::int64_t base =
        current == nullptr ? kNoRevision : current->revision;
    const std::string team = current == nullptr ? "t" : current->document.team;
    std::vector<PublishEntry> racing = {Publish("a", base, "one", 11, team),
                                        Publish("a", base, "two", 22, team)};
    // Any order, with each append any number of times.
    const auto order =
        *rc::gen::container<std::vector<int>>(4, rc::gen::element(0, 1));
    RC_PRE(std::count(order.begin(), order.end(), 0) % 4 != 0);
    for (const int which : order) {
      const auto offset = static_cast<std::int64_t>(log.size());
      log.push_back({kStartMs + offset, Payload(racing[which])});
      ReadLog(fold, log, log.size() - 1, log.size());
    }
    const bool one =
        fold.OutcomeOf("one")->decision == PublishDecision::kInForce;
    const bool two =
        fold.OutcomeOf("two")->decision == PublishDecision::kInForce;
    RC_ASSERT(one != two);
    RC_ASSERT(fold.State()->Find("a")->publish_id == (one ? "one" : "two"));
  }));
}

}  // namespace carobbank
