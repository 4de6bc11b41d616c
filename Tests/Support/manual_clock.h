// A clock that advances only in Advance().

#pragma once

#include "LibCore/core.h"

namespace carobbank {

class ManualClock final : public Clock {
 public:
  MonotonicTime Now() const override { return this->now; }
  WallMilliseconds WallNow() const override { return this->wall_ms; }

  void Advance(Milliseconds step) {
    this->now += step;
    this->wall_ms += step.count();
  }

 private:
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  WallMilliseconds wall_ms = 1'800'000'000'000;
};

}  // namespace carobbank
