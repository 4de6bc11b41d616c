// Merges and filters timelines, and formats them as text or as a trace.

#include "LibOperator/timeline_merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace carobbank {

namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
// Timestamps above this one (the year 33658) or below 0 are clamped.
constexpr WallMilliseconds kLatestDrawnMs = 1'000'000'000'000'000;

bool Matches(const std::string& wanted, const std::string& found) {
  return wanted.empty() || wanted == found;
}

// Adds the logical ticks as microseconds, so that a viewer keeps the order of
// events within one millisecond.
std::int64_t TraceMicroseconds(const HybridTime& time) {
  const std::int64_t ticks =
      std::min<std::int64_t>(time.logical, kMicrosecondsPerMillisecond - 1);
  const WallMilliseconds wall_ms =
      std::clamp<WallMilliseconds>(time.wall_ms, 0, kLatestDrawnMs);
  return wall_ms * kMicrosecondsPerMillisecond + ticks;
}

std::string RowName(const Event& event) {
  for (const std::string* name :
       {&event.attempt, &event.sample, &event.request, &event.step}) {
    if (!name->empty()) {
      return *name;
    }
  }
  return "process";
}

// A row of the trace, with the times of its first and last event.
struct TraceRow {
  int number = 0;
  std::int64_t first_us = 0;
  std::int64_t last_us = 0;
};

struct TraceProcess {
  int number = 0;
  std::map<std::string, TraceRow> rows;
};

Json::Value MetadataEvent(const char* metadata,
                          int process,
                          int row,
                          std::string name) {
  Json::Value value;
  value["ph"] = "M";
  value["name"] = metadata;
  value["pid"] = process;
  value["tid"] = row;
  value["args"]["name"] = std::move(name);
  return value;
}

Json::Value InstantEvent(const Event& event, int process, int row) {
  Json::Value value;
  value["ph"] = "i";
  value["s"] = "t";
  value["name"] = std::string(EventKindName(event.kind));
  value["cat"] = event.service.empty() ? "process" : event.service;
  value["ts"] = Json::Int64(TraceMicroseconds(event.time));
  value["pid"] = process;
  value["tid"] = row;
  value["args"] = EventToJson(event);
  return value;
}

Json::Value CompleteEvent(const std::string& name,
                          int process,
                          const TraceRow& row) {
  Json::Value value;
  value["ph"] = "X";
  value["name"] = name;
  value["cat"] = "row";
  value["ts"] = Json::Int64(row.first_us);
  value["dur"] = Json::Int64(row.last_us - row.first_us);
  value["pid"] = process;
  value["tid"] = row.number;
  return value;
}

void AppendText(std::string& line,
                std::string_view label,
                const std::string& value) {
  if (!value.empty()) {
    line += fmt::format(" {}={}", label, value);
  }
}

}  // namespace

bool TimelineFilter::Passes(const Event& event) const {
  const bool at_server = this->server.empty() || this->server == event.server ||
                         this->server == event.instance;
  return at_server && Matches(this->request, event.request) &&
         Matches(this->step, event.step) &&
         Matches(this->sample, event.sample) &&
         Matches(this->service, event.service);
}

std::vector<Event> MergeEvents(std::vector<Event> events,
                               const TimelineFilter& filter) {
  std::erase_if(
      events, [&filter](const Event& event) { return !filter.Passes(event); });
  std::ranges::stable_sort(events, [](const Event& left, const Event& right) {
    return std::tie(left.time, left.instance) <
           std::tie(right.time, right.instance);
  });
  return events;
}

std::string TimelineText(std::span<const Event> events) {
  std::string text;
  for (const Event& event : events) {
    std::string line =
        fmt::format("{} {}/{} {}", event.time.Text(), event.data_center,
                    event.instance, EventKindName(event.kind));
    AppendText(line, "service", event.service);
    AppendText(line, "request", event.request);
    AppendText(line, "step", event.step);
    AppendText(line, "sample", event.sample);
    AppendText(line, "attempt", event.attempt);
    AppendText(line, "server", event.server);
    if (event.number != 0) {
      line += fmt::format(" number={}", event.number);
    }
    AppendText(line, "detail", event.detail);
    text += line + "\n";
  }
  return text;
}

Json::Value ChromeTrace(std::span<const Event> events) {
  std::map<std::string, TraceProcess> processes;
  Json::Value trace;
  trace["displayTimeUnit"] = "ms";
  Json::Value& list = trace["traceEvents"] = Json::Value(Json::arrayValue);
  for (const Event& event : events) {
    const auto [process, new_process] =
        processes.try_emplace(event.data_center + "/" + event.instance);
    if (new_process) {
      process->second.number = static_cast<int>(processes.size());
      list.append(MetadataEvent("process_name", process->second.number, 0,
                                process->first));
    }
    auto& rows = process->second.rows;
    const auto [row, new_row] = rows.try_emplace(RowName(event));
    const std::int64_t time_us = TraceMicroseconds(event.time);
    if (new_row) {
      row->second = {static_cast<int>(rows.size()), time_us, time_us};
      list.append(MetadataEvent("thread_name", process->second.number,
                                row->second.number, row->first));
    }
    row->second.last_us = time_us;
    list.append(
        InstantEvent(event, process->second.number, row->second.number));
  }
  for (const auto& [name, process] : processes) {
    for (const auto& [row_name, row] : process.rows) {
      list.append(CompleteEvent(row_name, process.number, row));
    }
  }
  return trace;
}

}  // namespace carobbank
