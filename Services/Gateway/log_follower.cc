// Waiting reads, snapshots after a gap, and refreshes on demand.

#include "log_follower.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

// The first retry after a failure, and the longest pause between two: short
// against the time within which a change has to be in force.
constexpr Milliseconds kFirstBackoff{50};
constexpr Milliseconds kLongestBackoff{400};
// A topic that has no record yet is asked for again after this time.
constexpr Milliseconds kMissingTopicPause{400};
// The log answers in milliseconds, in a quarter of a second when it is slow.
constexpr Milliseconds kPatience{1'000};
// While this instance reads what it missed, others may do so too.
constexpr Milliseconds kCatchUpPatience{5'000};

}  // namespace

LogFollower::LogFollower(EventLoop& loop,
                         const Clock& clock,
                         PartitionedLog& log,
                         TopicPartition part,
                         LogFollowerOptions options,
                         LogFollowerHandlers handlers)
    : loop(loop),
      clock(clock),
      log(log),
      part(std::move(part)),
      options(options),
      handlers(std::move(handlers)) {}

LogFollower::~LogFollower() {
  *this->alive = false;
}

void LogFollower::Start() {
  if (!this->options.from_beginning) {
    this->needs_snapshot = true;
    this->TakeSnapshot();
    return;
  }
  this->Read();
}

void LogFollower::ReadAfter(Milliseconds delay) {
  this->timer = this->loop.CallAfter(delay, [this] {
    if (this->needs_snapshot) {
      this->TakeSnapshot();
    } else {
      this->Read();
    }
  });
}

void LogFollower::TakeSnapshot() {
  const MonotonicTime began = this->clock.BootNow();
  this->log.ReadSnapshot(this->part,
                         [this, alive = this->alive, began](auto outcome) {
                           if (*alive) {
                             this->Snapshotted(std::move(outcome), began);
                           }
                         });
}

void LogFollower::Snapshotted(Outcome<KeyedSnapshot> outcome,
                              MonotonicTime began) {
  if (!outcome.Ok() && outcome.GetError().kind != ErrorKind::kNotFound) {
    this->Failed();
    return;
  }
  const bool missing = !outcome.Ok();
  const KeyedSnapshot snapshot =
      missing ? KeyedSnapshot() : std::move(outcome.Value());
  this->synced = true;
  this->needs_snapshot = false;
  this->next = snapshot.end;
  this->HandOver(snapshot.records);
  this->Confirm(began);
  this->EndBatch();
  this->ReadAfter(missing ? kMissingTopicPause : Milliseconds(0));
}

void LogFollower::Read() {
  const MonotonicTime began = this->clock.BootNow();
  const Milliseconds wait = this->synced ? this->options.wait : Milliseconds(0);
  this->log.Read(this->part, this->next, wait,
                 this->synced ? kPatience : kCatchUpPatience,
                 [this, alive = this->alive, began](auto outcome) {
                   if (*alive) {
                     this->ReadDone(std::move(outcome), began);
                   }
                 });
}

void LogFollower::ReadDone(Outcome<KeyedLogPage> outcome, MonotonicTime began) {
  if (outcome.Ok()) {
    const bool news = !outcome.Value().records.empty();
    const bool more = outcome.Value().next < outcome.Value().end;
    this->TakePage(outcome.Value(), began);
    this->CaughtUp(!more);
    this->ReadAfter(news && !more ? this->options.pause_after_records
                                  : Milliseconds(0));
    return;
  }
  switch (outcome.GetError().kind) {
    case ErrorKind::kExpired:
      this->needs_snapshot = true;
      this->TakeSnapshot();
      break;
    case ErrorKind::kNotFound:
      this->Confirm(began);
      this->CaughtUp(true);
      this->ReadAfter(kMissingTopicPause);
      break;
    default:
      this->Failed();
  }
}

void LogFollower::CaughtUp(bool at_end) {
  if (at_end && !this->synced) {
    this->synced = true;
    this->EndBatch();
  }
}

void LogFollower::TakePage(const KeyedLogPage& page, MonotonicTime began) {
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
  this->Confirm(began);
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

void LogFollower::HandOver(std::span<const KeyedLogRecord> snapshot) {
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

void LogFollower::Confirm(MonotonicTime began) {
  this->backoff = Milliseconds(0);
  this->confirmed_at = std::max(this->confirmed_at, began);
  this->SetReachable(true);
}

void LogFollower::Failed() {
  this->backoff = std::clamp(this->backoff * 2, kFirstBackoff, kLongestBackoff);
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
    // From the loop: Refresh() must not call back before it returned.
    this->loop.Post([this, alive = this->alive] {
      if (*alive) {
        this->EndRefresh(false);
      }
    });
    return;
  }
  const MonotonicTime began = this->clock.BootNow();
  this->log.Read(this->part, this->next, Milliseconds(0), kPatience,
                 [this, alive = this->alive, began](auto outcome) {
                   if (*alive) {
                     this->RefreshDone(std::move(outcome), began);
                   }
                 });
}

void LogFollower::RefreshDone(Outcome<KeyedLogPage> outcome,
                              MonotonicTime began) {
  if (!outcome.Ok()) {
    const bool missing = outcome.GetError().kind == ErrorKind::kNotFound;
    if (missing) {
      this->Confirm(began);
    }
    this->EndRefresh(missing);
    return;
  }
  const bool more = outcome.Value().next < outcome.Value().end;
  this->TakePage(outcome.Value(), began);
  if (more) {
    this->StartRefresh();
    return;
  }
  this->EndRefresh(true);
}

void LogFollower::EndRefresh(bool fresh) {
  this->refreshing = false;
  const Waiters waiters = std::exchange(this->current_waiters, {});
  if (!this->next_waiters.empty()) {
    this->current_waiters = std::exchange(this->next_waiters, {});
    this->StartRefresh();
  }
  const std::shared_ptr<bool> kept = this->alive;
  for (const auto& waiter : waiters) {
    if (*kept) {
      waiter(fresh);
    }
  }
}

}  // namespace carobbank
