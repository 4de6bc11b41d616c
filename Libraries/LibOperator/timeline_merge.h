// Merges and filters the events of many processes, and formats them as text or
// as a trace.

#pragma once

#include <span>
#include <string>
#include <vector>

#include "LibTimeline/timeline.h"

namespace carobbank {

// An empty member matches every event.
struct TimelineFilter {
  std::string request;
  std::string step;
  std::string sample;
  // An instance: the one that recorded the event, or the backend server that
  // the event is about.
  std::string server;
  std::string service;

  bool Passes(const Event& event) const;
};

// In the order of the hybrid logical clock; equal timestamps by instance.
std::vector<Event> MergeEvents(std::vector<Event> events,
                               const TimelineFilter& filter);

// One line per event.
std::string TimelineText(std::span<const Event> events);
// Chrome trace-event JSON: a process for each instance, a row for each attempt
// or request, an instant for each event and a bar from its first to its last.
Json::Value ChromeTrace(std::span<const Event> events);

}  // namespace carobbank
