// Retention arithmetic of steps, keys and snapshots.

#include "LibLedger/retention.h"

namespace carobbank {

Milliseconds StepLifetime(const RetentionOptions& options) {
  return (options.retention - options.margin) / 2;
}

Milliseconds LongestKeyWindow(const RetentionOptions& options) {
  return options.retention - 2 * options.margin;
}

SnapshotSchedule ScheduleSnapshot(const RetentionOptions& options,
                                  WallMilliseconds lives_until_ms) {
  // The owner's snapshot leaves a quarter of the lifetime for outages of the
  // log, those of other instances half of that.
  const Milliseconds lead = StepLifetime(options) / 4;
  return {lives_until_ms - lead.count(), lives_until_ms - lead.count() / 2};
}

WallMilliseconds CoveredSince(const RetentionOptions& options,
                              std::uint64_t first_retained,
                              WallMilliseconds now_ms) {
  if (first_retained == 0) {
    return kBeforeAllRecords;
  }
  return now_ms - (options.retention - options.margin).count();
}

}  // namespace carobbank
