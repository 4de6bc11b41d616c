// Waiting reads, snapshots after deleted records, and refreshes on demand.

#include "log_follower.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Backoff before the first retry after a failure, and the longest backoff:
// short against the time within which a change has to be in force.
constexpr Milliseconds kInitialBackoff{50};
constexpr Milliseconds kMaximumBackoff{400};
// Delay before the next read of a topic that has no record yet.
constexpr Milliseconds kMissingTopicDelay{400};
// The log responds in milliseconds, or in a quarter of a second when it is
// slow.
constexpr Milliseconds kReadTimeout{1'000};
// While this instance reads records that it missed, other instances may do so
// too and slow the log down.
constexpr Milliseconds kCatchUpReadTimeout{5'000};
// Delays before an incomplete snapshot is read again. Each one costs as many
// calls as the snapshot has pages.
constexpr Milliseconds kInitialSnapshotRetryDelay{2'000};
constexpr Milliseconds kMaximumSnapshotRetryDelay{60'000};

}  // namespace

LogFollower::LogFollower(EventLoop& loop,
                         const Clock& clock,
                         PartitionedLog& log,
                         TopicPartition partition,
                         LogFollowerOptions options,
                         LogFollowerHandlers handlers)
    : loop(loop),
      clock(clock),
      log(log),
      partition(std::move(partition)),
      options(options),
      handlers(std::move(handlers)) {}

LogFollower::~LogFollower() {
  *this->alive = false;
}

void LogFollower::Start() {
  if (!this->options.from_beginning) {
    this->needs_snapshot = true;
    this->RequestSnapshot();
    return;
  }
  this->Read();
}

void LogFollower::ReadAfter(Milliseconds delay) {
  this->timer = this->loop.CallAfter(delay, [this] {
    if (this->needs_snapshot) {
      this->RequestSnapshot();
    } else if (this->clock.BootNow() >= this->snapshot_retry_at) {
      this->ScheduleSnapshotRetry();
      this->RequestSnapshot();
    } else {
      this->Read();
    }
  });
}

void LogFollower::ScheduleSnapshotRetry() {
  this->snapshot_retry_delay =
      std::clamp(this->snapshot_retry_delay * 2, kInitialSnapshotRetryDelay,
                 kMaximumSnapshotRetryDelay);
  this->snapshot_retry_at = this->clock.BootNow() + this->snapshot_retry_delay;
}

void LogFollower::RequestSnapshot() {
  const MonotonicTime began = this->clock.BootNow();
  this->log.ReadSnapshot(this->partition,
                         [this, alive = this->alive, began](auto outcome) {
                           if (*alive) {
                             this->OnSnapshot(std::move(outcome), began);
                           }
                         });
}

void LogFollower::OnSnapshot(Outcome<KeyedSnapshot> outcome,
                             MonotonicTime began) {
  if (!outcome.Ok() && outcome.GetError().kind != ErrorKind::kNotFound) {
    this->OnReadFailed(outcome.GetError());
    return;
  }
  const bool missing = !outcome.Ok();
  const KeyedSnapshot snapshot =
      missing ? KeyedSnapshot() : std::move(outcome.Value());
  if (!snapshot.missing.empty()) {
    this->OnIncompleteSnapshot(snapshot, began);
    return;
  }
  this->ReportUnreadable(snapshot);
  this->snapshot_retry_at = MonotonicTime::max();
  this->snapshot_retry_delay = Milliseconds(0);
  this->synced = true;
  this->needs_snapshot = false;
  this->next = snapshot.end;
  // Each page holds what the log held when the first one was requested.
  this->caught_up_at = std::max(this->caught_up_at, began);
  this->DeliverSnapshot(snapshot.records);
  this->RecordSuccessfulRead(began);
  this->EndBatch();
  this->ReadAfter(missing ? kMissingTopicDelay : Milliseconds(0));
}

void LogFollower::OnIncompleteSnapshot(const KeyedSnapshot& snapshot,
                                       MonotonicTime began) {
  if (!this->options.accept_incomplete_snapshot) {
    this->OnReadFailed({ErrorKind::kCorrupt, snapshot.missing,
                        "remove the records that can't be read"});
    return;
  }
  this->ReportUnreadable(snapshot);
  if (this->snapshot_retry_at == MonotonicTime::max()) {
    this->ScheduleSnapshotRetry();
  }
  if (this->needs_snapshot) {
    this->needs_snapshot = false;
    this->synced = false;
    this->next = snapshot.end;
    this->new_records_after = MonotonicTime::min();
  }
  // When these records were written is not known.
  const MonotonicTime new_after =
      std::exchange(this->new_records_after, MonotonicTime::min());
  for (const KeyedLogRecord& record : snapshot.records) {
    this->handlers.on_record(record);
  }
  this->new_records_after = new_after;
  this->RecordSuccessfulRead(began);
  this->EndBatch();
  this->ReadAfter(Milliseconds(0));
}

void LogFollower::ReportUnreadable(const KeyedSnapshot& snapshot) const {
  if (snapshot.unreadable_records == 0 && snapshot.missing.empty()) {
    return;
  }
  WriteLog(LogLevel::kWarning,
           "records of a snapshot can't be read and are left out",
           {{"topic", this->partition.topic},
            {"partition", std::to_string(this->partition.partition)},
            {"unreadable", std::to_string(snapshot.unreadable_records)},
            {"missing", snapshot.missing}});
}

void LogFollower::Read() {
  const MonotonicTime began = this->clock.BootNow();
  const Milliseconds wait = this->synced ? this->options.wait : Milliseconds(0);
  this->log.Read(this->partition, this->next, wait,
                 this->synced ? kReadTimeout : kCatchUpReadTimeout,
                 [this, alive = this->alive, began](auto outcome) {
                   if (*alive) {
                     this->OnRead(std::move(outcome), began);
                   }
                 });
}

void LogFollower::OnRead(Outcome<KeyedLogPage> outcome, MonotonicTime began) {
  if (outcome.Ok()) {
    const bool has_records = !outcome.Value().records.empty();
    const bool more = outcome.Value().next < outcome.Value().end;
    this->DeliverPage(outcome.Value(), began);
    if (!more) {
      this->new_records_after = began;
      this->OnCaughtUp(began);
    }
    this->ReadAfter(has_records && !more ? this->options.pause_after_records
                                         : Milliseconds(0));
    return;
  }
  switch (outcome.GetError().kind) {
    case ErrorKind::kExpired:
      this->needs_snapshot = true;
      this->caught_up_at = MonotonicTime::min();
      this->RequestSnapshot();
      break;
    case ErrorKind::kNotFound:
      this->RecordSuccessfulRead(began);
      this->OnCaughtUp(began);
      this->ReadAfter(kMissingTopicDelay);
      break;
    default:
      this->OnReadFailed(outcome.GetError());
  }
}

void LogFollower::OnCaughtUp(MonotonicTime began) {
  this->caught_up_at = std::max(this->caught_up_at, began);
  if (!this->synced) {
    this->synced = true;
    this->EndBatch();
  }
}

void LogFollower::DeliverPage(const KeyedLogPage& page, MonotonicTime began) {
  bool any = false;
  for (const KeyedLogRecord& record : page.records) {
    if (record.offset < this->next) {
      continue;
    }
    this->next = record.offset + 1;
    this->handlers.on_record(record);
    any = true;
  }
  this->next = std::max(this->next, page.next);
  this->RecordSuccessfulRead(began);
  if (any) {
    this->EndBatch();
  }
}

void LogFollower::DeliverOwnAppend(std::span<const KeyedRecord> records,
                                   std::uint64_t offset,
                                   std::uint64_t end) {
  if (this->next != offset) {
    return;
  }
  this->next = end;
  for (const KeyedRecord& record : records) {
    this->handlers.on_record({offset, record});
    ++offset;
  }
  this->EndBatch();
}

void LogFollower::DeliverSnapshot(std::span<const KeyedLogRecord> snapshot) {
  if (this->handlers.on_snapshot) {
    this->handlers.on_snapshot(snapshot);
    return;
  }
  for (const KeyedLogRecord& record : snapshot) {
    this->handlers.on_record(record);
  }
}

void LogFollower::EndBatch() {
  if (this->handlers.on_batch) {
    this->handlers.on_batch();
  }
}

void LogFollower::SetReachable(bool now_reachable) {
  const bool changed = this->reachable != now_reachable;
  this->reachable = now_reachable;
  if (changed && this->handlers.on_reachable) {
    this->handlers.on_reachable(now_reachable);
  }
}

void LogFollower::RecordSuccessfulRead(MonotonicTime began) {
  this->backoff = Milliseconds(0);
  this->last_error.clear();
  this->last_read_at = std::max(this->last_read_at, began);
  this->SetReachable(true);
}

void LogFollower::OnReadFailed(const Error& error) {
  this->last_error = error.Text();
  this->backoff =
      std::clamp(this->backoff * 2, kInitialBackoff, kMaximumBackoff);
  this->SetReachable(false);
  this->ReadAfter(this->backoff);
}

void LogFollower::Refresh(std::function<void(bool)> done) {
  if (this->refreshing) {
    this->next_waiters.push_back(std::move(done));
    return;
  }
  this->current_waiters.push_back(std::move(done));
  this->StartRefresh();
}

void LogFollower::StartRefresh() {
  this->refreshing = true;
  if (!this->synced) {
    // Posted to the loop, because Refresh() must not call back before it
    // returns.
    this->loop.Post([this, alive = this->alive] {
      if (*alive) {
        this->EndRefresh(false);
      }
    });
    return;
  }
  const MonotonicTime began = this->clock.BootNow();
  this->log.Read(this->partition, this->next, Milliseconds(0), kReadTimeout,
                 [this, alive = this->alive, began](auto outcome) {
                   if (*alive) {
                     this->OnRefreshRead(std::move(outcome), began);
                   }
                 });
}

void LogFollower::OnRefreshRead(Outcome<KeyedLogPage> outcome,
                                MonotonicTime began) {
  if (!outcome.Ok()) {
    const bool missing = outcome.GetError().kind == ErrorKind::kNotFound;
    if (missing) {
      this->RecordSuccessfulRead(began);
    }
    this->EndRefresh(missing);
    return;
  }
  const bool more = outcome.Value().next < outcome.Value().end;
  this->DeliverPage(outcome.Value(), began);
  if (more) {
    this->StartRefresh();
    return;
  }
  this->caught_up_at = std::max(this->caught_up_at, began);
  this->EndRefresh(true);
}

void LogFollower::EndRefresh(bool fresh) {
  this->refreshing = false;
  const Waiters waiters = std::exchange(this->current_waiters, {});
  if (!this->next_waiters.empty()) {
    this->current_waiters = std::exchange(this->next_waiters, {});
    this->StartRefresh();
  }
  const std::shared_ptr<bool> alive = this->alive;
  for (const auto& waiter : waiters) {
    if (*alive) {
      waiter(fresh);
    }
  }
}

}  // namespace carobbank
