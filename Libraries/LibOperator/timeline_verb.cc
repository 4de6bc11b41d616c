// `carobbank timeline`: reads the timelines of processes and merges them.

#include <ostream>

#include "LibOperator/timeline_merge.h"
#include "LibOperator/verbs.h"

namespace carobbank {

namespace {

// Bounds the time spent on a process that records events faster than they are
// read.
constexpr int kMaxPages = 1'000;

Outcome<TimelinePage> FetchPage(OperatorEnvironment& environment,
                                const std::string& url,
                                const std::string& token,
                                std::uint64_t from) {
  const auto page = Await<Json::Value>(
      environment, [&](OperatorEnvironment::JsonCallback callback) {
        environment.Fetch(url + "/timeline?after=" + std::to_string(from),
                          token, std::move(callback));
      });
  if (!page.Ok()) {
    return page.GetError();
  }
  return Capture([&] { return TimelinePageFromJson(page.Value()); });
}

// Appends the process's events; returns whether every read succeeded.
bool ReadProcess(OperatorEnvironment& environment,
                 const std::string& url,
                 const std::string& token,
                 std::vector<Event>& events) {
  std::uint64_t from = 0;
  for (int count = 0; count < kMaxPages; ++count) {
    const auto page = FetchPage(environment, url, token, from);
    if (!page.Ok()) {
      environment.Progress() << url << ": " << page.GetError().Text() << "\n";
      return false;
    }
    if (count == 0 && page.Value().dropped > 0) {
      environment.Progress() << url << ": " << page.Value().dropped
                             << " older events were dropped\n";
    }
    events.insert(events.end(), page.Value().events.begin(),
                  page.Value().events.end());
    if (page.Value().events.empty()) {
      return true;
    }
    from = page.Value().next;
  }
  return true;
}

Json::Value EventList(const std::vector<Event>& events) {
  Json::Value list(Json::arrayValue);
  for (const Event& event : events) {
    list.append(EventToJson(event));
  }
  return list;
}

}  // namespace

ExitCode RunTimeline(const TimelineArguments& arguments,
                     OperatorEnvironment& environment) {
  std::vector<Event> events;
  bool complete = true;
  for (const std::string& url : arguments.processes) {
    complete &= ReadProcess(environment, url, arguments.token, events);
    environment.Progress() << "read " << url << "\n";
  }
  const TimelineFilter filter{arguments.request, arguments.step,
                              arguments.sample, arguments.server,
                              arguments.service};
  events = MergeEvents(std::move(events), filter);
  std::ostream& out = environment.Out();
  if (arguments.format == TimelineFormat::kChrome) {
    out << WriteJson(ChromeTrace(events)) << "\n";
  } else if (arguments.json) {
    out << WriteJson(EventList(events)) << "\n";
  } else {
    out << TimelineText(events);
  }
  return complete ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace carobbank
