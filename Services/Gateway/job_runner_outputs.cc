// Texts in progress across jobs and owners: what a job leaves over, what goes
// to the next owner of a partition, and what comes from the one before.

#include "job_runner.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

void JobRunner::GiveUp(std::int64_t partition) {
  std::vector<SampleOutput> texts;
  for (const auto& [id, job] : this->jobs) {
    const JobState* const state = job->State();
    if (job->partition->Number() != partition || state == nullptr) {
      continue;
    }
    for (std::size_t index = 0; index < job->samples.size(); ++index) {
      if (auto text =
              TextOf(job->samples[index], state->job.samples[index].id)) {
        texts.push_back(std::move(*text));
      }
    }
  }
  std::erase_if(this->jobs, [partition](const auto& entry) {
    return entry.second->partition->Number() == partition;
  });
  if (this->transfer_outputs) {
    this->transfer_outputs(partition, texts);
  }
}

std::optional<SampleOutput> JobRunner::TextOf(Progress& progress,
                                              const std::string& sample_id) {
  if (progress.events == 0 || progress.stage == Stage::kFinished) {
    return std::nullopt;
  }
  const bool whole = progress.stage == Stage::kWaitingForScore ||
                     progress.stage == Stage::kScoring;
  return SampleOutput{sample_id,         std::move(progress.text),
                      progress.events,   progress.last_event_id,
                      progress.versions, whole};
}

void JobRunner::ReceiveOutputs(std::vector<SampleOutput> texts) {
  const MonotonicTime now = this->environment.clock.Now();
  for (SampleOutput& text : texts) {
    const std::string sample_id = text.sample_id;
    this->carried[sample_id] = {std::move(text), now};
  }
  for (const auto& [id, job] : this->jobs) {
    if (const JobState* const state = job->State()) {
      this->TakeCarried(*job, *state);
    }
  }
  this->ScheduleDispatch();
}

void JobRunner::CarryOver(const JobState& state, ActiveJob& job) {
  std::set<std::string, std::less<>> open_groups;
  for (std::size_t index = 0; index < state.has_result.size(); ++index) {
    if (!state.has_result[index]) {
      open_groups.insert(state.job.samples[index].group);
    }
  }
  const MonotonicTime now = this->environment.clock.Now();
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const std::string& sample_id = state.job.samples[index].id;
    if (auto text = TextOf(job.samples[index], sample_id)) {
      this->carried[sample_id] = {std::move(*text), now};
    }
  }
  for (const JobResult& result : state.results) {
    const std::size_t index = *state.IndexOf(result.sample_id);
    if (result.completed &&
        open_groups.contains(state.job.samples[index].group)) {
      SampleOutput text;
      text.sample_id = result.sample_id;
      text.text = result.output;
      text.events = 1;
      text.versions = {result.versions.begin(), result.versions.end()};
      text.complete = true;
      this->carried[result.sample_id] = {std::move(text), now};
    }
  }
}

void JobRunner::TakeCarried(ActiveJob& job, const JobState& state) {
  std::size_t taken = 0;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const auto found = this->carried.find(state.job.samples[index].id);
    if (found == this->carried.end()) {
      continue;
    }
    SampleOutput text = std::move(found->second.text);
    this->carried.erase(found);
    taken += this->TakeText(job, state, index, std::move(text)) ? 1 : 0;
  }
  if (taken > 0) {
    WriteLog(LogLevel::kInfo, "texts carried over",
             {{"job", job.id}, {"texts", std::to_string(taken)}});
  }
}

bool JobRunner::TakeText(ActiveJob& job,
                         const JobState& state,
                         std::size_t index,
                         SampleOutput text) {
  const HostRoute* const route =
      this->environment.configuration ? this->RouteOf(state) : nullptr;
  const bool single_version = route != nullptr && route->single_version;
  Progress& progress = job.samples[index];
  const bool open =
      progress.stage == Stage::kWaiting || progress.stage == Stage::kGenerating;
  const bool fits =
      (text.versions.empty() ||
       *text.versions.begin() >= state.job.min_version) &&
      !(single_version && (!text.complete || text.versions.size() > 1));
  if (!open || state.has_result[index] || !fits ||
      (!text.complete && text.events <= progress.events)) {
    return false;
  }
  progress = Progress();
  progress.text = std::move(text.text);
  progress.events = text.events;
  progress.last_event_id = std::move(text.last_event_id);
  progress.versions = std::move(text.versions);
  if (text.complete && state.job.samples[index].reward) {
    progress.stage = Stage::kWaitingForScore;
    ++job.waiting_for_score;
  } else if (text.complete) {
    this->Finish(job, state, index, true, "");
  }
  return true;
}

}  // namespace carobbank
