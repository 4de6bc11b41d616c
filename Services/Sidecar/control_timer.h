// Timers of the control thread, behind an interface that tests replace.

#pragma once

#include <functional>
#include <memory>

#include "LibHTTP/http.h"

namespace carobbank {

class ControlTimers {
 public:
  virtual ~ControlTimers() = default;
  [[nodiscard]] virtual std::unique_ptr<Timer> CallAfter(
      Milliseconds delay,
      std::function<void()> task) = 0;
};

class LoopTimers final : public ControlTimers {
 public:
  explicit LoopTimers(EventLoop& loop) : loop(loop) {}

  std::unique_ptr<Timer> CallAfter(Milliseconds delay,
                                   std::function<void()> task) override {
    return this->loop.CallAfter(delay, std::move(task));
  }

 private:
  EventLoop& loop;
};

}  // namespace carobbank
