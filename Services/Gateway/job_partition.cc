// Conditional group commit on top of the partition's fold.

#include "job_partition.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Results of samples are batched for this long; readers poll about twice a
// second.
constexpr Milliseconds kBatchingDelay{60};
// Backoff after an append that the log refused or did not confirm.
constexpr Milliseconds kInitialBackoff{40};
constexpr Milliseconds kMaximumBackoff{400};

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
                           TopicPartition topic_partition,
                           std::size_t max_append_bytes,
                           std::function<void()> on_batch)
    : loop(loop),
      clock(clock),
      log(log),
      topic_partition(std::move(topic_partition)),
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
      this->loop, this->clock, this->log, this->topic_partition,
      LogFollowerOptions{.from_beginning = true}, this->FollowerHandlers());
  this->followed_at = this->clock.Now();
  this->synced_reported = false;
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
  WriteLog(LogLevel::kInfo, "job partition no longer followed",
           {{"partition", std::to_string(this->Number())},
            {"records", std::to_string(this->follower->Next())}});
  this->flush_timer.reset();
  this->backoff = Milliseconds(0);
  this->initial_no_op_written = false;
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
  followed.on_reachable = [this](bool reachable) {
    this->ReportReachable(reachable);
  };
  followed.on_batch = [this] {
    this->ReportSynced();
    this->WriteInitialNoOp();
    this->on_batch();
    this->ScheduleFlush();
  };
  return followed;
}

void JobPartition::ReportSynced() {
  if (this->synced_reported || !this->Synced()) {
    return;
  }
  this->synced_reported = true;
  const auto took = std::chrono::duration_cast<Milliseconds>(this->clock.Now() -
                                                             this->followed_at);
  WriteLog(LogLevel::kInfo, "job partition in step",
           {{"partition", std::to_string(this->Number())},
            {"records", std::to_string(this->follower->Next())},
            {"took_ms", std::to_string(took.count())}});
}

void JobPartition::ReportReachable(bool reachable) const {
  const std::string number = std::to_string(this->Number());
  const std::string records = std::to_string(this->follower->Next());
  if (reachable) {
    WriteLog(LogLevel::kInfo, "job partition readable again",
             {{"partition", number}, {"records", records}});
  } else {
    WriteLog(LogLevel::kWarning, "job partition can't be read; retrying",
             {{"partition", number},
              {"records", records},
              {"synced", this->Synced() ? "true" : "false"},
              {"error", this->follower->LastError()}});
  }
}

// Appends a no-op record to an empty partition: a long poll on a partition
// without records may miss the first one.
void JobPartition::WriteInitialNoOp() {
  if (this->initial_no_op_written || this->follower->Next() > 0) {
    return;
  }
  this->initial_no_op_written = true;
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
  const bool allow_batching = pending->write.allow_batching;
  if (pending->write.timeout.count() > 0) {
    pending->timeout_timer = this->loop.CallAfter(
        pending->write.timeout, [this, weak = std::weak_ptr<Pending>(pending)] {
          if (const auto expired = weak.lock()) {
            this->OnWriteTimeout(expired);
          }
        });
  }
  this->queue.push_back(std::move(pending));
  if (allow_batching) {
    if (!this->flush_timer) {
      this->FlushAfter(kBatchingDelay);
    }
    return;
  }
  this->ScheduleFlush();
}

void JobPartition::FlushAfter(Milliseconds delay) {
  this->flush_timer = this->loop.CallAfter(delay, [this] {
    this->flush_timer.reset();
    this->Flush();
  });
}

// A running backoff after a failure is not shortened.
void JobPartition::ScheduleFlush() {
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
  const Batch batch = this->NextBatch();
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
      this->topic_partition, records, this->follower->Next(),
      [this, kept = this->alive, batch, records](const AppendOutcome& outcome) {
        if (*kept) {
          this->OnAppendDone(batch, records, outcome);
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
    this->CompleteWrite(*pending, WriteOutcome::kDone);
  }
}

JobPartition::Batch JobPartition::NextBatch() const {
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

void JobPartition::OnAppendDone(const Batch& batch,
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
        this->CompleteWrite(*pending, WriteOutcome::kDone);
      }
      this->ScheduleFlush();
      return;
    case AppendStatus::kConflict:
      // Another writer appended first: read its records, then try again with
      // the writes that are not redundant.
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
                [](const auto& pending) { return pending->completed; });
  this->Retry();
}

// Retries with the same condition: of an unconfirmed append and its retry, at
// most one finds the partition's end at the expected offset.
void JobPartition::Retry() {
  this->backoff =
      std::clamp(this->backoff * 2, kInitialBackoff, kMaximumBackoff);
  this->flush_timer = this->loop.CallAfter(this->backoff, [this] {
    this->flush_timer.reset();
    this->follower->Refresh([this](bool /*fresh*/) { this->Flush(); });
  });
}

void JobPartition::CompleteWrite(Pending& pending, WriteOutcome outcome) {
  pending.timeout_timer.reset();
  if (std::exchange(pending.completed, true) || !pending.write.done) {
    return;
  }
  const auto done = std::move(pending.write.done);
  pending.write.done = nullptr;
  done(outcome);
}

void JobPartition::OnWriteTimeout(const std::shared_ptr<Pending>& pending) {
  pending->timeout_timer.reset();
  const bool in_flight = this->appending;
  if (!in_flight) {
    this->Remove(pending);
  }
  const bool unknown = in_flight || pending->may_be_written;
  this->CompleteWrite(
      *pending, unknown ? WriteOutcome::kUnknown : WriteOutcome::kNotWritten);
}

void JobPartition::Remove(const std::shared_ptr<Pending>& pending) {
  const auto found = std::find(this->queue.begin(), this->queue.end(), pending);
  if (found != this->queue.end()) {
    this->queue.erase(found);
  }
}

}  // namespace carobbank
