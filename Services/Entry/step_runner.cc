// Executes a step's plan: dispatches, resumes and commits samples.

#include "step_runner.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr std::chrono::microseconds kAssumedTokenTime{20'000};
constexpr Milliseconds kDelayAfterRefusal{50};
constexpr Milliseconds kDelayAfterFailure{10};
constexpr Milliseconds kDelayForLog{100};
// Interval at which stragglers are checked for a duplicate.
constexpr Milliseconds kDuplicateCheck{100};
// Above the number that the servers run at once, so that no server is idle
// while the next sample is in transit.
constexpr double kWindowFactor = 1.25;
constexpr std::size_t kMinWindow = 4;

bool IsFinal(const Problem& problem) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  constexpr int kUnprocessable = 422;
  return problem.status == kBadRequest || problem.status == kNotFound ||
         problem.status == kTooLarge || problem.status == kUnprocessable;
}

VersionRange RangeOf(const AcceptEntry& accept, bool newer_versions) {
  VersionRange range;
  range.oldest = accept.OldestVersion();
  if (!newer_versions) {
    range.newest = accept.named_version;
  }
  return range;
}

std::vector<PlannedSample> SamplesOf(const AcceptEntry& accept) {
  std::vector<PlannedSample> samples;
  for (const PromptGroup& group : accept.groups) {
    for (std::uint32_t number = 0; number < group.samples; ++number) {
      samples.push_back(
          {SampleId(group.group_id, number), group.group_id, group.max_tokens});
    }
  }
  return samples;
}

const std::string& SampleIdOf(const SampleResult& result) {
  return std::visit(
      [](const auto& entry) -> const std::string& { return entry.sample_id; },
      result);
}

}  // namespace

Result<std::unique_ptr<StepRunner>> StepRunner::Create(
    StepRunnerEnvironment environment,
    StepPolicy policy,
    const StepState& step) {
  BOOST_LEAF_AUTO(plan,
                  StepPlan::Create(policy.stragglers, SamplesOf(step.accept),
                                   kAssumedTokenTime));
  std::unique_ptr<StepRunner> runner(
      new StepRunner(environment, std::move(policy), step, std::move(plan)));
  runner->OnResults(step);
  return runner;
}

StepRunner::StepRunner(StepRunnerEnvironment environment,
                       StepPolicy policy,
                       const StepState& step,
                       StepPlan plan)
    : environment(environment),
      policy(std::move(policy)),
      accept(step.accept),
      accepted_at(step.accepted_at),
      plan(std::move(plan)),
      versions(RangeOf(step.accept, this->policy.newer_versions)) {
  for (const PromptGroup& group : this->accept.groups) {
    for (std::uint32_t number = 0; number < group.samples; ++number) {
      this->group_of_sample[SampleId(group.group_id, number)] = &group;
    }
  }
}

StepRunner::~StepRunner() = default;

void StepRunner::OnResults(const StepState& step) {
  for (; this->results_seen < step.results.size(); ++this->results_seen) {
    const SampleResult& result = step.results[this->results_seen];
    const std::string& sample_id = SampleIdOf(result);
    const auto* commit = std::get_if<CommitEntry>(&result);
    const std::vector<std::string> attempts =
        commit ? this->plan.OnFinished(sample_id, commit->tokens)
               : this->plan.OnFailed(sample_id);
    this->partial_outputs.erase(sample_id);
    this->crashes.erase(sample_id);
    for (const std::string& attempt : attempts) {
      if (this->running.contains(attempt)) {
        this->RecordEvent(EventKind::kCancel, sample_id, attempt, "",
                          "another attempt finished first", 0);
        this->RemoveAttempt(attempt);
      }
    }
  }
  this->DispatchSamples();
}

std::size_t StepRunner::Window() const {
  const auto capacity = this->environment.pools.Capacity(this->policy.pool);
  const auto window =
      static_cast<std::size_t>(static_cast<double>(capacity) * kWindowFactor);
  return std::max(window, kMinWindow);
}

