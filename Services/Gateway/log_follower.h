// Follows one partition of the log: a snapshot, or all that is retained, then
// every record as it comes, and a snapshot again when records were deleted.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

struct LogFollowerOptions {
  // Longest time that one read waits at the log.
  Milliseconds wait{2'000};
  // Pause after a read that brought records, so that the next brings more of
  // them; zero reads on at once.
  Milliseconds pause_after_records{0};
  // Begin with the records that are still retained, which are cheaper to read
  // than a snapshot; for handlers that may see old values before new ones.
  bool from_beginning = false;
};

// All but on_record may be empty.
struct LogFollowerHandlers {
  // Everything known is replaced by these records; without it each of them goes
  // to on_record.
  std::function<void(std::span<const KeyedLogRecord>)> on_snapshot;
  std::function<void(const KeyedLogRecord&)> on_record;
  // After the records of one read, or a snapshot, were handed over.
  std::function<void()> on_batch;
  // The log could not be read, or answers again.
  std::function<void(bool reachable)> on_reachable;
};

class LogFollower {
 public:
  LogFollower(EventLoop& loop,
              const Clock& clock,
              PartitionedLog& log,
              TopicPartition part,
              LogFollowerOptions options,
              LogFollowerHandlers handlers);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void Start();
  // Reads once without waiting. `done(true)` comes after every record was
  // handed over that the log held when Refresh() was called.
  void Refresh(std::function<void(bool fresh)> done);
  // Hands over records that this process has appended itself at `offset`.
  void DeliverOwnAppend(std::span<const KeyedRecord> records,
                        std::uint64_t offset,
                        std::uint64_t end);

  const TopicPartition& Partition() const { return this->part; }
  // Everything was read that the log held at some moment since the start.
  bool Synced() const { return this->synced; }
  // The offset of the next record; every lower one was handed over.
  std::uint64_t Next() const { return this->next; }
  // A Refresh() has not called back yet.
  bool Refreshing() const { return this->refreshing; }
  // No read has failed since the last one that was answered.
  bool Reachable() const { return this->reachable; }
  // When the last successful read began, by Clock::BootNow(); the earliest time
  // before the first one.
  MonotonicTime LastReadAt() const { return this->confirmed_at; }
  // The last successful read began no longer ago.
  bool LastReadWithin(Milliseconds age) const {
    return this->confirmed_at >= this->clock.BootNow() - age;
  }

 private:
  using Waiters = std::vector<std::function<void(bool)>>;

  void Read();
  void TakeSnapshot();
  void Snapshotted(Outcome<KeyedSnapshot> outcome, MonotonicTime began);
  void ReadDone(Outcome<KeyedLogPage> outcome, MonotonicTime began);
  void StartRefresh();
  void RefreshDone(Outcome<KeyedLogPage> outcome, MonotonicTime began);
  void EndRefresh(bool fresh);
  void CaughtUp(bool at_end);
  void TakePage(const KeyedLogPage& page, MonotonicTime began);
  void HandOver(std::span<const KeyedLogRecord> snapshot);
  void EndBatch();
  void SetReachable(bool now_reachable);
  void Confirm(MonotonicTime began);
  void ReadAfter(Milliseconds delay);
  void Failed();

  EventLoop& loop;
  const Clock& clock;
  PartitionedLog& log;
  TopicPartition part;
  LogFollowerOptions options;
  LogFollowerHandlers handlers;

  bool synced = false;
  // Records at `next` were deleted.
  bool needs_snapshot = false;
  bool reachable = true;
  std::uint64_t next = 0;
  MonotonicTime confirmed_at = MonotonicTime::min();
  Milliseconds backoff{0};
  // Invariant: at most one of the waiting reads, snapshots or timers is under
  // way.
  std::unique_ptr<Timer> timer;
  bool refreshing = false;
  // Waiters of the refresh under way, and of the one after it.
  Waiters current_waiters;
  Waiters next_waiters;
  // Callbacks of calls that outlive this object find it false.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
