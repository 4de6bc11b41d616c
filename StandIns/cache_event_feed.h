// The stand-in engine's cache events: published late, with gaps, and kept for
// a limited number only.

#pragma once

#include <cstdint>
#include <deque>

#include "LibCore/core.h"
#include "StandIns/prefix_cache.h"

namespace carobbank {

class CacheEventFeed {
 public:
  // Takes in a change. A lost event uses up its sequence number.
  void Add(const PrefixChange& change, MonotonicTime visible_at, bool lost);
  // The page of GET /cache_events.
  Json::Value Page(std::uint64_t from, MonotonicTime now) const;
  // A restarted engine numbers its events from zero.
  void Clear();

 private:
  struct Event {
    std::uint64_t sequence = 0;
    PrefixChange change;
    MonotonicTime visible_at;
  };

  // Ascending in sequence.
  std::deque<Event> events;
  std::uint64_t next_sequence = 0;
  // Invariant: every kept event's sequence is at least this.
  std::uint64_t first_kept = 0;
};

}  // namespace carobbank
