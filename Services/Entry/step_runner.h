// Runs one step that this entry owns: starts its samples, resumes failed ones
// at other servers, and commits finished ones to the log.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibLedger/ledger.h"
#include "LibRouting/routing.h"
#include "LibTimeline/timeline.h"
#include "generation.h"
#include "log_writer.h"
#include "routed_pools.h"

namespace carobbank {

// Rules of a service's document for its steps.
struct StepPolicy {
  std::string service;
  std::string pool;
  RouteClass service_class = RouteClass::kTraining;
  // Whether versions newer than the requested one (named_version) are allowed.
  bool newer_versions = true;
  StragglerOptions stragglers;
  // An attempt that no server has started within this time fails; its sample is
  // retried.
  Milliseconds attempt_deadline{std::chrono::minutes(30)};
  std::uint64_t configuration_offset = 0;
};

struct StepRunnerEnvironment {
  GenerationEnvironment& generation;
  RoutedPools& pools;
  LogWriter& writer;
  EventTimeline& timeline;
  MetricRegistry& metrics;
};

class StepRunner {
 public:
  // `step` need not outlive the call.
  static Result<std::unique_ptr<StepRunner>> Create(
      StepRunnerEnvironment environment,
      StepPolicy policy,
      const StepState& step);
  // Cancels all running attempts.
  ~StepRunner();

  // The fold has applied further results of the step.
  void OnResults(const StepState& step);
  bool Done() const { return this->plan.Done(); }
  const StepPlanCounts& Counts() const { return this->plan.Counts(); }

 private:
  struct Running {
    std::string sample_id;
    std::unique_ptr<Generation> generation;
    // Tokens received before this attempt.
    std::uint64_t resumed_tokens = 0;
    std::uint64_t reported_tokens = 0;
  };

  StepRunner(StepRunnerEnvironment environment,
             StepPolicy policy,
             const StepState& step,
             StepPlan plan);
  void DispatchSamples();
  void DispatchLater(Milliseconds delay);
  std::size_t Window() const;
  void StartSample(const Dispatch& dispatch);
  GenerationRequest MakeRequest(const Dispatch& dispatch) const;
  GenerationHandlers MakeHandlers(const std::string& attempt);
  void OnChunk(const std::string& attempt);
  void OnDone(const std::string& attempt, const GenerationOutput& output);
  void OnFailure(const std::string& attempt, const Problem& problem);
  void Commit(const std::string& attempt, const GenerationOutput& output);
  void RecordFailure(const std::string& sample_id, const std::string& code);
  // False when the writer's buffer is full.
  bool TryWrite(const RolloutEntry& entry);
  void Write(RolloutEntry entry);
  void WriteUnwritten();
  // Removes the attempt; it is destroyed after the current callback.
  void RemoveAttempt(const std::string& attempt);
  void RecordEvent(EventKind kind,
                   std::string sample_id,
                   std::string attempt,
                   std::string server,
                   std::string detail,
                   std::int64_t number);

  StepRunnerEnvironment environment;
  StepPolicy policy;
  AcceptEntry accept;
  LogPosition accepted_at;
  StepPlan plan;
  VersionRange versions;
  // Number of the step's results in the fold that were applied here.
  std::size_t results_seen = 0;
  std::map<std::string, const PromptGroup*> group_of_sample;
  std::map<std::string, Running> running;
  // The longest partial output of each sample whose attempt failed.
  std::map<std::string, GenerationOutput> partial_outputs;
  // Crashes of servers that ran the sample, by sample.
  std::map<std::string, std::size_t> crashes;
  // Results that did not fit in the writer's buffer; written before new samples
  // start.
  std::vector<RolloutEntry> unwritten;
  std::unique_ptr<Timer> dispatch_timer;
  MonotonicTime paused_until{};
  bool dispatching = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
