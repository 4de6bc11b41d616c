// The stand-in engine's cache events: published with a delay and with gaps;
// only a limited number of events is retained.

#pragma once

#include <cstdint>
#include <deque>

#include "LibCore/core.h"
#include "StandIns/prefix_cache.h"

namespace carobbank {

class CacheEventFeed {
 public:
  // Records a change. A lost event uses up its sequence number.
  void Add(const PrefixChange& change, MonotonicTime visible_at, bool lost);
  // The response body of GET /cache_events: events from sequence `from` on that
  // are visible at `now`.
  Json::Value Page(std::uint64_t from, MonotonicTime now) const;
  // Removes all events and restarts the sequence at zero, as an engine restart
  // does.
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
  // Invariant: every retained event's sequence is at least this.
  std::uint64_t first_retained = 0;
};

}  // namespace carobbank
