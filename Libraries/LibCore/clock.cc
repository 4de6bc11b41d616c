// The Clock interface over the operating system's clocks.

#include "LibCore/clock.h"

#include <time.h>

namespace carobbank {

MonotonicTime SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallMilliseconds SystemClock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

MonotonicTime SystemClock::BootNow() const {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace carobbank
