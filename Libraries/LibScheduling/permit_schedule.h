// Paces the requests of many senders to one server under a limit of requests
// per second: each request gets the next free time. Pure.

#pragma once

#include "LibCore/core.h"

namespace carobbank {

class PermitSchedule {
 public:
  // Times assigned before the change stay assigned.
  void SetRate(double per_second);
  // Assigns no time before `time`.
  void BlockUntil(MonotonicTime time);
  // Time between two requests.
  MonotonicTime::duration Interval() const { return this->interval; }
  // Time from `now` until the next free time; zero if it has come.
  Milliseconds WaitTime(MonotonicTime now) const;
  // Assigns the next free time.
  void Take(MonotonicTime now);

 private:
  // Requests that senders did not use in the past may be sent at once, up to
  // this time's worth, and one.
  static constexpr Milliseconds kMaxArrears{100};

  MonotonicTime::duration interval{Milliseconds(1'000)};
  // Invariant: all times before it are assigned or expired.
  MonotonicTime next{};
};

}  // namespace carobbank
