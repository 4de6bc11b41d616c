// Reads one stream by long polls, with a delay after a failed read.

#include "log_stream_follower.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr Milliseconds kLongPoll{2'000};
constexpr Milliseconds kRetryDelay{200};
constexpr std::size_t kRecordsPerRead = 500;

}  // namespace

LogStreamFollower::LogStreamFollower(EventLoop& loop,
                                     LogClient& log,
                                     std::string stream,
                                     Handlers handlers)
    : loop(loop),
      log(log),
      stream(std::move(stream)),
      handlers(std::move(handlers)) {}

LogStreamFollower::~LogStreamFollower() = default;

void LogStreamFollower::Start(std::uint64_t from) {
  this->next = from;
  this->Read();
}

void LogStreamFollower::Read() {
  ++this->reads_started;
  // The first read, and a read that a WhenCurrent() waiter needs, return at
  // once at the stream's end. A waiter for a record needs no such read: the
  // long poll returns when the record is appended.
  const bool return_at_once =
      !this->caught_up ||
      std::ranges::any_of(this->waiters,
                          [](const auto& waiter) { return waiter->by_read; });
  const Milliseconds wait = return_at_once ? Milliseconds(0) : kLongPoll;
  this->log.Read(
      this->stream, this->next, kRecordsPerRead, wait,
      [this, token = std::weak_ptr<bool>(this->alive)](Outcome<LogPage> page) {
        if (!token.expired()) {
          this->OnPage(page);
        }
      });
}

void LogStreamFollower::OnPage(const Outcome<LogPage>& page) {
  if (!page.Ok()) {
    this->OnFailure(page.GetError());
    return;
  }
  this->reachable = true;
  const std::uint64_t read = this->reads_started;
  this->Deliver(page.Value());
  this->caught_up = this->next >= page.Value().end;
  if (this->caught_up) {
    this->current_read = read;
  }
  const std::weak_ptr<bool> token = this->alive;
  if (this->handlers.on_page) {
    this->handlers.on_page();
  }
  this->NotifyWaiters();
  // A waiter may have destroyed this object.
  if (!token.expired()) {
    this->Read();
  }
}

void LogStreamFollower::OnFailure(const Error& error) {
  this->reachable = error.kind == ErrorKind::kExpired;
  if (this->reachable) {
    this->FindFirstRetained();
    return;
  }
  this->ScheduleRead(kRetryDelay);
  if (this->handlers.on_page) {
    this->handlers.on_page();
  }
}

void LogStreamFollower::FindFirstRetained() {
  this->log.Read(
      this->stream, kOldestRetained, 1, Milliseconds(0),
      [this, token = std::weak_ptr<bool>(this->alive)](Outcome<LogPage> page) {
        if (token.expired()) {
          return;
        }
        if (page.Ok()) {
          this->SkipTo(page.Value().first_retained);
        }
        this->ScheduleRead(kRetryDelay);
      });
}

void LogStreamFollower::SkipTo(std::uint64_t first_retained) {
  if (first_retained <= this->next) {
    return;
  }
  this->handlers.on_gap(this->next, first_retained);
  this->next = first_retained;
}

void LogStreamFollower::Deliver(const LogPage& page) {
  this->SkipTo(page.first_retained);
  for (const LogRecord& record : page.records) {
    if (record.offset < this->next) {
      continue;
    }
    this->next = record.offset + 1;
    this->handlers.on_record(record);
  }
}

void LogStreamFollower::ScheduleRead(Milliseconds delay) {
  this->read_timer = this->loop.CallAfter(delay, [this] { this->Read(); });
}

void LogStreamFollower::WhenReached(std::uint64_t offset,
                                    Milliseconds timeout,
                                    std::function<void(bool)> done) {
  Waiter waiter;
  waiter.offset = offset;
  waiter.done = std::move(done);
  this->AddWaiter(std::move(waiter), timeout);
}

void LogStreamFollower::WhenCurrent(Milliseconds timeout,
                                    std::function<void(bool)> done) {
  Waiter waiter;
  waiter.by_read = true;
  waiter.read = this->reads_started + 1;
  waiter.done = std::move(done);
  this->AddWaiter(std::move(waiter), timeout);
}

void LogStreamFollower::AddWaiter(Waiter waiter, Milliseconds timeout) {
  if (this->Satisfied(waiter)) {
    waiter.done(true);
    return;
  }
  auto shared = std::make_shared<Waiter>(std::move(waiter));
  shared->timer = this->loop.CallAfter(
      timeout, [this, done = &shared->done] { this->ExpireWaiter(done); });
  this->waiters.push_back(std::move(shared));
}

bool LogStreamFollower::Satisfied(const Waiter& waiter) const {
  if (waiter.by_read) {
    return this->current_read >= waiter.read;
  }
  return this->next > waiter.offset;
}

void LogStreamFollower::NotifyWaiters() {
  std::vector<std::shared_ptr<Waiter>> ready;
  std::erase_if(this->waiters, [&](const std::shared_ptr<Waiter>& waiter) {
    if (!this->Satisfied(*waiter)) {
      return false;
    }
    ready.push_back(waiter);
    return true;
  });
  for (const std::shared_ptr<Waiter>& waiter : ready) {
    waiter->timer->Cancel();
    waiter->done(true);
  }
}

void LogStreamFollower::ExpireWaiter(const std::function<void(bool)>* done) {
  const auto found = std::ranges::find_if(
      this->waiters, [&](const auto& waiter) { return &waiter->done == done; });
  if (found == this->waiters.end()) {
    return;
  }
  const std::shared_ptr<Waiter> expired = *found;
  this->waiters.erase(found);
  expired->done(false);
}

}  // namespace carobbank
