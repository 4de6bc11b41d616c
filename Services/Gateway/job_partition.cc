// Conditional group commit on top of the partition's fold.

#include "job_partition.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Results of samples gather for this long; readers ask about twice a second.
constexpr Milliseconds kGatherTime{60};
// Pauses after an append that the log refused or didn't answer.
constexpr Milliseconds kFirstBackoff{40};
constexpr Milliseconds kLongestBackoff{400};

std::size_t BytesOf(const std::vector<KeyedRecord>& records) {
  // Length fields of the record and of its key.
  constexpr std::size_t kFramingBytes = 5;
  std::size_t bytes = 0;
  for (const KeyedRecord& record : records) {
    bytes += record.key.size() + record.value.size() + kFramingBytes;
  }
  return bytes;
}

}  // namespace

JobPartition::JobPartition(EventLoop& loop,
                           const Clock& clock,
                           PartitionedLog& log,
                           TopicPartition part,
                           std::size_t max_append_bytes,
                           std::function<void()> on_batch)
    : loop(loop),
      clock(clock),
      log(log),
      part(std::move(part)),
      max_append_bytes(max_append_bytes),
      on_batch(std::move(on_batch)) {}

JobPartition::~JobPartition() {
  *this->alive = false;
}

void JobPartition::Follow() {
  if (this->follower) {
    return;
  }
  this->follower = std::make_unique<LogFollower>(
      this->loop, this->clock, this->log, this->part,
      LogFollowerOptions{.from_beginning = true}, this->FollowerHandlers());
  this->follower->Start();
  WriteLog(LogLevel::kInfo, "job partition followed",
           {{"partition", std::to_string(this->Number())}});
}

bool JobPartition::TryUnfollow() {
  if (!this->follower) {
    return true;
  }
  if (this->appending || !this->queue.empty() || this->follower->Refreshing()) {
    return false;
  }
  WriteLog(LogLevel::kInfo, "job partition rests",
           {{"partition", std::to_string(this->Number())},
            {"records", std::to_string(this->follower->Next())}});
  this->flush_timer.reset();
  this->backoff = Milliseconds(0);
  this->marked = false;
  this->follower.reset();
  this->fold.Clear();
  return true;
}

LogFollowerHandlers JobPartition::FollowerHandlers() {
  LogFollowerHandlers followed;
  followed.on_snapshot = [this](std::span<const KeyedLogRecord> records) {
    this->fold.Clear();
    for (const KeyedLogRecord& record : records) {
      this->fold.Apply(record.record.key, record.record.value);
    }
  };
  followed.on_record = [this](const KeyedLogRecord& record) {
    this->fold.Apply(record.record.key, record.record.value);
  };
  followed.on_batch = [this] {
    this->MarkEmpty();
    this->on_batch();
    this->FlushSoon();
  };
  return followed;
}

// A read that waits on a partition without records may not notice the first
// one.
void JobPartition::MarkEmpty() {
  if (this->marked || this->follower->Next() > 0) {
    return;
  }
  this->marked = true;
  JobWrite write;
  write.records.push_back(EncodeNoOp());
  write.is_redundant = [this](const JobFold& /*fold*/) {
    return this->follower->Next() > 0;
  };
  this->Write(std::move(write));
}

void JobPartition::Write(JobWrite write) {
  auto pending = std::make_shared<Pending>();
  pending->write = std::move(write);
  const bool may_wait = pending->write.allow_batching;
  if (pending->write.timeout.count() > 0) {
    pending->patience = this->loop.CallAfter(
        pending->write.timeout, [this, weak = std::weak_ptr<Pending>(pending)] {
          if (const auto kept = weak.lock()) {
            this->OutOfPatience(kept);
          }
        });
  }
  this->queue.push_back(std::move(pending));
  if (may_wait) {
    if (!this->flush_timer) {
      this->FlushAfter(kGatherTime);
    }
    return;
  }
  this->FlushSoon();
}

void JobPartition::FlushAfter(Milliseconds delay) {
  this->flush_timer = this->loop.CallAfter(delay, [this] {
    this->flush_timer.reset();
    this->Flush();
  });
}