void StepRunner::DispatchSamples() {
  if (this->dispatching || this->plan.Done()) {
    return;
  }
  const Clock& clock = this->environment.generation.clock;
  if (clock.Now() < this->paused_until) {
    this->DispatchLater(
        std::chrono::ceil<Milliseconds>(this->paused_until - clock.Now()));
    return;
  }
  this->WriteUnwritten();
  if (this->environment.writer.BackPressure()) {
    this->DispatchLater(kDelayForLog);
    return;
  }
  this->dispatching = true;
  const std::size_t window = this->Window();
  Random& random = this->environment.generation.random;
  bool more = true;
  while (more && this->running.size() < window &&
         clock.Now() >= this->paused_until) {
    std::string attempt = random.Identifier();
    auto dispatch = this->plan.Next(attempt, clock.Now());
    if (!dispatch) {
      dispatch = this->plan.NextDuplicate(attempt, clock.Now());
    }
    more = dispatch.has_value();
    if (dispatch) {
      this->StartSample(*dispatch);
    }
  }
  this->dispatching = false;
  if (clock.Now() < this->paused_until) {
    this->DispatchLater(
        std::chrono::ceil<Milliseconds>(this->paused_until - clock.Now()));
  } else if (!this->running.empty()) {
    this->DispatchLater(kDuplicateCheck);
  }
}

void StepRunner::DispatchLater(Milliseconds delay) {
  this->dispatch_timer = this->environment.generation.loop.CallAfter(
      delay, [this] { this->DispatchSamples(); });
}

void StepRunner::StartSample(const Dispatch& dispatch) {
  Running& running = this->running[dispatch.attempt];
  running.sample_id = dispatch.sample_id;
  running.generation = std::make_unique<Generation>(
      this->environment.generation, this->MakeRequest(dispatch),
      this->MakeHandlers(dispatch.attempt));
  GenerationOutput partial;
  const auto kept = this->partial_outputs.find(dispatch.sample_id);
  if (!dispatch.duplicate && kept != this->partial_outputs.end()) {
    partial = kept->second;
  }
  running.resumed_tokens = partial.tokens;
  if (dispatch.duplicate) {
    this->RecordEvent(EventKind::kDuplicate, dispatch.sample_id,
                      dispatch.attempt, "", "straggler",
                      static_cast<std::int64_t>(dispatch.expected_tokens));
  }
  running.generation->Start(std::move(partial));
}

GenerationRequest StepRunner::MakeRequest(const Dispatch& dispatch) const {
  const PromptGroup& group =
      *this->group_of_sample.find(dispatch.sample_id)->second;
  GenerationRequest request;
  request.service = this->policy.service;
  request.pool = this->policy.pool;
  request.model = this->accept.model;
  request.service_class = this->policy.service_class;
  request.request_id = this->accept.request_id;
  request.sample_id = dispatch.sample_id;
  if (const auto known = this->crashes.find(dispatch.sample_id);
      known != this->crashes.end()) {
    request.crashes = known->second;
  }
  request.attempt_id = dispatch.attempt;
  request.prompt = group.prompt;
  request.max_tokens = group.max_tokens;
  request.seed =
      FastHash(dispatch.sample_id, FastHash(this->accept.request_id));
  request.versions = this->versions;
  request.deadline_ms = this->environment.generation.clock.WallNow() +
                        this->policy.attempt_deadline.count();
  request.expected_tokens = dispatch.expected_tokens;
  request.slack = dispatch.slack;
  request.duplicate = dispatch.duplicate;
  request.configuration_offset = this->policy.configuration_offset;
  return request;
}

GenerationHandlers StepRunner::MakeHandlers(const std::string& attempt) {
  GenerationHandlers handlers;
  handlers.on_chunk = [this, attempt](const GenerationChunk&) {
    this->OnChunk(attempt);
  };
  handlers.on_done = [this, attempt](const GenerationOutput& output) {
    this->OnDone(attempt, output);
  };
  handlers.on_failure = [this, attempt](const Problem& problem) {
    this->OnFailure(attempt, problem);
  };
  handlers.on_attempt = [this](const WorkMetadata& metadata,
                               const AttemptTarget& target) {
    this->RecordEvent(EventKind::kSend, metadata.sample_id, metadata.attempt_id,
                      target.instance, "", 0);
  };
  return handlers;
}

void StepRunner::OnChunk(const std::string& attempt) {
  // Progress is reported every 32 tokens, because each report recomputes the
  // estimates.
  constexpr std::uint64_t kTokensPerReport = 32;
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  Running& running = found->second;
  const std::uint64_t tokens = running.generation->Output().tokens;
  if (running.reported_tokens == 0) {
    this->RecordEvent(EventKind::kFirstToken, running.sample_id, attempt, "",
                      "", 0);
  }
  if (tokens >= running.reported_tokens + kTokensPerReport ||
      running.reported_tokens == 0) {
    running.reported_tokens = tokens;
    this->plan.OnProgress({attempt, tokens},
                          this->environment.generation.clock.Now());
  }
}

