// Folds the stream `keys`: per idempotency key none -> claimed -> released or
// done. The first live claim by position may run; it is never taken over.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibLedger/key_entries.h"
#include "LibLedger/retention.h"

namespace carobbank {

struct KeyFoldOptions {
  // How long after its issue a key is accepted; at most LongestKeyWindow.
  Milliseconds window{std::chrono::hours(1)};
  // How far ahead of the log's clock an issue time may lie.
  Milliseconds skew{std::chrono::minutes(1)};
  // How long after its issue a key is remembered. At least the window.
  Milliseconds key_retention{std::chrono::hours(4)};
  // Every record later than this is folded (CoveredSince).
  WallMilliseconds covered_since_ms = kBeforeAllRecords;
  // Attempts of one key that may end released or lost; further claims are
  // void.
  std::size_t max_spent_attempts = 64;
};

enum class KeyPhase { kNone, kClaimed, kReleased, kDone };

// What an entry does with a keyed request that came in.
enum class KeyAction {
  // Append a claim; send only after ClaimStatus says kWon.
  kClaim,
  // Another attempt runs it: may_have_run, come back after `retry_after`.
  kInProgress,
  // An attempt claimed it and never said how it ended: may_have_run for ever.
  kUnresolved,
  // It ran: answer with `outcome`.
  kDone,
  // Outside the key window, and no attempt ever held it: not_run.
  kExpiredNotRun,
  // Outside the key window, and its history is not known: may_have_run.
  kExpiredUnknown,
  // The key belongs to another request or issue time: not_run.
  kMismatch,
  // Too many attempts were released: not_run, use a new key.
  kExhausted,
};

struct KeyDecision {
  KeyAction action = KeyAction::kClaim;
  StoredOutcome outcome{};
  // With kInProgress: until the holder's deadline has surely passed.
  Milliseconds retry_after{0};
};

enum class ClaimStatus {
  // The fold has not reached the claim's position yet.
  kPending,
  // This attempt, and no other, may send the request: once.
  kWon,
  // Another attempt was first, or the claim came outside the window.
  kLost,
};

struct KeyFoldCounters {
  std::uint64_t malformed = 0;
  std::uint64_t claims_won = 0;
  std::uint64_t claims_lost = 0;
  std::uint64_t claims_out_of_window = 0;
  // Releases and outcomes by attempts that did not hold the key.
  std::uint64_t ignored_entries = 0;
};

// A claim without outcome, for the operator's status.
struct OpenClaim {
  IdempotencyKey name;
  std::string attempt;
  WallMilliseconds deadline_ms = 0;
};

class KeyFold {
 public:
  // `start_offset`: 0, or the oldest kept offset.
  KeyFold(KeyFoldOptions options, std::uint64_t start_offset)
      : options(options), next_offset(start_offset) {}

  // As RolloutFold::Apply.
  bool Apply(const StreamRecord& record);
  std::uint64_t NextOffset() const { return this->next_offset; }
  WallMilliseconds LogTime() const { return this->log_time_ms; }

  // For a request that has just come in. The fold must have read the stream
  // to its end lately; a stale fold costs a lost claim, never a second run.
  KeyDecision Decide(const IdempotencyKey& name,
                     WallMilliseconds issued_ms,
                     std::string_view request_digest,
                     WallMilliseconds now_ms) const;

  // `claimed_at`: where the claim's own append was reported.
  ClaimStatus StatusOf(const IdempotencyKey& name,
                       std::string_view attempt,
                       const LogPosition& claimed_at) const;

  KeyPhase PhaseOf(const IdempotencyKey& name) const;
  std::vector<OpenClaim> OpenClaims() const;
  std::size_t Size() const { return this->keys.size(); }
  const KeyFoldCounters& Counters() const { return this->counters; }

 private:
  struct KeyState {
    KeyPhase phase = KeyPhase::kNone;
    // The attempt that holds or held the key last.
    std::string attempt;
    WallMilliseconds issued_ms = 0;
    WallMilliseconds deadline_ms = 0;
    std::string request_digest;
    StoredOutcome outcome;
    // Attempts that were released or lost. A delayed copy of their claim
    // must not win later.
    std::vector<std::string> spent;
    // In log time; the key is forgotten after it.
    WallMilliseconds forget_ms = 0;
  };
  struct Forgetting {
    WallMilliseconds forget_ms = 0;
    IdempotencyKey name;
    auto operator<=>(const Forgetting&) const = default;
  };

  void OnClaim(const ClaimEntry& entry, WallMilliseconds time_ms);
  bool MayHold(const KeyState& state, const ClaimEntry& entry) const;
  void OnRelease(const ReleaseEntry& entry, WallMilliseconds time_ms);
  void OnDone(const DoneEntry& entry);
  KeyState& StateFor(const IdempotencyKey& name, WallMilliseconds forget_ms);
  void Spend(KeyState& state, const std::string& attempt);
  bool IsSpent(const KeyState& state, std::string_view attempt) const;
  KeyDecision DecideHeld(const KeyState& state, WallMilliseconds now_ms) const;
  KeyAction ExpiredAction(WallMilliseconds issued_ms,
                          WallMilliseconds now_ms) const;
  bool InWindow(WallMilliseconds issued_ms, WallMilliseconds time_ms) const;
  void ForgetOld();

  KeyFoldOptions options;
  std::uint64_t next_offset = 0;
  WallMilliseconds log_time_ms = kBeforeAllRecords;
  std::map<IdempotencyKey, KeyState> keys;
  // Invariant: one row per key of `keys`, with the same time.
  std::set<Forgetting> forgetting;
  KeyFoldCounters counters;
};

}  // namespace carobbank
