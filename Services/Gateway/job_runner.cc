// Starts jobs, orders their samples, records results and removes expired jobs.

#include "job_runner.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "LibProcess/process.h"
#include "request_quarantine.h"

namespace carobbank {

namespace {

// Period of the checks for unresponsive streams and passed deadlines; well
// below the shortest timeout of a stream.
constexpr Milliseconds kTickPeriod{200};
// Delay before a sample without a route looks for it again.
constexpr Milliseconds kRouteCheckPeriod{100};
// Ended and completed jobs are deleted from the log after the time for which
// their results must be readable, plus this margin for clock differences.
constexpr Milliseconds kRemovalMargin{30'000};
constexpr Milliseconds kRemovalPeriod{5'000};
// A trainer submits the unfinished samples of a step again with one of its next
// steps.
constexpr Milliseconds kOutputRetention{60'000};
// A sample counts as long if its expected output is this many times the mean of
// its job. Long samples are the ones that may be unfinished when the step ends.
constexpr double kLongSampleFactor = 1.5;

// Delay before the first repeat of a rejected request; each further one waits
// longer by this factor, so that a brief cause may pass.
constexpr Milliseconds kRejectionBackoff{100};
constexpr std::int64_t kRejectionBackoffGrowth = 4;
// A sample must be tried again within a few seconds as long as its job is open.
constexpr Milliseconds kMaxRejectionBackoff{2'000};

std::int64_t LongTokens(std::span<const JobSample> samples) {
  std::int64_t sum = 0;
  for (const JobSample& sample : samples) {
    sum += sample.expected_output_tokens;
  }
  return static_cast<std::int64_t>(kLongSampleFactor *
                                   static_cast<double>(sum) /
                                   static_cast<double>(samples.size()));
}

std::vector<std::size_t> LongestFirst(std::span<const JobSample> samples) {
  std::vector<std::size_t> order(samples.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [samples](std::size_t left, std::size_t right) {
                     return samples[left].expected_output_tokens >
                            samples[right].expected_output_tokens;
                   });
  return order;
}

}  // namespace

JobRunner::JobRunner(
    GatewayEnvironment& environment,
    const std::vector<std::unique_ptr<JobPartition>>& partitions,
    OutputTransferCallback transfer_outputs)
    : environment(environment),
      partitions(partitions),
      transfer_outputs(std::move(transfer_outputs)),
      released_attempts(environment),
      start_checks(environment, [this] { this->ScheduleDispatch(); }),
      placement(environment) {
  this->Tick();
}

JobRunner::~JobRunner() {
  *this->alive = false;
}

void JobRunner::SetOwned(std::set<std::int64_t> owned_now) {
  if (owned_now == this->owned) {
    return;
  }
  const std::set<std::int64_t> before =
      std::exchange(this->owned, std::move(owned_now));
  for (const std::int64_t partition : before) {
    if (!this->owned.contains(partition)) {
      this->ReleasePartition(partition);
    }
  }
  for (const std::int64_t partition : this->owned) {
    this->Reconcile(partition);
  }
}

void JobRunner::Reconcile(std::int64_t number) {
  if (!this->owned.contains(number)) {
    return;
  }
  for (const auto& partition : this->partitions) {
    // Until all records are read, the fold may lack the end of a job that is
    // already in the log.
    if (partition->Number() != number || !partition->Synced()) {
      continue;
    }
    this->RemoveMissingJobs(*partition);
    for (const JobState* const state : partition->Fold().Jobs()) {
      this->UpdateActiveJob(*partition, *state);
    }
  }
  this->ScheduleDispatch();
}

void JobRunner::RemoveMissingJobs(const JobPartition& partition) {
  std::erase_if(this->jobs, [&partition](const auto& entry) {
    return entry.second->partition == &partition && !entry.second->State();
  });
}

Milliseconds JobRunner::AgeOf(const JobState& state) const {
  return Milliseconds(this->environment.clock.WallNow() -
                      state.job.accepted_at);
}

Milliseconds JobRunner::RejectionBackoff(std::int64_t rejections) {
  Milliseconds delay = kRejectionBackoff;
  for (std::int64_t repeat = 1;
       repeat < rejections && delay < kMaxRejectionBackoff; ++repeat) {
    delay *= kRejectionBackoffGrowth;
  }
  return std::min(delay, kMaxRejectionBackoff);
}

Milliseconds JobRunner::TimeLeftOf(const JobState& state) const {
  return std::max(state.job.abandon_after - this->AgeOf(state),
                  Milliseconds(1));
}

bool JobRunner::StillOpen(const JobState& state) const {
  return !state.ended && !state.Complete();
}

void JobRunner::LogJobFinished(const JobState& state,
                               const ActiveJob& job) const {
  std::size_t waiting = 0;
  std::size_t unscored = 0;
  for (const Progress& progress : job.samples) {
    waiting += progress.stage == Stage::kWaiting ? 1 : 0;
    unscored += progress.stage == Stage::kWaitingForScore ||
                        progress.stage == Stage::kScoring
                    ? 1
                    : 0;
  }
  WriteLog(LogLevel::kInfo, "job finished",
           {{"job", state.job.id},
            {"step", std::to_string(state.job.step)},
            {"results", std::to_string(state.results.size())},
            {"samples", std::to_string(state.has_result.size())},
            {"waiting", std::to_string(waiting)},
            {"unscored", std::to_string(unscored)},
            {"starts", std::to_string(job.starts)},
            {"last_start_ms", std::to_string(job.last_start.count())},
            {"ended_by_caller", state.ended ? "true" : "false"},
            {"age_ms", std::to_string(this->AgeOf(state).count())}});
}

void JobRunner::UpdateActiveJob(JobPartition& partition,
                                const JobState& state) {
  if (!this->StillOpen(state)) {
    const auto finished = this->jobs.find(state.job.id);
    if (finished != this->jobs.end()) {
      this->LogJobFinished(state, *finished->second);
      ActiveJob& job = *finished->second;
      this->RetainOutputs(state, job);
      for (std::size_t index = 0; index < job.samples.size(); ++index) {
        this->ReleaseAttempt(state, index, job.samples[index]);
      }
      this->jobs.erase(finished);
    }
    return;
  }
  std::unique_ptr<ActiveJob>& job = this->jobs[state.job.id];
  if (!job) {
    job = std::make_unique<ActiveJob>();
    job->partition = &partition;
    job->id = state.job.id;
    job->begun_at = this->environment.clock.Now();
    job->read_at = this->environment.clock.BootNow();
    job->accepted_at = state.job.accepted_at;
    job->due = state.job.due;
    job->samples.resize(state.job.samples.size());
    job->start_order = LongestFirst(state.job.samples);
    job->long_tokens = LongTokens(state.job.samples);
    WriteLog(LogLevel::kInfo, "job started",
             {{"job", job->id},
              {"model", state.job.model},
              {"step", std::to_string(state.job.step)},
              {"min_version", std::to_string(state.job.min_version)},
              {"samples", std::to_string(job->samples.size())},
              {"results", std::to_string(state.results.size())},
              {"partition", std::to_string(partition.Number())},
              {"age_ms", std::to_string(this->AgeOf(state).count())}});
    this->ApplyRetainedOutputs(*job, state);
  }
  this->MarkRecorded(*job, state);
}

void JobRunner::MarkRecorded(ActiveJob& job, const JobState& state) {
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    Progress& progress = job.samples[index];
    if (state.has_result[index] && progress.stage != Stage::kFinished) {
      job.waiting_for_score -=
          progress.stage == Stage::kWaitingForScore ? 1 : 0;
      this->ReleaseAttempt(state, index, progress);
      progress = Progress();
      progress.stage = Stage::kFinished;
    }
  }
}

std::size_t JobRunner::RunningSamples() const {
  std::size_t running = 0;
  for (const auto& [id, job] : this->jobs) {
    running += static_cast<std::size_t>(std::count_if(
        job->samples.begin(), job->samples.end(), [](const Progress& sample) {
          return sample.stage == Stage::kGenerating ||
                 sample.stage == Stage::kScoring;
        }));
  }
  return running;
}

void JobRunner::ScheduleDispatch() {
  if (this->dispatch_posted) {
    return;
  }
  this->dispatch_posted = true;
  this->environment.loop.Post([this, kept = this->alive] {
    if (*kept) {
      this->dispatch_posted = false;
      this->DispatchSamples();
    }
  });
}

// Jobs that are not overdue come first; within both classes the oldest first.
std::vector<JobRunner::ActiveJob*> JobRunner::JobsInOrder() const {
  const WallMilliseconds now = this->environment.clock.WallNow();
  const auto overdue = [now](const ActiveJob* job) {
    return now > job->accepted_at + job->due.count();
  };
  std::vector<ActiveJob*> ordered;
  for (const auto& [id, job] : this->jobs) {
    ordered.push_back(job.get());
  }
  std::sort(
      ordered.begin(), ordered.end(),
      [&](const ActiveJob* left, const ActiveJob* right) {
        return std::make_tuple(overdue(left), left->accepted_at, left->id) <
               std::make_tuple(overdue(right), right->accepted_at, right->id);
      });
  return ordered;
}

void JobRunner::DispatchSamples() {
  this->ended_streams.clear();
  this->ended_calls.clear();
  // Samples may have failed too often under earlier owners.
  if (!this->environment.configuration ||
      !this->environment.quarantine.Settled()) {
    return;
  }
  for (ActiveJob* const job : this->JobsInOrder()) {
    const JobState* const state = job->State();
    if (state == nullptr) {
      continue;
    }
    if (job->confirming > 0) {
      this->ConfirmOutputs(*job, *state);
    }
    this->StartScores(*job, *state);
    this->StartSamples(*job, *state);
  }
}

const HostRoute* JobRunner::RouteOf(const JobState& state) const {
  return this->environment.configuration->routes.Find(state.job.host,
                                                      state.job.path);
}

bool JobRunner::KnowsRoutesOf(const ActiveJob& job) const {
  const auto& confirmed_at = this->environment.configuration_confirmed_at;
  return !confirmed_at || confirmed_at() >= job.read_at;
}

void JobRunner::FinishWithoutRoute(ActiveJob& job,
                                   const JobState& state,
                                   std::size_t index) {
  Progress& progress = job.samples[index];
  if (!this->KnowsRoutesOf(job)) {
    progress.not_before = this->environment.clock.Now() + kRouteCheckPeriod;
    return;
  }
  if (!std::exchange(job.route_removed, true)) {
    WriteLog(LogLevel::kWarning,
             "samples of a job are given up: their route was removed",
             {{"job", job.id},
              {"sample", state.job.samples[index].id},
              {"configuration",
               std::to_string(this->environment.configuration->version)}});
  }
  job.waiting_for_score -= progress.stage == Stage::kWaitingForScore ? 1 : 0;
  this->Finish(job, state, index, false, "");
}

void JobRunner::Finish(ActiveJob& job,
                       const JobState& state,
                       std::size_t index,
                       bool completed,
                       std::string score) {
  Progress& progress = job.samples[index];
  JobResult result;
  result.sample_id = state.job.samples[index].id;
  result.completed = completed;
  if (completed) {
    result.output = std::move(progress.output);
    result.versions.assign(progress.versions.begin(), progress.versions.end());
    result.score = std::move(score);
  }
  this->ReleaseAttempt(state, index, progress);
  progress = Progress();
  progress.stage = Stage::kFinished;
  JobWrite write;
  write.records.push_back(EncodeResult(job.id, result));
  write.allow_batching = true;
  write.is_redundant = [id = job.id,
                        sample = result.sample_id](const JobFold& fold) {
    const JobState* const current = fold.Find(id);
    if (current == nullptr || current->ended) {
      return true;
    }
    const std::optional<std::size_t> found = current->IndexOf(sample);
    return !found || current->has_result[*found];
  };
  job.partition->Write(std::move(write));
}

void JobRunner::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    const std::vector<ActiveJob*> ordered = this->JobsInOrder();
    for (ActiveJob* const job : ordered) {
      this->AbortUnresponsiveStreams(*job);
      this->MoveFromSlowServers(*job);
      const JobState* const state = job->State();
      if (state != nullptr) {
        this->ConfirmOutputs(*job, *state);
      }
      if (state != nullptr && this->AgeOf(*state) > state->job.abandon_after) {
        this->FailExpiredSamples(*job, *state);
      }
    }
    this->released_attempts.AbortUnresponsive(kFirstEventTimeout);
    if (!ordered.empty()) {
      this->DispatchSamples();
    }
    this->RemoveExpiredJobs();
  });
}

void JobRunner::FailExpiredSamples(ActiveJob& job, const JobState& state) {
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    if (job.samples[index].stage != Stage::kFinished) {
      this->Finish(job, state, index, false, "");
    }
  }
  job.waiting_for_score = 0;
}

void JobRunner::RemoveExpiredJobs() {
  const MonotonicTime now = this->environment.clock.Now();
  if (this->last_removal != MonotonicTime::min() &&
      now - this->last_removal < kRemovalPeriod) {
    return;
  }
  this->last_removal = now;
  this->start_checks.RemoveUnknown();
  std::erase_if(this->retained, [now](const auto& entry) {
    return now - entry.second.retained_at > kOutputRetention;
  });
  const Milliseconds result_retention =
      std::chrono::seconds(this->environment.settings.results_kept_s) +
      kRemovalMargin;
  for (const auto& partition : this->partitions) {
    if (!this->owned.contains(partition->Number())) {
      continue;
    }
    for (const JobState* const state : partition->Fold().Jobs()) {
      if (this->StillOpen(*state) || this->AgeOf(*state) < result_retention) {
        continue;
      }
      JobWrite write;
      for (const std::string& key : partition->Fold().KeysOf(state->job.id)) {
        write.records.push_back({key, ""});
      }
      write.allow_batching = true;
      write.is_redundant = [id = state->job.id](const JobFold& fold) {
        return fold.Find(id) == nullptr;
      };
      partition->Write(std::move(write));
    }
  }
}

}  // namespace carobbank
