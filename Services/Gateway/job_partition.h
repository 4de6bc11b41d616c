// One partition of the log of batch jobs: its fold, and the only writer of this
// process to it. Every append is conditional on the partition's end, so each
// record was written with full knowledge of all before it: a job is accepted
// once and a sample is listed once, whoever writes.

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
  // The partition holds it, from this write or an earlier one.
  kDone,
  // It was not written and won't be.
  kNotWritten,
  // It may have been written, or may be later.
  kUnknown,
};

struct JobWrite {
  std::vector<KeyedRecord> records;
  // The partition holds what the write is for, or needs it no longer.
  std::function<bool(const JobFold&)> is_redundant;
  // Zero waits for as long as it takes.
  Milliseconds timeout{0};
  // Others may join it in one append for a moment.
  bool allow_batching = false;
  // May be null.
  std::function<void(WriteOutcome)> done;
};

class JobPartition {
 public:
  JobPartition(EventLoop& loop,
               const Clock& clock,
               PartitionedLog& log,
               TopicPartition part,
               std::size_t max_append_bytes,
               std::function<void()> on_batch);
  ~JobPartition();
  JobPartition(const JobPartition&) = delete;
  JobPartition& operator=(const JobPartition&) = delete;

  // Reads the partition from now on. Reading, refreshing and writing need it.
  void Follow();
  bool Following() const { return this->follower != nullptr; }
  // Reads it no more and forgets what it holds; false, and nothing changes,
  // while a write or a refresh is under way.
  bool TryUnfollow();

  void Refresh(std::function<void(bool fresh)> done) {
    this->follower->Refresh(std::move(done));
  }
  void Write(JobWrite write);

  const JobFold& Fold() const { return this->fold; }
  std::int64_t Number() const { return this->part.partition; }
  // Followed, and everything was read that it held at some moment since.
  bool Synced() const { return this->follower && this->follower->Synced(); }
  // The last successful read began no longer ago.
  bool LastReadWithin(Milliseconds age) const {
    return this->follower && this->follower->LastReadWithin(age);
  }

 private:
  struct Pending {
    JobWrite write;
    // An append that held it was sent, and it is not known to have failed.
    bool may_be_written = false;
    // Answered already; still part of an append.
    bool answered = false;
    std::unique_ptr<Timer> patience;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  LogFollowerHandlers FollowerHandlers();
  void MarkEmpty();
  void FlushSoon();
  void Flush();
  void FlushAfter(Milliseconds delay);
  void DropRedundant();
  Batch TakeBatch() const;
  void Appended(const Batch& batch,
                const std::vector<KeyedRecord>& records,
                const AppendOutcome& outcome);
  void Retry();
  void Answer(Pending& pending, WriteOutcome end);
  void OutOfPatience(const std::shared_ptr<Pending>& pending);
  void Remove(const std::shared_ptr<Pending>& pending);

  EventLoop& loop;
  const Clock& clock;
  PartitionedLog& log;
  TopicPartition part;
  std::size_t max_append_bytes;
  // After the records of one read, when any job may have changed.
  std::function<void()> on_batch;
  JobFold fold;
  // Null while it is not followed.
  std::unique_ptr<LogFollower> follower;

  // Invariant: an append under way holds the first entries of the queue.
  std::deque<std::shared_ptr<Pending>> queue;
  bool appending = false;
  // A mark was written, or tried.
  bool marked = false;
  Milliseconds backoff{0};
  std::unique_ptr<Timer> flush_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
