// Unfinished outputs across jobs and owners: outputs retained from ended jobs,
// sent to a partition's next owner, and received from its previous owner.

#include "job_runner.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

void JobRunner::ReleasePartition(std::int64_t partition) {
  std::vector<SampleOutput> outputs;
  for (const auto& [id, job] : this->jobs) {
    const JobState* const state = job->State();
    if (job->partition->Number() != partition || state == nullptr) {
      continue;
    }
    for (std::size_t index = 0; index < job->samples.size(); ++index) {
      if (auto output = ExtractOutput(job->samples[index],
                                      state->job.samples[index].id)) {
        output->workspace = state->job.workspace;
        outputs.push_back(std::move(*output));
      }
      this->ReleaseAttempt(*state, index, job->samples[index]);
    }
  }
  std::erase_if(this->jobs, [partition](const auto& entry) {
    return entry.second->partition->Number() == partition;
  });
  if (this->transfer_outputs) {
    this->transfer_outputs(partition, outputs);
  }
}

void JobRunner::ReleaseAttempt(const JobState& state,
                               std::size_t index,
                               Progress& progress) {
  // Most samples have no attempt in flight and need no key.
  if (!progress.stream && !progress.reward) {
    return;
  }
  const SampleKey key = MakeSampleKey(state.job, state.job.samples[index]);
  if (progress.stream) {
    this->released_attempts.Add(key, std::move(progress.stream));
  } else {
    this->released_attempts.Add(key, std::move(progress.reward));
  }
}

std::optional<SampleOutput> JobRunner::ExtractOutput(
    Progress& progress,
    const std::string& sample_id) const {
  if (progress.events == 0 || progress.stage == Stage::kFinished) {
    return std::nullopt;
  }
  const bool complete = progress.stage == Stage::kWaitingForScore ||
                        progress.stage == Stage::kScoring;
  if (!complete && !this->IsOfOneSoftware(progress)) {
    return std::nullopt;
  }
  return SampleOutput{sample_id,         std::move(progress.output),
                      progress.events,   progress.last_event_id,
                      progress.versions, progress.software_version,
                      complete,          ""};
}

void JobRunner::ReceiveOutputs(std::vector<SampleOutput> outputs) {
  const MonotonicTime now = this->environment.clock.Now();
  for (SampleOutput& output : outputs) {
    const std::string key = OutputKey(output.workspace, output.sample_id);
    this->retained[key] = {std::move(output), now};
  }
  for (const auto& [id, job] : this->jobs) {
    if (const JobState* const state = job->State()) {
      this->ApplyRetainedOutputs(*job, *state);
    }
  }
  this->ScheduleDispatch();
}

void JobRunner::RetainOutputs(const JobState& state, ActiveJob& job) {
  std::set<std::string, std::less<>> open_groups;
  for (std::size_t index = 0; index < state.has_result.size(); ++index) {
    if (!state.has_result[index]) {
      open_groups.insert(state.job.samples[index].group);
    }
  }
  const MonotonicTime now = this->environment.clock.Now();
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const std::string& sample_id = state.job.samples[index].id;
    if (auto output = ExtractOutput(job.samples[index], sample_id)) {
      output->workspace = state.job.workspace;
      this->retained[OutputKey(state.job.workspace, sample_id)] = {
          std::move(*output), now};
    }
  }
  for (const JobResult& result : state.results) {
    const std::size_t index = *state.IndexOf(result.sample_id);
    if (result.completed &&
        open_groups.contains(state.job.samples[index].group)) {
      SampleOutput output;
      output.sample_id = result.sample_id;
      output.text = result.output;
      output.events = 1;
      output.versions = {result.versions.begin(), result.versions.end()};
      output.complete = true;
      output.workspace = state.job.workspace;
      this->retained[OutputKey(state.job.workspace, result.sample_id)] = {
          std::move(output), now};
    }
  }
}

void JobRunner::ApplyRetainedOutputs(ActiveJob& job, const JobState& state) {
  std::size_t applied = 0;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const auto found = this->retained.find(
        OutputKey(state.job.workspace, state.job.samples[index].id));
    if (found == this->retained.end()) {
      continue;
    }
    SampleOutput output = std::move(found->second.output);
    this->retained.erase(found);
    applied += this->ApplyOutput(job, state, index, std::move(output)) ? 1 : 0;
  }
  if (applied > 0) {
    WriteLog(LogLevel::kInfo, "sample outputs reused",
             {{"job", job.id}, {"outputs", std::to_string(applied)}});
  }
}

bool JobRunner::ApplyOutput(ActiveJob& job,
                            const JobState& state,
                            std::size_t index,
                            SampleOutput output) {
  const HostRoute* const route =
      this->environment.configuration ? this->RouteOf(state) : nullptr;
  const bool single_version = route != nullptr && route->single_version;
  Progress& progress = job.samples[index];
  const bool open =
      progress.stage == Stage::kWaiting || progress.stage == Stage::kGenerating;
  const bool fits =
      (output.versions.empty() ||
       *output.versions.begin() >= state.job.min_version) &&
      !(single_version && (!output.complete || output.versions.size() > 1));
  if (!open || state.has_result[index] || !fits ||
      (!output.complete &&
       (output.events <= progress.events || output.software_version.empty()))) {
    return false;
  }
  this->ReleaseAttempt(state, index, progress);
  progress = Progress();
  progress.output = std::move(output.text);
  progress.events = output.events;
  progress.last_event_id = std::move(output.last_event_id);
  progress.versions = std::move(output.versions);
  progress.software_version = std::move(output.software_version);
  progress.attempts = 1;
  if (output.complete && state.job.samples[index].reward) {
    progress.stage = Stage::kWaitingForScore;
    ++job.waiting_for_score;
  } else if (output.complete) {
    this->Finish(job, state, index, true, "");
  }
  return true;
}

}  // namespace carobbank
