// What the placement strategy needs to know of a sample and its job, and the
// moves of samples that delay their job.

#include "job_runner.h"

#include <algorithm>

#include "send_permits.h"

namespace carobbank {

namespace {

// The lengths of a job's samples are estimated anew at most this often.
constexpr Milliseconds kEstimatePeriod{500};
// A stream whose events are late by this is silent: its server may be paused,
// or slower than before.
constexpr double kSilentEvents = 4;
constexpr double kSilentMarginMs = 100;

}  // namespace

std::optional<ExpectedEvents> JobRunner::RemainingEvents(
    const JobState& state,
    std::size_t index,
    const Progress& progress) const {
  const JobSample& sample = state.job.samples[index];
  return this->placement.estimator.Remaining(
      this->ServiceOfSample(state, index), sample.expected_output_tokens,
      progress.events);
}

void JobRunner::RecordLength(const JobState& state,
                             std::size_t index,
                             const Progress& progress) {
  const JobSample& sample = state.job.samples[index];
  this->placement.estimator.OnCompleted(this->ServiceOfSample(state, index),
                                        sample.expected_output_tokens,
                                        progress.events);
}

void JobRunner::EstimateLongest(ActiveJob& job, const JobState& state) {
  const MonotonicTime now = this->environment.clock.Now();
  if (job.estimated_at != MonotonicTime::min() &&
      now - job.estimated_at < kEstimatePeriod) {
    return;
  }
  job.estimated_at = now;
  job.longest_events = 0;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const Progress& progress = job.samples[index];
    if (progress.stage != Stage::kWaiting &&
        progress.stage != Stage::kGenerating) {
      continue;
    }
    if (const auto events = this->RemainingEvents(state, index, progress)) {
      job.longest_events = std::max(job.longest_events, events->mean);
    }
  }
}

SampleChoice JobRunner::ChoiceOf(ActiveJob& job,
                                 const JobState& state,
                                 std::size_t index,
                                 const std::string& service) {
  SampleChoice choice;
  if (!this->placement.ByExpectedEnd(service)) {
    return choice;
  }
  this->EstimateLongest(job, state);
  choice.strategy = &this->placement.StrategyOf(service);
  choice.work.events = this->RemainingEvents(state, index, job.samples[index]);
  choice.work.job_left_ms =
      job.longest_events * this->placement.FastEventMsOf(service);
  return choice;
}

bool JobRunner::MoveStraggler(ActiveJob& job,
                              const JobState& state,
                              std::size_t index,
                              std::vector<const FleetServer*>& servers) {
  Progress& progress = job.samples[index];
  BackendLoads& loads = this->environment.loads;
  const MonotonicTime now = this->environment.clock.Now();
  const std::string server_id = progress.stream->ServerId();
  const ServerPace* const pace = loads.Paces().Find(server_id);
  if (pace == nullptr || !pace->IsKnown()) {
    return false;
  }
  RunningSample running;
  running.server_id = server_id;
  running.moves = progress.moves;
  const auto silence = std::chrono::duration_cast<Milliseconds>(
      now - progress.stream->LastActivity());
  if (static_cast<double>(silence.count()) >
      kSilentMarginMs +
          kSilentEvents * pace->EventMs(loads.InFlight(server_id), now)) {
    running.silence = silence;
    loads.RecordSilence(server_id, silence, now);
  }
  const std::string& service = this->ServiceOfSample(state, index);
  const SampleChoice choice = this->ChoiceOf(job, state, index, service);
  if (!DelaysJob(choice.work, running, loads, now)) {
    return false;
  }
  if (!this->IsOfOneSoftware(progress)) {
    // Its output could not go on at the other server.
    this->RequestConfirmations(progress);
    return false;
  }
  // The targets must be able to continue the output.
  std::vector<const FleetServer*> targets = servers;
  std::erase_if(targets, [&](const FleetServer* server) {
    return server->software_version != progress.software_version ||
           this->environment.permits.NeedsPermit(*server);
  });
  BackendQuery query;
  query.servers = targets;
  query.excluded = progress.excluded.Ids();
  query.data_center = this->environment.settings.data_center;
  const FleetServer* const target =
      ChooseMoveTarget(query, choice.work, running, loads, now);
  if (target == nullptr) {
    return false;
  }
  std::erase(servers, target);
  ++progress.moves;
  this->placement.CountMove(service);
  progress.stream->Abort(SendOutcome::kCancelled,
                         "a faster server has free capacity");
  return true;
}

}  // namespace carobbank
