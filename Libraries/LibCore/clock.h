// Time as an argument: decision code takes a Clock or a time point, so that
// tests decide what time it is.

#pragma once

#include <chrono>
#include <cstdint>

namespace carobbank {

using Milliseconds = std::chrono::milliseconds;
using MonotonicTime = std::chrono::steady_clock::time_point;

// Milliseconds since the Unix epoch, as other machines see them.
using WallMilliseconds = std::int64_t;

class Clock {
 public:
  virtual ~Clock() = default;
  // For durations, leases and timeouts within this process.
  virtual MonotonicTime Now() const = 0;
  // For time stamps that leave this process.
  virtual WallMilliseconds WallNow() const = 0;
  // Like Now(), but also counts the time in which the machine was suspended:
  // what was known before a pause is older than Now() tells.
  virtual MonotonicTime BootNow() const { return this->Now(); }
};

class SystemClock final : public Clock {
 public:
  MonotonicTime Now() const override;
  WallMilliseconds WallNow() const override;
  MonotonicTime BootNow() const override;
};

}  // namespace carobbank
