// Injectable time: decision code takes a Clock or a time point as a parameter,
// so that tests control the time.

#pragma once

#include <chrono>
#include <cstdint>

namespace carobbank {

using Milliseconds = std::chrono::milliseconds;
using MonotonicTime = std::chrono::steady_clock::time_point;

// Milliseconds since the Unix epoch; comparable between machines.
using WallMilliseconds = std::int64_t;

class Clock {
 public:
  virtual ~Clock() = default;
  // For durations, leases and timeouts within this process.
  virtual MonotonicTime Now() const = 0;
  // For timestamps that leave this process.
  virtual WallMilliseconds WallNow() const = 0;
  // Like Now(), but includes the time during which the machine was suspended:
  // for the age of data, which Now() understates after a suspension.
  virtual MonotonicTime BootNow() const { return this->Now(); }
};

class SystemClock final : public Clock {
 public:
  MonotonicTime Now() const override;
  WallMilliseconds WallNow() const override;
  MonotonicTime BootNow() const override;
};

}  // namespace carobbank
