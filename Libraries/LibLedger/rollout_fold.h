// Folds the stream `rollouts.<service>` into its steps. Two folds that have
// read up to the same position agree on every living step, wherever each of
// them started, provided that it covers a step lifetime (see retention.h).
//
// Why first-wins holds across copies: a step is named by the position of its
// first accept, and every later entry repeats that name. A copy states the
// results that the records up to `as_of_offset` define, in order; later
// results follow in stream order. A fold that knows the step needs no copy and
// takes only the longer life from it. A fold that started later takes the
// results from the first complete copy after whose `as_of_offset` it has read
// everything, then appends those it read itself since. Both end with the same
// ordered list, so the number of a result never changes and old cursors stay
// valid.
//
// A fold that starts late can't see whether an older accept lies before its
// start. Therefore an accept states how far its writer had read (its basis):
// when that lies before the fold's start, the fold takes no notice of it. An
// accept that reaches the log more than half a step lifetime after its writer
// decided is void for every fold, so the ones passed over here have expired by
// now, unless a copy brings them.

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

// Names a step for ever, also when its request id is used again later.
struct StepId {
  std::string request_id;
  // Position of the accept.
  LogPosition accepted_at;

  auto operator<=>(const StepId&) const = default;
};

struct StepOwner {
  std::string owner;
  // 0 while nobody has taken the step.
  std::uint64_t term = 0;

  bool operator==(const StepOwner&) const = default;
};

// What the stream says about one step.
struct StepState {
  AcceptEntry accept;
  // Names the step.
  LogPosition accepted_at;
  // Where a reader must start to rebuild it.
  std::uint64_t start_offset = 0;
  // In log time; the step is dropped after it.
  WallMilliseconds lives_until_ms = 0;
  StepOwner owner;
  // First results in log order; the number of a result never changes.
  std::vector<SampleResult> results;
  // Invariant: exactly the sample ids of `results`.
  std::set<std::string, std::less<>> finished;
  // Not empty once the step is closed.
  std::string end_reason;

  bool Has(std::string_view sample_id) const;
  // No result will follow.
  bool Complete() const;
};

struct RolloutFoldCounters {
  std::uint64_t malformed = 0;
  std::uint64_t repeated_accepts = 0;
  std::uint64_t duplicate_results = 0;
  // Spans with a gap, an unknown version or one older than the bound.
  std::uint64_t invalid_commits = 0;
  // Entries for a step that is unknown, expired, closed or another one.
  std::uint64_t ignored_entries = 0;
  std::uint64_t expired_steps = 0;
};

enum class AcceptDecision {
  // No such step: append an accept.
  kNew,
  // A repeat: answer with the step's cursor.
  kRepeat,
  // The request id is in use for another request.
  kMismatch,
};

struct AcceptVerdict {
  AcceptDecision decision = AcceptDecision::kNew;
  // For the accept to append, with kNew.
  AcceptBasis basis;
};

struct RolloutFoldOptions {
  std::string service;
  Milliseconds step_lifetime{std::chrono::hours(3)};
  // Folds this step alone, whose accept needs no check then.
  std::optional<StepId> only_step;
};

class RolloutFold {
 public:
  // `start_offset`: 0, or the oldest kept offset.
  RolloutFold(RolloutFoldOptions options, std::uint64_t start_offset);

  // Takes the next record. Records below `NextOffset()` are ignored, so pages
  // may overlap. Returns false, and takes nothing, when records before this
  // one are missing: start a new fold at the oldest kept record.
  bool Apply(const StreamRecord& record);

  const std::string& Service() const { return this->options.service; }
  // The offset to read from next.
  std::uint64_t NextOffset() const { return this->next_offset; }
  // Log time of the last folded record.
  WallMilliseconds LogTime() const { return this->log_time_ms; }

  // Nothing when the request id is unknown or its step has expired.
  const StepState* Find(std::string_view request_id) const;
  std::vector<const StepState*> Steps() const;

  // Ask only a fold that was read to the stream's end within the last minute:
  // one that lags may call a repeat new.
  AcceptVerdict DecideAccept(std::string_view request_id,
                             std::string_view request_digest,
                             WallMilliseconds now_ms) const;
  // The cursor of the step's first result.
  Cursor FirstCursor(const StepState& step) const;

  // The entries that copy the step forward, each at most about
  // `max_part_bytes`, stated as of the last folded record. The copy extends
  // the step's life from `now_ms`, so the fold must have been read to the
  // stream's end within the last minutes.
  std::vector<RolloutEntry> MakeSnapshotEntries(const StepState& step,
                                                std::string_view carry_id,
                                                std::size_t max_part_bytes,
                                                WallMilliseconds now_ms) const;

  const RolloutFoldCounters& Counters() const { return this->counters; }

 private:
  // Results and takes of a step whose accept lies before this fold's start.
  struct Orphan {
    struct Result {
      std::uint64_t offset = 0;
      SampleResult result;
    };
    struct Take {
      std::uint64_t offset = 0;
      StepOwner owner;
    };
    // Log time of the last entry.
    WallMilliseconds last_ms = 0;
    std::vector<Result> results;
    std::vector<Take> takes;
    std::string end_reason;
    std::uint64_t end_offset = 0;
  };
  // Parts of one copy, until it is complete.
  struct CarryParts {
    WallMilliseconds first_ms = 0;
    std::map<std::uint32_t, StepSnapshotEntry> parts;
  };

  void ApplyEntry(PositionedEntry<RolloutEntry> positioned);
  void OnAccept(const LogPosition& position,
                WallMilliseconds time_ms,
                AcceptEntry entry);
  void OnTake(const LogPosition& position, const StepTakeoverEntry& entry);
  void OnResult(const LogPosition& position, SampleResult result);
  void OnEnd(const LogPosition& position, const EndEntry& entry);
  void OnCarry(WallMilliseconds time_ms, StepSnapshotEntry entry);
  void CompleteCarry(CarryParts copy);
  void Restore(CarryParts copy);
  WallMilliseconds LifeAfter(const StepSnapshotEntry& head) const;
  void MergeOrphan(StepState& step, std::uint64_t as_of_offset);
  void AddResult(StepState& step, SampleResult result);
  bool Wants(const RolloutEntry& entry) const;
  // Nothing when the entry belongs to no living step known here.
  StepState* FindNamed(const StepId& name);
  // Where to keep an entry whose step may still be brought by a copy; nothing
  // when that can't be.
  Orphan* OrphanFor(const StepId& name);
  bool MayCount(const AcceptEntry& entry,
                const LogPosition& position,
                WallMilliseconds time_ms) const;
  void DropExpired();

  RolloutFoldOptions options;
  std::uint64_t start_offset = 0;
  std::uint64_t next_offset = 0;
  WallMilliseconds log_time_ms = kBeforeAllRecords;
  // One living step per request id.
  std::map<std::string, StepState, std::less<>> steps;
  std::map<StepId, Orphan> orphans;
  // By carry id, until complete or too old.
  std::map<std::string, CarryParts, std::less<>> carries;
  RolloutFoldCounters counters;
};

// True when the spans cover [0, tokens) without gap or overlap and every
// version is known and at least `oldest_version`.
bool SpansValid(const CommitEntry& commit, std::uint64_t oldest_version);

}  // namespace carobbank
