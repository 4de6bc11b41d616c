// One partition of the log of batch jobs: its fold, and this process's only
// writer to the partition. Every append is conditional on the partition's end
// offset, so the writer of a record has applied all records before it. Each job
// is therefore accepted once and each sample gets one result, whichever
// instance writes.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibLedger/ledger.h"
#include "log_follower.h"

namespace carobbank {

enum class WriteOutcome {
  // The partition contains the records, from this write or an earlier one.
  kDone,
  // The records were not written and will not be.
  kNotWritten,
  // The records may have been written, or may be written later.
  kUnknown,
};

struct JobWrite {
  std::vector<KeyedRecord> records;
  // Whether the partition already contains the effect of the write, or no
  // longer needs it.
  std::function<bool(const JobFold&)> is_redundant;
  // Zero: no timeout.
  Milliseconds timeout{0};
  // Delays the write briefly, so that others can share its append.
  bool allow_batching = false;
  // May be null.
  std::function<void(WriteOutcome)> done;
};

class JobPartition {
 public:
  JobPartition(EventLoop& loop,
               const Clock& clock,
               PartitionedLog& log,
               TopicPartition topic_partition,
               std::size_t max_append_bytes,
               std::function<void()> on_batch);
  ~JobPartition();
  JobPartition(const JobPartition&) = delete;
  JobPartition& operator=(const JobPartition&) = delete;

  // Starts reading the partition. Required before Refresh() and Write().
  void Follow();
  bool Following() const { return this->follower != nullptr; }
  // Stops reading the partition and clears its fold. False, without any change,
  // while a write or a refresh is in progress.
  bool TryUnfollow();

  void Refresh(std::function<void(bool fresh)> done) {
    this->follower->Refresh(std::move(done));
  }
  void Write(JobWrite write);

  const JobFold& Fold() const { return this->fold; }
  std::int64_t Number() const { return this->topic_partition.partition; }
  // Followed, and all records were read that the partition contained at some
  // moment since following began.
  bool Synced() const { return this->follower && this->follower->Synced(); }
  // Whether the last successful read began at most `age` ago.
  bool LastReadWithin(Milliseconds age) const {
    return this->follower && this->follower->LastReadWithin(age);
  }

 private:
  struct Pending {
    JobWrite write;
    // An append with these records was sent and has no confirmed failure.
    bool may_be_written = false;
    // `done` was called; the records are still part of an append in flight.
    bool completed = false;
    std::unique_ptr<Timer> timeout_timer;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  LogFollowerHandlers FollowerHandlers();
  void ReportSynced();
  void ReportReachable(bool reachable) const;
  void WriteInitialNoOp();
  void ScheduleFlush();
  void Flush();
  void FlushAfter(Milliseconds delay);
  void DropRedundant();
  Batch NextBatch() const;
  void OnAppendDone(const Batch& batch,
                    const std::vector<KeyedRecord>& records,
                    const AppendOutcome& outcome);
  void Retry();
  void CompleteWrite(Pending& pending, WriteOutcome outcome);
  void OnWriteTimeout(const std::shared_ptr<Pending>& pending);
  void Remove(const std::shared_ptr<Pending>& pending);

  EventLoop& loop;
  const Clock& clock;
  PartitionedLog& log;
  TopicPartition topic_partition;
  std::size_t max_append_bytes;
  // Called after the records of one read; any job may have changed.
  std::function<void()> on_batch;
  JobFold fold;
  // Null while the partition is not followed.
  std::unique_ptr<LogFollower> follower;
  MonotonicTime followed_at{};
  bool synced_reported = false;

  // Invariant: an append in flight contains the first entries of the queue.
  std::deque<std::shared_ptr<Pending>> queue;
  bool appending = false;
  // A no-op record for an empty partition was written or queued.
  bool initial_no_op_written = false;
  Milliseconds backoff{0};
  std::unique_ptr<Timer> flush_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
