// A sum whose parts lose their weight exponentially with their age.

#pragma once

#include <cmath>

#include "LibCore/core.h"

namespace carobbank {

class DecayedSum {
 public:
  explicit DecayedSum(Milliseconds time_constant)
      : time_constant_ms(static_cast<double>(time_constant.count())) {}

  void Add(double amount, MonotonicTime now) {
    this->value = this->At(now) + amount;
    this->updated = now;
  }
  double At(MonotonicTime now) const {
    const std::chrono::duration<double, std::milli> age = now - this->updated;
    return this->value * std::exp(-age.count() / this->time_constant_ms);
  }
  // Mean amount per millisecond.
  double PerMillisecond(MonotonicTime now) const {
    return this->At(now) / this->time_constant_ms;
  }

 private:
  double time_constant_ms;
  double value = 0;
  MonotonicTime updated{};
};

}  // namespace carobbank
