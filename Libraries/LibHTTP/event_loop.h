// A single-threaded event loop with timers and signals, over asio::io_context.

#pragma once

#include <functional>
#include <memory>

#include "LibCore/core.h"

namespace carobbank {

// Handle of a pending timer. Destroying the handle cancels the timer.
class Timer {
 public:
  virtual ~Timer() = default;
  virtual void Cancel() = 0;
};

// All callbacks of one loop run on the thread that called Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Blocks until Stop(). Tasks posted before Run() are queued.
  void Run();
  // Safe from any thread and from a signal handler's callback.
  void Stop();
  // Safe from any thread.
  void Post(std::function<void()> task);
  // From the loop's own thread only. The task may destroy its own timer.
  [[nodiscard]] std::unique_ptr<Timer> CallAfter(Milliseconds delay,
                                                 std::function<void()> task);
  // Calls `task` on the loop when the process receives `signal_number`.
  void OnSignal(int signal_number, std::function<void()> task);

  // The asio::io_context behind the loop, for LibHTTP's own sources.
  struct Implementation;
  Implementation& GetImplementation() { return *this->implementation; }

 private:
  std::unique_ptr<Implementation> implementation;
};

}  // namespace carobbank
