// The local and the receive rule of the hybrid logical clock, and the text form
// of a timestamp.

#include "LibCore/hybrid_logical_clock.h"

#include <algorithm>
#include <charconv>

namespace carobbank {

std::string HybridTime::Text() const {
  return std::to_string(this->wall_ms) + "." + std::to_string(this->logical);
}

Result<HybridTime> HybridTime::Parse(std::string_view text) {
  HybridTime time;
  const char* end = text.data() + text.size();
  const auto wall = std::from_chars(text.data(), end, time.wall_ms);
  const bool has_point =
      wall.ec == std::errc() && wall.ptr != end && *wall.ptr == '.';
  if (has_point) {
    const auto logical = std::from_chars(wall.ptr + 1, end, time.logical);
    if (logical.ec == std::errc() && logical.ptr == end) {
      return time;
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "not a hybrid logical clock timestamp: " + std::string(text),
              "send <milliseconds>.<counter>");
}

HybridTime HybridLogicalClock::Tick() {
  const WallMilliseconds now = this->clock.WallNow();
  if (now > this->last.wall_ms) {
    this->last = {now, 0};
  } else {
    ++this->last.logical;
  }
  return this->last;
}

HybridTime HybridLogicalClock::Observe(HybridTime remote) {
  const WallMilliseconds now = this->clock.WallNow();
  if (remote.wall_ms > now + kMaximumDrift.count()) {
    return this->Tick();
  }
  const HybridTime newest = std::max(this->last, remote);
  if (now > newest.wall_ms) {
    this->last = {now, 0};
  } else {
    this->last = {newest.wall_ms, newest.logical + 1};
  }
  return this->last;
}

}  // namespace carobbank
