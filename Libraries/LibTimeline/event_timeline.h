// The bounded timeline of one process, and its hybrid logical clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "LibTimeline/event.h"

namespace carobbank {

struct TimelineOptions {
  std::string instance;
  std::string data_center;
  // Events retained; the oldest are dropped and counted.
  std::size_t capacity = 16'384;
};

// Events from a sequence number on, as read by operators.
struct TimelinePage {
  // The sequence of the first event in `events`; above the requested one when
  // older events were dropped.
  std::uint64_t first = 0;
  // Pass this as `after` to read the next page.
  std::uint64_t next = 0;
  // Events dropped since the process started.
  std::uint64_t dropped = 0;
  std::vector<Event> events;
};

Json::Value TimelinePageToJson(const TimelinePage& page);
// Fails with kCorrupt.
Result<TimelinePage> TimelinePageFromJson(const Json::Value& value);

// Every member function may be called from any thread.
class EventTimeline {
 public:
  EventTimeline(const Clock& clock, TimelineOptions options);

  // Sets the event's time, instance and data center; returns the time.
  HybridTime Record(Event event);

  // The timestamp for an outgoing message (header X-Carobbank-Time).
  HybridTime Stamp();
  // Merges the timestamp of a received message into the clock.
  void Observe(HybridTime remote);

  // Up to `max_events` events with a sequence of at least `from`; sequences
  // count from 0.
  TimelinePage Read(std::uint64_t from, std::size_t max_events) const;
  std::uint64_t Dropped() const;

 private:
  std::uint64_t FirstRetained() const;

  const TimelineOptions options;
  mutable std::mutex mutex;
  HybridLogicalClock clock;
  // Invariant: the event with sequence s is at index s % capacity while
  // next - capacity <= s < next.
  std::vector<Event> ring;
  std::uint64_t next = 0;
};

}  // namespace carobbank
