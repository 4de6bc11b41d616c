// Records the dispatcher's requests in metrics and the timeline. Services
// marked quiet appear in metrics only.

#pragma once

#include <string>
#include <string_view>

#include "LibTimeline/timeline.h"
#include "Sidecar/work_request.h"

namespace carobbank {

class WorkRecorder {
 public:
  WorkRecorder(EventTimeline& timeline,
               MetricRegistry& registry,
               std::string instance)
      : timeline(timeline), registry(registry), instance(std::move(instance)) {}

  void OnQueued(const WorkRequest& work, bool quiet);
  void OnStarted(const WorkRequest& work, bool quiet, MonotonicTime now);
  void OnTokens(const WorkRequest& work, std::uint32_t tokens);
  // The first token of an attempt was forwarded to the entry.
  void OnFirstToken(const WorkRequest& work, bool quiet);
  void OnVersionChange(const WorkRequest& work,
                       bool quiet,
                       std::uint64_t version);
  void OnRefused(const WorkRequest& work, bool quiet, const Problem& problem);
  void OnPreempted(const WorkRequest& work, bool quiet);
  // `outcome`: "whole", or the problem's code.
  void OnEnded(const WorkRequest& work,
               bool quiet,
               std::string_view outcome,
               std::uint64_t tokens);
  // A response that had started ended in an error. `tokens` were forwarded;
  // they count as discarded if the version left the allowed range.
  void OnTruncated(const WorkRequest& work,
                   std::string_view code,
                   std::uint64_t tokens);
  void OnDrain(std::string_view detail);
  void SetQueueLength(std::string_view service, std::size_t length);

  // The timestamp for a message to an entry.
  std::string Stamp() { return this->timeline.Stamp().Text(); }

 private:
  void Record(EventKind kind,
              const WorkRequest& work,
              bool quiet,
              std::string_view detail,
              std::int64_t number = 0);

  EventTimeline& timeline;
  MetricRegistry& registry;
  std::string instance;
};

}  // namespace carobbank
