// Scheduling of one step's samples: longest expected first, and duplicates of
// stragglers.

#include "LibRouting/step_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kLongestFirst = "longest_first";
constexpr std::string_view kInOrder = "in_order";
// A sample that exceeds its expected length is expected to grow by one part in
// this many once more.
constexpr std::uint64_t kOverrunDivisor = 4;
constexpr std::uint64_t kProbeUrgency =
    std::numeric_limits<std::uint64_t>::max();

// An attempt without progress for this many token intervals is stalled.
constexpr double kStallTokenIntervals = 128;
// Weight of the newest observation in the moving average of the token interval.
constexpr double kTokenIntervalWeight = 0.05;

double MicrosecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double, std::micro>(to - from).count();
}

}  // namespace

Result<StepPlan> StepPlan::Create(StragglerOptions options,
                                  std::vector<PlannedSample> samples,
                                  std::chrono::microseconds token_interval) {
  if (options.order != kLongestFirst && options.order != kInOrder) {
    return Fail(ErrorKind::kInvalidArgument,
                "unknown sample order '" + options.order + "'",
                "choose longest_first or in_order");
  }
  StepPlan plan;
  plan.options = std::move(options);
  plan.token_interval = token_interval;
  for (PlannedSample& planned : samples) {
    const std::size_t index = plan.samples.size();
    if (!plan.by_id.try_emplace(planned.sample_id, index).second) {
      return Fail(
          ErrorKind::kInvalidArgument,
          "the step lists the sample id '" + planned.sample_id + "' twice",
          "give each sample of the step a unique id");
    }
    plan.groups.try_emplace(planned.group_id);
    Sample sample;
    sample.planned = std::move(planned);
    plan.samples.push_back(std::move(sample));
  }
  plan.counts.pending = plan.samples.size();
  return plan;
}

StepPlan::Sample* StepPlan::FindSample(std::string_view sample_id) {
  const auto found = this->by_id.find(sample_id);
  return found == this->by_id.end() ? nullptr : &this->samples[found->second];
}

const StepPlan::Sample* StepPlan::FindSample(std::string_view sample_id) const {
  const auto found = this->by_id.find(sample_id);
  return found == this->by_id.end() ? nullptr : &this->samples[found->second];
}

std::uint64_t StepPlan::GeneratedTokens(const Sample& sample) const {
  std::uint64_t tokens = sample.partial.tokens;
  for (const Attempt& attempt : sample.attempts) {
    tokens = std::max(tokens, attempt.tokens);
  }
  return tokens;
}

std::uint64_t StepPlan::ExpectedLength(const Sample& sample) const {
  const GroupLengths& group =
      this->groups.find(sample.planned.group_id)->second;
  const std::uint64_t generated = this->GeneratedTokens(sample);
  std::uint64_t expected =
      group.finished > 0 ? group.Mean() : this->all_groups.Mean();
  if (expected == 0) {
    return 0;
  }
  if (generated >= expected) {
    expected = generated + generated / kOverrunDivisor + 1;
  }
  const bool limited = sample.planned.max_tokens > 0;
  return limited ? std::min(expected, sample.planned.max_tokens) : expected;
}

std::uint64_t StepPlan::ExpectedRemaining(const Sample& sample) const {
  const std::uint64_t expected = this->ExpectedLength(sample);
  const std::uint64_t generated = this->GeneratedTokens(sample);
  return expected > generated ? expected - generated : 0;
}

std::uint64_t StepPlan::LongestRemaining() const {
  std::uint64_t longest = 0;
  for (const Sample& sample : this->samples) {
    const bool open = sample.state == SampleState::kPending ||
                      sample.state == SampleState::kRunning;
    if (open) {
      longest = std::max(longest, this->ExpectedRemaining(sample));
    }
  }
  return longest;
}

std::uint64_t StepPlan::Urgency(const Sample& sample) const {
  const GroupLengths& group =
      this->groups.find(sample.planned.group_id)->second;
  // One sample of each group starts first; its length is the estimate for the
  // rest of the group.
  if (group.started == 0) {
    return kProbeUrgency;
  }
  return std::max(this->ExpectedRemaining(sample), sample.partial.tokens);
}

