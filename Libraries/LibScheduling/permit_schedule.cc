// A virtual schedule with one time per interval.

#include "LibScheduling/permit_schedule.h"

#include <algorithm>
#include <chrono>

namespace carobbank {

void PermitSchedule::SetRate(double per_second) {
  // Keep the interval within the range of the clock.
  constexpr double kLowestRate = 1e-4;
  constexpr double kHighestRate = 1e6;
  const double rate = std::clamp(per_second, kLowestRate, kHighestRate);
  this->interval = std::chrono::duration_cast<MonotonicTime::duration>(
      std::chrono::duration<double>(1 / rate));
}

void PermitSchedule::BlockUntil(MonotonicTime time) {
  this->next = std::max(this->next, time);
}

Milliseconds PermitSchedule::WaitTime(MonotonicTime now) const {
  return std::chrono::ceil<Milliseconds>(
      std::max(this->next - now, MonotonicTime::duration::zero()));
}

void PermitSchedule::Take(MonotonicTime now) {
  const MonotonicTime::duration arrears =
      std::max<MonotonicTime::duration>(this->interval, kMaxArrears);
  this->next = std::max(this->next, now - arrears) + this->interval;
}

}  // namespace carobbank
