// A token bucket with a capacity of one second's worth of units.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "LibCore/core.h"

namespace carobbank {

class RateLimiter {
 public:
  // Consumes one unit; false when none is available. A rate of zero means no
  // limit.
  bool TryAcquire(std::int64_t per_second, MonotonicTime now) {
    if (per_second == 0) {
      return true;
    }
    this->Refill(static_cast<double>(per_second), now);
    if (this->available < 1.0) {
      return false;
    }
    this->available -= 1.0;
    return true;
  }

 private:
  void Refill(double per_second, MonotonicTime now) {
    if (this->is_new) {
      this->is_new = false;
      this->available = per_second;
      this->refilled_at = now;
      return;
    }
    const std::chrono::duration<double> passed = now - this->refilled_at;
    this->refilled_at = now;
    this->available =
        std::min(per_second, this->available + passed.count() * per_second);
  }

  bool is_new = true;
  // Invariant: at most one second's worth.
  double available = 0;
  MonotonicTime refilled_at;
};

}  // namespace carobbank
