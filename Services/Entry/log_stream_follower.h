// Follows one log stream by long polls and delivers its records in order.

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
  // The records from `from` up to `first_retained` have expired.
  using GapHandler =
      std::function<void(std::uint64_t from, std::uint64_t first_retained)>;

  // Called after each successful read, when its records have been delivered,
  // and after each failed read except for an expired offset.
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

  // Starts to read at `from`. Call once.
  void Start(std::uint64_t from);

  // The offset of the next record to deliver.
  std::uint64_t Next() const { return this->next; }
  // Whether the latest read succeeded.
  bool Reachable() const { return this->reachable; }
  // Whether all records that the log held at the latest read were delivered.
  bool CaughtUp() const { return this->caught_up; }

  // Calls `done(true)` once the record at `offset` has been delivered, or
  // `done(false)` if that takes longer than `timeout`.
  void WhenReached(std::uint64_t offset,
                   Milliseconds timeout,
                   std::function<void(bool reached)> done);
  // Calls `done(true)` after a read that started after this call and reached
  // the end of the stream: all records appended before this call have then been
  // delivered. Calls `done(false)` if that takes longer than `timeout`.
  void WhenCurrent(Milliseconds timeout,
                   std::function<void(bool current)> done);

 private:
  struct Waiter {
    // Satisfied when next > offset, or by a read numbered `read` or later that
    // reached the end of the stream.
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
  // Reads are numbered so that WhenCurrent can require a later one.
  std::uint64_t reads_started = 0;
  // The number of the latest read that found the stream's end, 0 for none.
  std::uint64_t current_read = 0;
  bool reachable = false;
  bool caught_up = false;
  // Invariant: at most one read is in flight, or a timer for the next is set.
  std::unique_ptr<Timer> read_timer;
  std::vector<std::shared_ptr<Waiter>> waiters;
  // Responses that arrive after destruction find an expired token.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
