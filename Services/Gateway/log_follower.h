// Follows one partition of the log: reads a snapshot, or all retained records,
// then every new record, and a snapshot again after records that it needs were
// deleted.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

struct LogFollowerOptions {
  // Longest time that one read waits at the log.
  Milliseconds wait{2'000};
  // Pause after a read that returned records, so that the next read returns
  // more of them; with zero the next read starts at once.
  Milliseconds pause_after_records{0};
  // Starts with the retained records, which are cheaper to read than a
  // snapshot; for handlers that accept old values before new ones.
  bool from_beginning = false;
  // For partitions with other writers: a snapshot of which records are missing
  // is delivered to `on_record`, followed by all retained records, and is read
  // again later. The handler ignores a record that is older than the last one
  // of its key. Otherwise such a snapshot is a failed read.
  bool accept_incomplete_snapshot = false;
};

// All handlers but on_record may be empty.
struct LogFollowerHandlers {
  // The records replace all earlier state. Without this handler each record of
  // a snapshot goes to on_record.
  std::function<void(std::span<const KeyedLogRecord>)> on_snapshot;
  std::function<void(const KeyedLogRecord&)> on_record;
  // Called after the records of one read, or of a snapshot, were delivered.
  std::function<void()> on_batch;
  // A read of the log failed, or succeeded again after failures.
  std::function<void(bool reachable)> on_reachable;
};

class LogFollower {
 public:
  LogFollower(EventLoop& loop,
              const Clock& clock,
              PartitionedLog& log,
              TopicPartition partition,
              LogFollowerOptions options,
              LogFollowerHandlers handlers);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void Start();
  // Reads once without waiting. Calls `done(true)` after every record was
  // delivered that the log held when Refresh() was called.
  void Refresh(std::function<void(bool fresh)> done);
  // Delivers records that this process has appended itself at `offset`.
  void DeliverOwnAppend(std::span<const KeyedRecord> records,
                        std::uint64_t offset,
                        std::uint64_t end);

  const TopicPartition& Partition() const { return this->partition; }
  // Every record was read that the log held at some moment since the start.
  bool Synced() const { return this->synced; }
  // The offset of the next record; every lower one was delivered.
  std::uint64_t Next() const { return this->next; }
  // A Refresh() has not called back yet.
  bool Refreshing() const { return this->refreshing; }
  // No read has failed since the last successful one.
  bool Reachable() const { return this->reachable; }
  // Why the last read failed; empty after a successful one.
  const std::string& LastError() const { return this->last_error; }
  // When the last successful read began, by Clock::BootNow(); the earliest time
  // before the first one.
  MonotonicTime LastReadAt() const { return this->last_read_at; }
  // Within `on_record`, unless for a snapshot: the record was written after
  // this time, because a read that began then reached the end of the partition
  // without it.
  MonotonicTime NewRecordsAfter() const { return this->new_records_after; }
  // When the last read, or snapshot, began that reached the end of the
  // partition: every record that the log held then was delivered. The earliest
  // time before, and while records of a snapshot are missing.
  MonotonicTime CaughtUpAt() const {
    return this->snapshot_retry_at == MonotonicTime::max()
               ? this->caught_up_at
               : MonotonicTime::min();
  }
  // The last successful read began at most `age` ago.
  bool LastReadWithin(Milliseconds age) const {
    return this->last_read_at >= this->clock.BootNow() - age;
  }

 private:
  using Waiters = std::vector<std::function<void(bool)>>;

  void Read();
  void RequestSnapshot();
  void OnSnapshot(Outcome<KeyedSnapshot> outcome, MonotonicTime began);
  void OnIncompleteSnapshot(const KeyedSnapshot& snapshot, MonotonicTime began);
  void ScheduleSnapshotRetry();
  void ReportUnreadable(const KeyedSnapshot& snapshot) const;
  void OnRead(Outcome<KeyedLogPage> outcome, MonotonicTime began);
  void StartRefresh();
  void OnRefreshRead(Outcome<KeyedLogPage> outcome, MonotonicTime began);
  void EndRefresh(bool fresh);
  // A read that began at `began` reached the end of the partition.
  void OnCaughtUp(MonotonicTime began);
  void DeliverPage(const KeyedLogPage& page, MonotonicTime began);
  void DeliverSnapshot(std::span<const KeyedLogRecord> snapshot);
  void EndBatch();
  void SetReachable(bool now_reachable);
  void RecordSuccessfulRead(MonotonicTime began);
  void ReadAfter(Milliseconds delay);
  void OnReadFailed(const Error& error);

  EventLoop& loop;
  const Clock& clock;
  PartitionedLog& log;
  TopicPartition partition;
  LogFollowerOptions options;
  LogFollowerHandlers handlers;

  bool synced = false;
  // Records at `next` were deleted.
  bool needs_snapshot = false;
  // When a snapshot is read again because records were missing in the last one.
  MonotonicTime snapshot_retry_at = MonotonicTime::max();
  Milliseconds snapshot_retry_delay{0};
  bool reachable = true;
  std::uint64_t next = 0;
  std::string last_error;
  MonotonicTime last_read_at = MonotonicTime::min();
  // Invariant: the earliest time while `needs_snapshot` is set.
  MonotonicTime caught_up_at = MonotonicTime::min();
  MonotonicTime new_records_after = MonotonicTime::min();
  Milliseconds backoff{0};
  // Invariant: at most one waiting read, snapshot or timer is active.
  std::unique_ptr<Timer> timer;
  bool refreshing = false;
  // Waiters of the current refresh, and of the next one.
  Waiters current_waiters;
  Waiters next_waiters;
  // False once this object is destroyed; checked by callbacks of calls that
  // outlive it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
