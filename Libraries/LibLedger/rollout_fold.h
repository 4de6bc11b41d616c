// Folds the stream `rollouts.<service>` into its steps. Two folds that have
// read up to the same position agree on every unexpired step, wherever each of
// them started, provided that each covers a step lifetime (see retention.h).
//
// Why the first result wins across snapshots: the position of a step's first
// accept identifies the step, and every later entry repeats that position. A
// snapshot states the results that the records up to `as_of_offset` define, in
// order; later results follow in stream order. A fold that already has the step
// uses a snapshot only to extend the step's lifetime. A fold that started later
// restores the results from the first complete snapshot after whose
// `as_of_offset` it has read every record, then appends the results that it
// read after that offset. Both folds end with the same ordered list, so the
// number of a result never changes and old cursors stay valid.
//
// A fold that starts late can't detect an older accept before its start.
// Therefore an accept states how far its writer had read (its basis): when the
// basis lies before the fold's start, the fold ignores the accept. An accept
// that reaches the log more than half a step lifetime after its writer decided
// is void for every fold, so the steps of ignored accepts have expired by now,
// unless a snapshot restores them.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibLedger/cursor.h"
#include "LibLedger/log_position.h"
#include "LibLedger/retention.h"
#include "LibLedger/rollout_entries.h"

namespace carobbank {

using SampleResult = std::variant<CommitEntry, FailEntry>;

// Identifies a step permanently, even when its request id is reused later.
struct StepId {
  std::string request_id;
  // Position of the accept.
  LogPosition accepted_at;

  auto operator<=>(const StepId&) const = default;
};

struct StepOwner {
  std::string owner;
  // 0 while the step has no owner.
  std::uint64_t term = 0;

  bool operator==(const StepOwner&) const = default;
};

// The state of one step according to the stream.
struct StepState {
  AcceptEntry accept;
  // Position of the accept; identifies the step.
  LogPosition accepted_at;
  // The offset from which a reader can rebuild the step.
  std::uint64_t start_offset = 0;
  // In log time; the step is removed after it.
  WallMilliseconds lives_until_ms = 0;
  StepOwner owner;
  // First result of each sample, in log order; the number of a result never
  // changes.
  std::vector<SampleResult> results;
  // Invariant: exactly the sample ids of `results`.
  std::set<std::string, std::less<>> finished;
  // Not empty once the step is closed.
  std::string end_reason;

  bool Has(std::string_view sample_id) const;
  // True when no result can follow.
  bool Complete() const;
};

struct RolloutFoldCounters {
  std::uint64_t malformed = 0;
  std::uint64_t repeated_accepts = 0;
  std::uint64_t duplicate_results = 0;
  // Spans with a gap, an unknown version or a version older than the bound.
  std::uint64_t invalid_commits = 0;
  // Entries of a step that is unknown, expired or closed, or that has another
  // accept position.
  std::uint64_t ignored_entries = 0;
  std::uint64_t expired_steps = 0;
};

enum class AcceptDecision {
  // No such step: append an accept.
  kNew,
  // A repeat: respond with the step's cursor.
  kRepeat,
  // The request id is in use for another request.
  kMismatch,
};

struct AcceptDecisionResult {
  AcceptDecision decision = AcceptDecision::kNew;
  // With kNew: the basis of the accept to append.
  AcceptBasis basis;
};

struct RolloutFoldOptions {
  std::string service;
  Milliseconds step_lifetime{std::chrono::hours(3)};
  // When set, folds only this step; the basis of its accept is not checked.
  std::optional<StepId> only_step;
};

class RolloutFold {
 public:
  // `start_offset`: 0, or the oldest retained offset.
  RolloutFold(RolloutFoldOptions options, std::uint64_t start_offset);

  // Applies the next record. Records below `NextOffset()` are ignored, so pages
  // may overlap. Returns false and changes nothing when records before this
  // one are missing: start a new fold at the oldest retained record.
  bool Apply(const StreamRecord& record);

