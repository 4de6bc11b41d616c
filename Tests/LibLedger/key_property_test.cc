// Properties of the fold of idempotency keys and of group commit over random
// histories. They guard against a fold that starts late and decides
// differently, a claim that is taken over, and an entry that is lost or
// reported at a wrong position.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kRetention{10'000};
constexpr Milliseconds kSkew{500};
constexpr Milliseconds kWindow{8'000};

KeyFoldOptions Options(WallMilliseconds covered_since_ms) {
  KeyFoldOptions options;
  options.window = kWindow;
  options.skew = kSkew;
  options.key_retention = kRetention - kSkew;
  options.covered_since_ms = covered_since_ms;
  return options;
}

rc::Gen<std::vector<std::uint32_t>> Events() {
  return rc::gen::resize(150,
                         rc::gen::container<std::vector<std::uint32_t>>(
                             rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

// A key and its issue time, which every attempt states.
struct IssuedKey {
  IdempotencyKey name;
  WallMilliseconds issued_ms = 0;
};

// Writes the entries that attempts on a few keys may append, in any order:
// copies of old claims, releases and outcomes of any attempt.
class KeyHistory {
 public:
  MemoryStream stream;
  std::vector<IssuedKey> keys;
  WallMilliseconds now_ms = 1'000'000;

  void Play(std::uint32_t event) {
    this->now_ms += event / 16 % 300;
    if (this->keys.empty() || event % 16 == 0) {
      const std::string key = "k" + std::to_string(this->keys.size());
      this->keys.push_back({{"dispatch-app", key}, this->now_ms});
    }
    const std::size_t recent = std::min<std::size_t>(this->keys.size(), 4);
    const IssuedKey& key =
        this->keys[this->keys.size() - 1 - event / 64 % recent];
    const std::string attempt = "a" + std::to_string(event / 256 % 4);
    this->stream.Add(this->Entry(key, attempt, event), this->now_ms);
  }

 private:
  static KeyEntry Entry(const IssuedKey& key,
                        const std::string& attempt,
                        std::uint32_t event) {
    switch (event % 16) {
      case 1:
      case 2:
      case 3:
      case 4:
        return ReleaseEntry{key.name, attempt};
      case 5:
      case 6:
        return DoneEntry{key.name, attempt, MakeStoredOutcome(200, "", "ok")};
      default:
        return ClaimEntry{key.name, attempt, key.issued_ms,
                          key.issued_ms + 1000, "request"};
    }
  }
};

// The decision of an entry instance for a key at `now_ms`.
std::string DescribeDecision(const KeyFold& fold,
                             const IssuedKey& key,
                             WallMilliseconds now_ms) {
  const KeyDecision decision =
      fold.Decide(key.name, key.issued_ms, "request", now_ms);
  return key.name.key + ":" +
         std::to_string(static_cast<int>(decision.action)) + " ";
}

}  // namespace

TEST_GROUP(KeyProperties){};

TEST(KeyProperties, LateFoldAgreesOnEveryAcceptableKey) {
  CHECK_TRUE(rc::check("late start changes no decision", [] {
    const std::vector<std::uint32_t> events = *Events();
    KeyHistory history;
    for (std::uint32_t event : events) {
      history.Play(event);
    }
    const WallMilliseconds covered_since_ms =
        history.now_ms - kRetention.count();
    KeyFold reference(Options(kBeforeAllRecords), 0);
    KeyFold late(Options(covered_since_ms),
                 history.stream.FirstSince(covered_since_ms + 1));
    history.stream.FeedTo(reference);
    history.stream.FeedTo(late);
    std::string expected;
    std::string actual;
    for (const IssuedKey& key : history.keys) {
      if (key.issued_ms + kWindow.count() < history.now_ms) {
        // A key outside its window: the late fold may decide kExpiredUnknown,
        // but never kClaim, and not kExpiredNotRun for a key that is held.
        const KeyAction action =
            late.Decide(key.name, key.issued_ms, "request", history.now_ms)
                .action;
        const bool held = reference.PhaseOf(key.name) == KeyPhase::kClaimed ||
                          reference.PhaseOf(key.name) == KeyPhase::kDone;
        RC_ASSERT(action != KeyAction::kClaim);
        RC_ASSERT(!held || action != KeyAction::kExpiredNotRun);
        continue;
      }
      expected += DescribeDecision(reference, key, history.now_ms);
      actual += DescribeDecision(late, key, history.now_ms);
    }
    RC_ASSERT(actual == expected);
  }));
}

TEST(KeyProperties, HolderChangesOnlyThroughItsOwnRelease) {
  CHECK_TRUE(rc::check("a claim is never taken over", [] {
    const std::vector<std::uint32_t> events = *Events();
    KeyHistory history;
    KeyFold fold(Options(kBeforeAllRecords), 0);
    std::map<IdempotencyKey, std::string> holders;
    std::map<IdempotencyKey, std::set<std::string>> ended;
    for (std::uint32_t event : events) {
      history.Play(event);
      const DecodedRecord<KeyEntry> record =
          DecodeKeyRecord(history.stream.At(history.stream.End() - 1));
      history.stream.FeedTo(fold);
      std::map<IdempotencyKey, std::string> now;
      for (const OpenClaim& claim : fold.OpenClaims()) {
        now[claim.name] = claim.attempt;
        RC_ASSERT(!ended[claim.name].contains(claim.attempt));
      }
      for (const auto& [name, attempt] : holders) {
        if (!now.contains(name)) {
          ended[name].insert(attempt);
          continue;
        }
        RC_ASSERT(now[name] == attempt);
      }
      holders = now;
      RC_ASSERT(record.skipped == 0U);
    }
  }));
}

TEST_GROUP(GroupCommitterProperties){};

TEST(GroupCommitterProperties, EveryEntryIsReportedAtItsPosition) {
  CHECK_TRUE(rc::check("no entry is lost or misplaced", [] {
    const std::vector<std::uint32_t> events = *Events();
    GroupCommitterOptions options;
    options.max_record_bytes = 60;
    GroupCommitter committer(options);
    Random random(3);
    MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
    // The log: the entries of each record.
    std::vector<std::string> records;
    std::map<EntryTicket, std::string> open;
    std::optional<AppendRequest> in_flight;
    const auto commit = [&](std::uint64_t number, std::uint64_t offset) {
      for (const AppendedEntry& done : committer.OnAppended(number, offset)) {
        const auto entries = DecodeRecordEntries(records[done.position.offset]);
        RC_ASSERT(WriteJson((*entries)[done.position.index]) ==
                  open[done.ticket]);
        RC_ASSERT(open.erase(done.ticket) == 1U);
      }
    };
    const auto step = [&](std::uint32_t event) {
      now += Milliseconds(event / 8 % 200);
      if (!in_flight) {
        in_flight = committer.NextAppend(now);
        return;
      }
      const bool is_appended = event % 4 != 0;
      if (is_appended) {
        records.push_back(in_flight->payload);
      }
      if (event % 4 <= 1) {
        const ErrorKind kind = is_appended || event % 8 == 0
                                   ? ErrorKind::kOutcomeUnknown
                                   : ErrorKind::kUnavailable;
        committer.OnFailed(in_flight->number, kind, now, random);
      } else {
        commit(in_flight->number, records.size() - 1);
      }
      in_flight.reset();
    };
    int number = 0;
    for (std::uint32_t event : events) {
      if (event % 3 == 0) {
        const std::string entry = std::to_string(number++);
        open[Capture([&] { return committer.Add(entry); }).Value()] = entry;
      } else {
        step(event / 3);
      }
    }
    // Once the log accepts appends again, every entry is appended.
    for (int round = 0; round < 400 && !open.empty(); ++round) {
      now += std::chrono::seconds(6);
      step(2);
    }
    RC_ASSERT(open.empty());
    RC_ASSERT(committer.BufferedBytes() == 0U);
  }));
}

}  // namespace carobbank
