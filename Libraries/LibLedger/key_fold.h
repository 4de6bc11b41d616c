// Folds the stream `keys`. The phase of an idempotency key goes none -> claimed
// -> released or done. The first valid claim by log position may run the
// request; no other attempt takes over from it.

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
  // How far ahead of the log's clock an issue time may be.
  Milliseconds skew{std::chrono::minutes(1)};
  // How long after its issue a key is retained. At least the window.
  Milliseconds key_retention{std::chrono::hours(4)};
  // The fold reads every record later than this (CoveredSince).
  WallMilliseconds covered_since_ms = kBeforeAllRecords;
  // Maximum number of released or lost attempts of one key; further claims are
  // void.
  std::size_t max_spent_attempts = 64;
};

enum class KeyPhase { kNone, kClaimed, kReleased, kDone };

// How an entry instance handles a request with an idempotency key.
enum class KeyAction {
  // Append a claim; send the request only once its ClaimStatus is kWon.
  kClaim,
  // Another attempt runs the request: respond may_have_run with `retry_after`.
  kInProgress,
  // An attempt claimed the key and recorded no outcome: respond may_have_run to
  // every repeat.
  kUnresolved,
  // The request ran: respond with `outcome`.
  kDone,
  // Outside the key window, and no attempt ever held the key: respond not_run.
  kExpiredNotRun,
  // Outside the key window, and the key's history is unknown: respond
  // may_have_run.
  kExpiredUnknown,
  // The key belongs to another request or issue time: respond not_run.
  kMismatch,
  // Too many attempts were released or lost: respond not_run; the caller must
  // use a new key.
  kExhausted,
};

struct KeyDecision {
  KeyAction action = KeyAction::kClaim;
  StoredOutcome outcome{};
  // With kInProgress: when the caller should retry.
  Milliseconds retry_after{0};
};

enum class ClaimStatus {
  // The fold has not reached the claim's position yet.
  kPending,
  // Only this attempt may send the request, once.
  kWon,
  // Another attempt claimed the key first, or the claim was appended outside
  // the window.
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
  // `start_offset`: 0, or the oldest retained offset.
  KeyFold(KeyFoldOptions options, std::uint64_t start_offset)
      : options(options), next_offset(start_offset) {}

  // As RolloutFold::Apply.
  bool Apply(const StreamRecord& record);
  std::uint64_t NextOffset() const { return this->next_offset; }
  WallMilliseconds LogTime() const { return this->log_time_ms; }

  // Decides how to handle an arriving request. The fold must have read the
  // stream to its end recently; a stale fold can lead to a lost claim, but
  // never to a second run.
  KeyDecision Decide(const IdempotencyKey& name,
                     WallMilliseconds issued_ms,
                     std::string_view request_digest,
                     WallMilliseconds now_ms) const;

  // `claimed_at`: the confirmed position of the claim.
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
    // The attempt that holds the key, or the last one that held it.
    std::string attempt;
    WallMilliseconds issued_ms = 0;
    WallMilliseconds deadline_ms = 0;
    std::string request_digest;
    StoredOutcome outcome;
    // Attempts that were released or lost. A delayed copy of their claims
    // must not win later.
    std::vector<std::string> spent;
    // In log time; the key is removed after it.
    WallMilliseconds expires_ms = 0;
  };
  struct KeyExpiry {
    WallMilliseconds expires_ms = 0;
    IdempotencyKey name;
    auto operator<=>(const KeyExpiry&) const = default;
  };

  void OnClaim(const ClaimEntry& entry, WallMilliseconds time_ms);
  bool CanClaim(const KeyState& state, const ClaimEntry& entry) const;
  void OnRelease(const ReleaseEntry& entry, WallMilliseconds time_ms);
  void OnDone(const DoneEntry& entry);
  KeyState& StateFor(const IdempotencyKey& name, WallMilliseconds expires_ms);
  void AddSpent(KeyState& state, const std::string& attempt);
  bool IsSpent(const KeyState& state, std::string_view attempt) const;
  KeyDecision DecideHeld(const KeyState& state, WallMilliseconds now_ms) const;
  KeyAction ExpiredAction(WallMilliseconds issued_ms,
                          WallMilliseconds now_ms) const;
  bool InWindow(WallMilliseconds issued_ms, WallMilliseconds time_ms) const;
  void RemoveExpired();

  KeyFoldOptions options;
  std::uint64_t next_offset = 0;
  WallMilliseconds log_time_ms = kBeforeAllRecords;
  std::map<IdempotencyKey, KeyState> keys;
  // Invariant: one element per key of `keys`, with the same time.
  std::set<KeyExpiry> expiries;
  KeyFoldCounters counters;
};

}  // namespace carobbank