  const std::string& Service() const { return this->options.service; }
  // The offset to read from next.
  std::uint64_t NextOffset() const { return this->next_offset; }
  // Log time of the last folded record.
  WallMilliseconds LogTime() const { return this->log_time_ms; }

  // Nothing when the request id is unknown or its step has expired.
  const StepState* Find(std::string_view request_id) const;
  std::vector<const StepState*> Steps() const;

  // Call only on a fold that has read the stream to its end within the last
  // minute: a fold that lags may decide kNew for a repeat.
  AcceptDecisionResult DecideAccept(std::string_view request_id,
                                    std::string_view request_digest,
                                    WallMilliseconds now_ms) const;
  // The cursor of the step's first result.
  Cursor FirstCursor(const StepState& step) const;

  // The entries of a snapshot of the step as of the last folded record, each at
  // most about `max_part_bytes`. The snapshot extends the step's lifetime from
  // `now_ms`, so the fold must have read the stream to its end within the last
  // minutes.
  std::vector<RolloutEntry> MakeSnapshotEntries(const StepState& step,
                                                std::string_view carry_id,
                                                std::size_t max_part_bytes,
                                                WallMilliseconds now_ms) const;

  const RolloutFoldCounters& Counters() const { return this->counters; }

 private:
  // Results and takeovers of a step whose accept lies before this fold's start.
  struct Orphan {
    struct Result {
      std::uint64_t offset = 0;
      SampleResult result;
    };
    struct Takeover {
      std::uint64_t offset = 0;
      StepOwner owner;
    };
    // Log time of the last entry.
    WallMilliseconds last_ms = 0;
    std::vector<Result> results;
    std::vector<Takeover> takeovers;
    std::string end_reason;
    std::uint64_t end_offset = 0;
  };
  // Parts of one snapshot, until it is complete.
  struct SnapshotParts {
    WallMilliseconds first_ms = 0;
    std::map<std::uint32_t, StepSnapshotEntry> parts;
  };

  void ApplyEntry(PositionedEntry<RolloutEntry> positioned);
  void OnAccept(const LogPosition& position,
                WallMilliseconds time_ms,
                AcceptEntry entry);
  void OnTakeover(const LogPosition& position, const StepTakeoverEntry& entry);
  void OnResult(const LogPosition& position, SampleResult result);
  void OnEnd(const LogPosition& position, const EndEntry& entry);
  void OnSnapshotPart(WallMilliseconds time_ms, StepSnapshotEntry entry);
  void ApplySnapshot(SnapshotParts snapshot);
  void RestoreStep(SnapshotParts snapshot);
  WallMilliseconds ExpiryAfter(const StepSnapshotEntry& head) const;
  void MergeOrphan(StepState& step, std::uint64_t as_of_offset);
  void AddResult(StepState& step, SampleResult result);
  bool IsRelevant(const RolloutEntry& entry) const;
  // Null when the fold has no unexpired step with this id.
  StepState* FindById(const StepId& id);
  // Collects the entries of a step that a snapshot may still restore; null when
  // no snapshot can.
  Orphan* OrphanFor(const StepId& id);
  bool IsAcceptValid(const AcceptEntry& entry,
                     const LogPosition& position,
                     WallMilliseconds time_ms) const;
  void DropExpired();

  RolloutFoldOptions options;
  std::uint64_t start_offset = 0;
  std::uint64_t next_offset = 0;
  WallMilliseconds log_time_ms = kBeforeAllRecords;
  // One unexpired step per request id.
  std::map<std::string, StepState, std::less<>> steps;
  std::map<StepId, Orphan> orphans;
  // By carry id, until complete or too old.
  std::map<std::string, SnapshotParts, std::less<>> snapshots;
  RolloutFoldCounters counters;
};

// True when the spans cover [0, tokens) without gap or overlap and every
// version is known and at least `oldest_version`.
bool SpansValid(const CommitEntry& commit, std::uint64_t oldest_version);

}  // namespace carobbank
