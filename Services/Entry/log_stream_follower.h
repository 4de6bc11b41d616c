// Follows one log stream by long polls and hands its records on in order.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"

namespace carobbank {

class LogStreamFollower {
 public:
  using RecordHandler = std::function<void(const LogRecord& record)>;
  // The records from `from` up to `first_retained` are gone.
  using GapHandler =
      std::function<void(std::uint64_t from, std::uint64_t first_retained)>;

  // After each read, when its records have been handed on, and after each that
  // failed.
  using PageHandler = std::function<void()>;

  struct Handlers {
    RecordHandler on_record;
    GapHandler on_gap;
    PageHandler on_page;
  };

  LogStreamFollower(EventLoop& loop,
                    LogClient& log,
                    std::string stream,
                    Handlers handlers);
  ~LogStreamFollower();

  // Begins at `from`; call once.
  void Start(std::uint64_t from);

  // The offset of the next record to be handed on.
  std::uint64_t Next() const { return this->next; }
  // Whether the latest read succeeded.
  bool Reachable() const { return this->reachable; }
  // Whether everything that the log held at the latest read was handed on.
  bool CaughtUp() const { return this->caught_up; }

  // Calls `done(true)` once the record at `offset` has been handed on, or
  // `done(false)` if that takes longer than `timeout`.
  void WhenReached(std::uint64_t offset,
                   Milliseconds timeout,
                   std::function<void(bool reached)> done);
  // Calls `done(true)` after a read that began after this call and found no
  // further record: the reader then knows all that was appended before.
  void WhenCurrent(Milliseconds timeout,
                   std::function<void(bool current)> done);

 private:
  struct Waiter {
    // Satisfied when next > offset, or by a read numbered `read` or later that
    // has caught up.
    std::uint64_t offset = 0;
    std::uint64_t read = 0;
    bool by_read = false;
    std::function<void(bool)> done;
    std::unique_ptr<Timer> timer;
  };

  void Read();
  void OnPage(const Outcome<LogPage>& page);
  void OnFailure(const Error& error);
  void FindFirstRetained();
  void SkipTo(std::uint64_t first_retained);
  void Deliver(const LogPage& page);
  void ScheduleRead(Milliseconds delay);
  void AddWaiter(Waiter waiter, Milliseconds timeout);
  void NotifyWaiters();
  void ExpireWaiter(const std::function<void(bool)>* done);
  bool Satisfied(const Waiter& waiter) const;

  EventLoop& loop;
  LogClient& log;
  std::string stream;
  Handlers handlers;
  std::uint64_t next = 0;
  // Reads are numbered so that WhenCurrent can ask for a later one.
  std::uint64_t reads_started = 0;
  // The number of the latest read that found the stream's end, 0 for none.
  std::uint64_t current_read = 0;
  bool reachable = false;
  bool caught_up = false;
  // Invariant: at most one read is under way, or a timer for the next is set.
  std::unique_ptr<Timer> read_timer;
  std::vector<std::shared_ptr<Waiter>> waiters;
  // Replies that arrive after destruction see an expired token.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
