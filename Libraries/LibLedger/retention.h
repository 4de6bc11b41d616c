// Retention arithmetic: how long steps and keys may live, so that every fold
// that starts from the oldest kept record decides like one that saw it all.

#pragma once

#include "LibLedger/log_position.h"

namespace carobbank {

// Before every record: a fold that read its stream from offset 0.
inline constexpr WallMilliseconds kBeforeAllRecords = INT64_MIN / 4;

struct RetentionOptions {
  // How long the log keeps a record.
  Milliseconds retention{std::chrono::hours(6)};
  // What clocks and trimming may differ by.
  Milliseconds margin{std::chrono::minutes(5)};
};

// A step lives this long from its accept or from its last copy: half of the
// retention. What a fold that starts at the oldest record can't judge for lack
// of older ones has therefore expired by the time that it starts.
Milliseconds StepLifetime(const RetentionOptions& options);

// Longest key window for which all claims of an acceptable key are kept.
Milliseconds LongestKeyWindow(const RetentionOptions& options);

// When the step must be copied forward. Its owner does so at `owner_ms`,
// every other entry that follows the stream at `others_ms`, unless a newer
// copy has moved `lives_until_ms` on.
struct SnapshotSchedule {
  WallMilliseconds owner_ms = 0;
  WallMilliseconds others_ms = 0;
};

SnapshotSchedule ScheduleSnapshot(const RetentionOptions& options,
                                  WallMilliseconds lives_until_ms);

// Since when a fold that starts now at the oldest kept record has seen every
// record. `first_retained` 0 means that nothing was trimmed yet.
WallMilliseconds CoveredSince(const RetentionOptions& options,
                              std::uint64_t first_retained,
                              WallMilliseconds now_ms);

}  // namespace carobbank
