// The operating system's clocks behind the Clock interface.

#include "LibCore/clock.h"

namespace carobbank {

MonotonicTime SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallMilliseconds SystemClock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

}  // namespace carobbank
