// Runs an event loop on the test's own thread until a condition holds.

#pragma once

#include <functional>

#include "LibHTTP/http.h"

namespace carobbank {

class LoopRunner {
 public:
  EventLoop loop;

  // False when the condition did not come to hold within the patience of a
  // test; how long it took is never looked at.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kPatienceTicks = 30'000;
    this->ticks_left = kPatienceTicks;
    this->Tick(condition);
    this->loop.Run();
    return condition();
  }

  // Lets everything that is due now happen, and a little more.
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
