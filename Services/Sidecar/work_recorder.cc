// Writes metrics for every request, and timeline events for changes of its
// state.

#include "Sidecar/work_recorder.h"

namespace carobbank {

namespace {

// A sample whose version left the allowed range is run again from its
// beginning, so its tokens are discarded.
constexpr std::string_view kDiscardingCode = "version_out_of_bound";

std::string_view ExecutionName(Execution execution) {
  return execution == Execution::kNotRun ? "not_run" : "may_have_run";
}

}  // namespace

void WorkRecorder::OnQueued(const WorkRequest& work, bool quiet) {
  this->Record(EventKind::kQueue, work, quiet, "");
}

void WorkRecorder::OnStarted(const WorkRequest& work,
                             bool quiet,
                             MonotonicTime now) {
  this->registry.GetTiming(metrics::kQueueTime, {{"service", work.service}})
      .Record(now - work.received);
  this->registry
      .GetCounter(metrics::kServedTokens,
                  {{"service", work.service}, {"phase", "prompt"}})
      .Add(work.prompt_tokens);
  this->Record(EventKind::kSend, work, quiet, "");
}

void WorkRecorder::OnTokens(const WorkRequest& work, std::uint32_t tokens) {
  this->registry
      .GetCounter(metrics::kServedTokens,
                  {{"service", work.service}, {"phase", "generated"}})
      .Add(tokens);
}

void WorkRecorder::OnFirstToken(const WorkRequest& work, bool quiet) {
  this->Record(EventKind::kFirstToken, work, quiet, "");
}

void WorkRecorder::OnVersionChange(const WorkRequest& work,
                                   bool quiet,
                                   std::uint64_t version) {
  this->Record(EventKind::kVersionChange, work, quiet, "",
               static_cast<std::int64_t>(version));
}

void WorkRecorder::OnRefused(const WorkRequest& work,
                             bool quiet,
                             const Problem& problem) {
  this->registry
      .GetCounter(
          metrics::kRefusals,
          {{"service", work.service},
           {"code", problem.code},
           {"execution", std::string(ExecutionName(problem.execution))}})
      .Add();
  this->Record(EventKind::kRefusal, work, quiet, problem.code);
}

void WorkRecorder::OnPreempted(const WorkRequest& work, bool quiet) {
  this->registry.GetCounter(metrics::kPreemptions, {{"service", work.service}})
      .Add();
  this->Record(EventKind::kPreempt, work, quiet, "");
}

void WorkRecorder::OnEnded(const WorkRequest& work,
                           bool quiet,
                           std::string_view outcome,
                           std::uint64_t tokens) {
  this->registry
      .GetCounter(metrics::kAttempts, {{"service", work.service},
                                       {"outcome", std::string(outcome)}})
      .Add();
  this->Record(EventKind::kFinish, work, quiet, outcome,
               static_cast<std::int64_t>(tokens));
}

void WorkRecorder::OnTruncated(const WorkRequest& work,
                               std::string_view code,
                               std::uint64_t tokens) {
  this->registry.GetCounter(metrics::kCutAnswers, {{"service", work.service}})
      .Add();
  if (code == kDiscardingCode) {
    this->registry
        .GetCounter(metrics::kDiscardedTokens,
                    {{"service", work.service}, {"reason", std::string(code)}})
        .Add(tokens);
  }
}

void WorkRecorder::OnDrain(std::string_view detail) {
  Event event;
  event.kind = EventKind::kDrain;
  event.server = this->instance;
  event.detail = detail;
  this->timeline.Record(std::move(event));
  this->registry.GetGauge(metrics::kDraining).Set(detail == "ended" ? 0 : 1);
}

void WorkRecorder::SetQueueLength(std::string_view service,
                                  std::size_t length) {
  this->registry
      .GetGauge(metrics::kQueueLength, {{"service", std::string(service)}})
      .Set(static_cast<double>(length));
}

void WorkRecorder::Record(EventKind kind,
                          const WorkRequest& work,
                          bool quiet,
                          std::string_view detail,
                          std::int64_t number) {
  if (quiet) {
    return;
  }
  Event event;
  event.kind = kind;
  event.request = work.request_id;
  event.sample = work.sample_id;
  event.attempt = work.attempt_id;
  event.service = work.service;
  event.server = this->instance;
  event.detail = detail;
  event.number = number;
  this->timeline.Record(std::move(event));
}

}  // namespace carobbank
