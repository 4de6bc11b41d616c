// The events of many processes in one order, filtered, as text or as a trace.

#pragma once

#include <span>
#include <string>
#include <vector>

#include "LibTimeline/timeline.h"

namespace carobbank {

// Empty members let everything pass.
struct TimelineFilter {
  std::string request;
  std::string step;
  std::string sample;
  // An instance: the recording one or the backend server.
  std::string server;
  std::string service;

  bool Passes(const Event& event) const;
};

// In the order of the hybrid logical clock; equal stamps by instance.
std::vector<Event> MergeEvents(std::vector<Event> events,
                               const TimelineFilter& filter);

// One line an event.
std::string TimelineText(std::span<const Event> events);
// Chrome trace-event JSON: a process for each instance, a row for each attempt
// or request, an instant for each event and a bar from its first to its last.
Json::Value ChromeTrace(std::span<const Event> events);

}  // namespace carobbank