void StepRunner::OnDone(const std::string& attempt,
                        const GenerationOutput& output) {
  this->Commit(attempt, output);
  this->RemoveAttempt(attempt);
  this->DispatchSamples();
}

void StepRunner::Commit(const std::string& attempt,
                        const GenerationOutput& output) {
  CommitEntry commit;
  commit.request_id = this->accept.request_id;
  commit.accepted_at = this->accepted_at;
  commit.sample_id = this->running.at(attempt).sample_id;
  commit.attempt = attempt;
  commit.text = output.text;
  commit.tokens = output.tokens;
  commit.spans = output.spans;
  commit.finish_reason = output.finish_reason;
  if (!SpansValid(commit, this->versions.oldest)) {
    this->environment.metrics
        .GetCounter(metrics::kSamples,
                    {{"service", this->policy.service}, {"outcome", "stale"}})
        .Add();
    this->partial_outputs.erase(commit.sample_id);
    this->plan.DropPartial(commit.sample_id);
    this->plan.OnAttemptFailed(attempt, {});
    return;
  }
  this->RecordEvent(EventKind::kFinish, commit.sample_id, attempt, "", "",
                    static_cast<std::int64_t>(commit.tokens));
  this->Write(commit);
}

void StepRunner::OnFailure(const std::string& attempt, const Problem& problem) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  const std::string sample_id = found->second.sample_id;
  const GenerationOutput partial = found->second.generation->Output();
  this->crashes[sample_id] = found->second.generation->Crashes();
  this->RecordEvent(EventKind::kRetry, sample_id, attempt, "", problem.code,
                    static_cast<std::int64_t>(partial.tokens));
  if (IsFinal(problem)) {
    this->RecordFailure(sample_id, problem.code);
    this->RemoveAttempt(attempt);
    return;
  }
  GenerationOutput& kept = this->partial_outputs[sample_id];
  if (partial.tokens > kept.tokens) {
    kept = partial;
  }
  this->plan.OnAttemptFailed(attempt, {partial.text, partial.tokens});
  this->RemoveAttempt(attempt);
  const bool refused = problem.execution == Execution::kNotRun;
  const Milliseconds delay = problem.retry_after.value_or(
      refused ? kDelayAfterRefusal : kDelayAfterFailure);
  const Clock& clock = this->environment.generation.clock;
  this->paused_until = std::max(this->paused_until, clock.Now() + delay);
  this->DispatchSamples();
}

void StepRunner::RecordFailure(const std::string& sample_id,
                               const std::string& code) {
  FailEntry entry;
  entry.request_id = this->accept.request_id;
  entry.accepted_at = this->accepted_at;
  entry.sample_id = sample_id;
  entry.code = code;
  this->Write(entry);
}

bool StepRunner::TryWrite(const RolloutEntry& entry) {
  // The fold reports the result when the entry is read back from the log.
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->environment.writer.Append(EncodeRolloutEntry(entry),
                                           [](LogPosition) {});
  });
  return added.Ok();
}

void StepRunner::Write(RolloutEntry entry) {
  if (!this->TryWrite(entry)) {
    this->unwritten.push_back(std::move(entry));
  }
}

void StepRunner::WriteUnwritten() {
  std::vector<RolloutEntry> entries = std::move(this->unwritten);
  this->unwritten.clear();
  for (RolloutEntry& entry : entries) {
    this->Write(std::move(entry));
  }
}

void StepRunner::RemoveAttempt(const std::string& attempt) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  // A callback of the generation may be on the stack, so the generation is
  // destroyed later, possibly after this runner.
  std::shared_ptr<Generation> retired(std::move(found->second.generation));
  retired->Stop();
  this->running.erase(found);
  this->environment.generation.loop.Post([retired] {});
}

void StepRunner::RecordEvent(EventKind kind,
                             std::string sample_id,
                             std::string attempt,
                             std::string server,
                             std::string detail,
                             std::int64_t number) {
  Event event;
  event.kind = kind;
  event.service = this->policy.service;
  event.request = this->accept.request_id;
  event.step = this->accept.step;
  event.sample = std::move(sample_id);
  event.attempt = std::move(attempt);
  event.server = std::move(server);
  event.detail = std::move(detail);
  event.number = number;
  this->environment.timeline.Record(std::move(event));
}

}  // namespace carobbank