std::optional<std::size_t> StepPlan::PickPending() const {
  std::optional<std::size_t> best;
  std::uint64_t best_urgency = 0;
  for (std::size_t index = 0; index < this->samples.size(); ++index) {
    const Sample& sample = this->samples[index];
    if (sample.state != SampleState::kPending) {
      continue;
    }
    if (this->options.order == kInOrder) {
      return index;
    }
    const std::uint64_t urgency = this->Urgency(sample);
    if (!best || urgency > best_urgency) {
      best = index;
      best_urgency = urgency;
    }
  }
  return best;
}

Dispatch StepPlan::Start(std::size_t index,
                         std::string attempt,
                         MonotonicTime now,
                         bool duplicate) {
  Sample& sample = this->samples[index];
  Dispatch dispatch;
  dispatch.sample_id = sample.planned.sample_id;
  dispatch.attempt = attempt;
  dispatch.expected_tokens = this->ExpectedLength(sample);
  dispatch.duplicate = duplicate;
  if (duplicate) {
    dispatch.original_attempt = sample.attempts.front().name;
  } else {
    dispatch.partial = sample.partial;
  }
  const std::uint64_t remaining_difference =
      this->LongestRemaining() - this->ExpectedRemaining(sample);
  dispatch.slack = std::chrono::duration_cast<Milliseconds>(
      this->token_interval * static_cast<std::int64_t>(remaining_difference));

  Attempt started;
  started.name = attempt;
  started.tokens = this->GeneratedTokens(sample);
  started.resumed_tokens = started.tokens;
  started.started = now;
  started.last_progress = now;
  started.duplicate = duplicate;
  sample.attempts.push_back(std::move(started));
  this->by_attempt.insert_or_assign(std::move(attempt), index);
  return dispatch;
}

std::optional<Dispatch> StepPlan::Next(std::string attempt, MonotonicTime now) {
  const std::optional<std::size_t> index = this->PickPending();
  if (!index) {
    return std::nullopt;
  }
  Sample& sample = this->samples[*index];
  sample.state = SampleState::kRunning;
  --this->counts.pending;
  ++this->counts.running;
  Dispatch dispatch = this->Start(*index, std::move(attempt), now, false);
  ++this->groups.find(sample.planned.group_id)->second.started;
  return dispatch;
}

double StepPlan::TokenInterval() const {
  return this->observed_token_interval > 0
             ? this->observed_token_interval
             : static_cast<double>(this->token_interval.count());
}

double StepPlan::RemainingTime(const Sample& sample, MonotonicTime now) const {
  const Attempt& original = sample.attempts.front();
  const std::uint64_t new_tokens = original.tokens - original.resumed_tokens;
  const double interval =
      new_tokens == 0
          ? this->TokenInterval()
          : MicrosecondsBetween(original.started, original.last_progress) /
                static_cast<double>(new_tokens);
  const auto remaining = static_cast<double>(this->ExpectedRemaining(sample));
  const double since_progress =
      MicrosecondsBetween(original.last_progress, now);
  // Progress is reported in steps, so a short gap is no stall. After a long gap
  // the remaining time is at least as long as the gap.
  const bool stalled =
      since_progress > kStallTokenIntervals * this->TokenInterval();
  return stalled ? std::max(remaining * interval, since_progress)
                 : remaining * interval;
}

bool StepPlan::ShouldDuplicate(const Sample& sample, MonotonicTime now) const {
  if (sample.state != SampleState::kRunning ||
      sample.attempts.size() >= this->options.max_attempts_per_sample) {
    return false;
  }
  const std::uint64_t tokens = this->options.duplicates_resume
                                   ? this->ExpectedRemaining(sample)
                                   : this->ExpectedLength(sample);
  const double needed = static_cast<double>(tokens) * this->TokenInterval();
  const double remaining = this->RemainingTime(sample, now);
  return needed <= (1 - this->options.minimum_gain) * remaining;
}

