// Hybrid logical clock (Kulkarni et al. 2014): timestamps that follow the wall
// clock and never contradict the order in which messages were received.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/error.h"

namespace carobbank {

struct HybridTime {
  WallMilliseconds wall_ms = 0;
  std::uint32_t logical = 0;

  auto operator<=>(const HybridTime&) const = default;
  // "<wall_ms>.<logical>", the form in headers and events.
  std::string Text() const;
  static Result<HybridTime> Parse(std::string_view text);
};

class HybridLogicalClock {
 public:
  explicit HybridLogicalClock(const Clock& clock) : clock(clock) {}

  // The timestamp of a local event or an outgoing message.
  HybridTime Tick();
  // Merges the timestamp of a received message; returns the timestamp of its
  // receipt. Ignores a timestamp that is further ahead than kMaximumDrift, so
  // that one wrong clock does not advance all others.
  HybridTime Observe(HybridTime remote);

  static constexpr Milliseconds kMaximumDrift{60'000};

 private:
  const Clock& clock;
  // Invariant: never decreases.
  HybridTime last;
};

}  // namespace carobbank
