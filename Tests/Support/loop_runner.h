// Runs an event loop on the test's own thread until a condition holds.

#pragma once

#include <functional>

#include "LibHTTP/http.h"

namespace carobbank {

class LoopRunner {
 public:
  EventLoop loop;

  // False when the condition doesn't hold within the timeout of 30'000 ticks of
  // a millisecond. The elapsed time is never checked.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kTimeoutTicks = 30'000;
    this->ticks_left = kTimeoutTicks;
    this->Tick(condition);
    this->loop.Run();
    return condition();
  }

  // Runs the loop for `time`.
  void RunFor(Milliseconds time) {
    const auto timer =
        this->loop.CallAfter(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

 private:
  void Tick(const std::function<bool()>& condition) {
    if (condition() || --this->ticks_left == 0) {
      this->timer.reset();
      this->loop.Stop();
      return;
    }
    this->timer = this->loop.CallAfter(
        Milliseconds(1), [this, &condition] { this->Tick(condition); });
  }

  std::unique_ptr<Timer> timer;
  int ticks_left = 0;
};

}  // namespace carobbank