std::optional<Dispatch> StepPlan::NextDuplicate(std::string attempt,
                                                MonotonicTime now) {
  const std::size_t unfinished = this->counts.pending + this->counts.running;
  const double allowed = std::ceil(this->options.duplicate_fraction *
                                   static_cast<double>(this->samples.size()));
  if (this->counts.pending > 0 || static_cast<double>(unfinished) > allowed ||
      this->counts.duplicates >= this->options.max_duplicates) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < this->samples.size(); ++index) {
    const Sample& sample = this->samples[index];
    if (!this->ShouldDuplicate(sample, now)) {
      continue;
    }
    if (!best || this->ExpectedRemaining(sample) >
                     this->ExpectedRemaining(this->samples[*best])) {
      best = index;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  ++this->counts.duplicates;
  return this->Start(*best, std::move(attempt), now, true);
}

void StepPlan::RecordTokenInterval(const Attempt& attempt,
                                   std::uint64_t tokens,
                                   MonotonicTime now) {
  if (attempt.tokens == attempt.resumed_tokens) {
    // The time to the first token is not a token interval.
    return;
  }
  const double observed = MicrosecondsBetween(attempt.last_progress, now) /
                          static_cast<double>(tokens - attempt.tokens);
  this->observed_token_interval =
      this->observed_token_interval == 0
          ? observed
          : this->observed_token_interval +
                kTokenIntervalWeight *
                    (observed - this->observed_token_interval);
}

void StepPlan::OnProgress(const AttemptProgress& progress, MonotonicTime now) {
  const auto found = this->by_attempt.find(progress.attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  for (Attempt& attempt : this->samples[found->second].attempts) {
    if (attempt.name == progress.attempt && progress.tokens > attempt.tokens) {
      this->RecordTokenInterval(attempt, progress.tokens, now);
      attempt.tokens = progress.tokens;
      attempt.last_progress = now;
    }
  }
}

void StepPlan::OnAttemptFailed(std::string_view attempt,
                               PartialSample partial) {
  const auto found = this->by_attempt.find(attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  Sample& sample = this->samples[found->second];
  this->by_attempt.erase(found);
  const auto failed_attempt = std::find_if(
      sample.attempts.begin(), sample.attempts.end(),
      [&](const Attempt& candidate) { return candidate.name == attempt; });
  this->counts.duplicates -= failed_attempt->duplicate ? 1 : 0;
  sample.attempts.erase(failed_attempt);
  if (partial.tokens > sample.partial.tokens) {
    sample.partial = std::move(partial);
  }
  if (sample.attempts.empty()) {
    sample.state = SampleState::kPending;
    --this->counts.running;
    ++this->counts.pending;
  } else if (sample.attempts.front().duplicate) {
    // The original failed, so its duplicate becomes the original.
    sample.attempts.front().duplicate = false;
    --this->counts.duplicates;
  }
}

void StepPlan::DropPartial(std::string_view sample_id) {
  if (Sample* sample = this->FindSample(sample_id)) {
    sample->partial = PartialSample();
  }
}

std::vector<std::string> StepPlan::EndSample(std::string_view sample_id,
                                             SampleState state) {
  std::vector<std::string> cancelled;
  Sample* sample = this->FindSample(sample_id);
  const bool open =
      sample != nullptr && (sample->state == SampleState::kPending ||
                            sample->state == SampleState::kRunning);
  if (!open) {
    return cancelled;
  }
  --(sample->state == SampleState::kPending ? this->counts.pending
                                            : this->counts.running);
  ++(state == SampleState::kFinished ? this->counts.finished
                                     : this->counts.failed);
  sample->state = state;
  sample->partial = PartialSample();
  for (Attempt& attempt : sample->attempts) {
    this->counts.duplicates -= attempt.duplicate ? 1 : 0;
    this->by_attempt.erase(attempt.name);
    cancelled.push_back(std::move(attempt.name));
  }
  sample->attempts.clear();
  return cancelled;
}

std::vector<std::string> StepPlan::OnFinished(std::string_view sample_id,
                                              std::uint64_t tokens) {
  const Sample* sample = this->FindSample(sample_id);
  const bool counts = sample != nullptr &&
                      sample->state != SampleState::kFinished &&
                      sample->state != SampleState::kFailed;
  if (counts) {
    GroupLengths& group = this->groups.find(sample->planned.group_id)->second;
    for (GroupLengths* lengths : {&group, &this->all_groups}) {
      ++lengths->finished;
      lengths->total_tokens += tokens;
    }
  }
  return this->EndSample(sample_id, SampleState::kFinished);
}

std::vector<std::string> StepPlan::OnFailed(std::string_view sample_id) {
  return this->EndSample(sample_id, SampleState::kFailed);
}

bool StepPlan::Done() const {
  return this->counts.pending == 0 && this->counts.running == 0;
}

SampleState StepPlan::StateOf(std::string_view sample_id) const {
  const Sample* sample = this->FindSample(sample_id);
  return sample == nullptr ? SampleState::kFailed : sample->state;
}

std::uint64_t StepPlan::ExpectedTokens(std::string_view sample_id) const {
  const Sample* sample = this->FindSample(sample_id);
  return sample == nullptr ? 0 : this->ExpectedLength(*sample);
}

}  // namespace carobbank
