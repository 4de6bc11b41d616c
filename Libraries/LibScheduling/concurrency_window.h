// How many requests one sender may have in flight at a service whose capacity
// it shares with an unknown number of other senders: additive increase,
// multiplicative decrease (Chiu and Jain 1989), driven by refusals and by
// response times relative to the uncongested ones. Pure.

#pragma once

#include <cstdint>

#include "LibCore/core.h"

namespace carobbank {

class ConcurrencyWindow {
 public:
  // Upper bound of the limit, in requests; values below 1 count as 1. Without
  // any sign of congestion the limit is the upper bound.
  void SetMaximum(double requests);
  double Limit() const;
  // No sign of congestion for `time`.
  bool CalmFor(Milliseconds time, MonotonicTime now) const {
    return this->last_decrease == MonotonicTime::min() ||
           now - this->last_decrease > time;
  }
  bool HasRoom(std::uint32_t in_flight) const {
    return static_cast<double>(in_flight) + 1 <= this->Limit();
  }

  // Call when nothing waits for the window: a limit that was not needed for
  // some seconds is given up, because a limit that is not in use does not grow.
  void EndRestriction(MonotonicTime now);

  // A server had no capacity for a request that began at `began`. `in_flight`
  // counts the requests of this sender, including this one.
  void OnRefused(MonotonicTime began,
                 std::uint32_t in_flight,
                 MonotonicTime now);
  // `relative_time`: response time divided by the uncongested one.
  void OnAnswered(double relative_time,
                  MonotonicTime began,
                  std::uint32_t in_flight,
                  MonotonicTime now);

 private:
  void Decrease(double factor, std::uint32_t in_flight, MonotonicTime now);
  void Increase(MonotonicTime now);

  double maximum = 1;
  // Invariant: at least 1. Has a meaning only while `restricted`.
  double limit = 1;
  bool restricted = false;
  // Requests that began earlier say nothing about the current limit.
  MonotonicTime last_decrease = MonotonicTime::min();
  double mean_relative_time = 1;
};

}  // namespace carobbank
