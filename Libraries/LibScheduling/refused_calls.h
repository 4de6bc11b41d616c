// Remembers calls that were refused, so that a caller that comes back is placed
// by the time of its first attempt. Bounded in number and time. Pure.

#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "LibCore/core.h"

namespace carobbank {

class RefusedCalls {
 public:
  // `arrived`: when the call, or the earliest attempt known of it, arrived.
  void Remember(std::string_view digest,
                MonotonicTime arrived,
                MonotonicTime now);
  // Returns the remembered arrival and forgets it, so that one refusal gives
  // one call its place.
  std::optional<MonotonicTime> Take(std::string_view digest, MonotonicTime now);
  std::size_t Size() const { return this->calls.size(); }

  static constexpr std::size_t kMaxCalls = 4'096;
  static constexpr Milliseconds kKept{5'000};

 private:
  struct Refused {
    MonotonicTime arrived;
    MonotonicTime refused_at;
  };
  struct Order {
    std::string digest;
    MonotonicTime refused_at;
  };
  void RemoveOldest();

  std::unordered_map<std::string, Refused> calls;
  // Oldest first. An entry whose time differs from that in `calls` is stale.
  // Invariant: at most kMaxCalls entries.
  std::deque<Order> order;
};

}  // namespace carobbank
