// Retention arithmetic: lifetimes of steps and keys with which a fold that
// starts at the oldest retained record decides like one that read every record.

#pragma once

#include "LibLedger/log_position.h"

namespace carobbank {

// A time before every record, for a fold that read its stream from offset 0.
inline constexpr WallMilliseconds kBeforeAllRecords = INT64_MIN / 4;

struct RetentionOptions {
  // How long the log retains a record.
  Milliseconds retention{std::chrono::hours(6)};
  // Tolerance for differences between clocks and for early trimming.
  Milliseconds margin{std::chrono::minutes(5)};
};

// A step expires this long after its accept or its last snapshot: half of the
// retention. Steps that a fold can't decide on, because it starts at the oldest
// record and lacks older ones, have therefore expired when the fold starts.
Milliseconds StepLifetime(const RetentionOptions& options);

// Longest key window for which the log retains all claims of an acceptable key.
Milliseconds LongestKeyWindow(const RetentionOptions& options);

// When a step must be copied forward as a snapshot: by its owner at `owner_ms`,
// by every other entry instance that follows the stream at `others_ms`, unless
// a newer snapshot has extended `lives_until_ms`.
struct SnapshotSchedule {
  WallMilliseconds owner_ms = 0;
  WallMilliseconds others_ms = 0;
};

SnapshotSchedule ScheduleSnapshot(const RetentionOptions& options,
                                  WallMilliseconds lives_until_ms);

// The time after which a fold that starts now at the oldest retained record
// reads every record. `first_retained` 0 means that nothing was trimmed yet.
WallMilliseconds CoveredSince(const RetentionOptions& options,
                              std::uint64_t first_retained,
                              WallMilliseconds now_ms);

}  // namespace carobbank