// A pause after a failure is not cut short.
void JobPartition::FlushSoon() {
  if (this->backoff.count() > 0 && this->flush_timer) {
    return;
  }
  this->loop.Post([this, kept = this->alive] {
    if (*kept) {
      this->Flush();
    }
  });
}

void JobPartition::Flush() {
  if (this->appending || !this->Synced()) {
    return;
  }
  this->DropRedundant();
  const Batch batch = this->TakeBatch();
  if (batch.empty()) {
    return;
  }
  std::vector<KeyedRecord> records;
  for (const auto& pending : batch) {
    records.insert(records.end(), pending->write.records.begin(),
                   pending->write.records.end());
  }
  this->appending = true;
  this->log.Append(
      this->part, records, this->follower->Next(),
      [this, kept = this->alive, batch, records](const AppendOutcome& outcome) {
        if (*kept) {
          this->Appended(batch, records, outcome);
        }
      });
}

void JobPartition::DropRedundant() {
  Batch redundant;
  for (const auto& pending : this->queue) {
    if (pending->write.is_redundant(this->fold)) {
      redundant.push_back(pending);
    }
  }
  for (const auto& pending : redundant) {
    this->Remove(pending);
  }
  for (const auto& pending : redundant) {
    this->Answer(*pending, WriteOutcome::kDone);
  }
}

JobPartition::Batch JobPartition::TakeBatch() const {
  Batch batch;
  std::size_t bytes = 0;
  for (const auto& pending : this->queue) {
    bytes += BytesOf(pending->write.records);
    if (!batch.empty() && bytes > this->max_append_bytes) {
      break;
    }
    batch.push_back(pending);
  }
  return batch;
}

void JobPartition::Appended(const Batch& batch,
                            const std::vector<KeyedRecord>& records,
                            const AppendOutcome& outcome) {
  this->appending = false;
  switch (outcome.status) {
    case AppendStatus::kAppended:
      this->backoff = Milliseconds(0);
      for (const auto& pending : batch) {
        this->Remove(pending);
      }
      this->follower->DeliverOwnAppend(records, outcome.offset, outcome.end);
      for (const auto& pending : batch) {
        this->Answer(*pending, WriteOutcome::kDone);
      }
      this->FlushSoon();
      return;
    case AppendStatus::kConflict:
      // Another writer was first: read what it wrote, then decide again.
      this->follower->Refresh([this](bool fresh) {
        if (fresh) {
          this->Flush();
        } else {
          this->Retry();
        }
      });
      return;
    case AppendStatus::kRefused:
      break;
    case AppendStatus::kUnknown:
      for (const auto& pending : batch) {
        pending->may_be_written = true;
      }
      break;
  }
  std::erase_if(this->queue,
                [](const auto& pending) { return pending->answered; });
  this->Retry();
}

// The same condition again: of an append without an answer and its repetition,
// one at most finds the partition's end where both expect it.
void JobPartition::Retry() {
  this->backoff = std::clamp(this->backoff * 2, kFirstBackoff, kLongestBackoff);
  this->flush_timer = this->loop.CallAfter(this->backoff, [this] {
    this->flush_timer.reset();
    this->follower->Refresh([this](bool /*fresh*/) { this->Flush(); });
  });
}

void JobPartition::Answer(Pending& pending, WriteOutcome end) {
  pending.patience.reset();
  if (std::exchange(pending.answered, true) || !pending.write.done) {
    return;
  }
  const auto done = std::move(pending.write.done);
  pending.write.done = nullptr;
  done(end);
}

void JobPartition::OutOfPatience(const std::shared_ptr<Pending>& pending) {
  pending->patience.reset();
  const bool in_flight = this->appending;
  if (!in_flight) {
    this->Remove(pending);
  }
  const bool unknown = in_flight || pending->may_be_written;
  this->Answer(*pending,
               unknown ? WriteOutcome::kUnknown : WriteOutcome::kNotWritten);
}

void JobPartition::Remove(const std::shared_ptr<Pending>& pending) {
  const auto found = std::find(this->queue.begin(), this->queue.end(), pending);
  if (found != this->queue.end()) {
    this->queue.erase(found);
  }
}

}  // namespace carobbank
