// The plan of one step's samples.

#include "LibRouting/step_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kLongestFirst = "longest_first";
constexpr std::string_view kInOrder = "in_order";
// A sample that has outgrown what its siblings promised is expected to grow by
// this share once more.
constexpr std::uint64_t kOutgrownDivisor = 4;
constexpr std::uint64_t kProbeFirst = std::numeric_limits<std::uint64_t>::max();

// A silence of this many token times counts as a stall.
constexpr double kStallTokens = 128;
// Weight of the newest observation in the moving mean of token times.
constexpr double kLearningRate = 0.05;

double MicrosecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double, std::micro>(to - from).count();
}

}  // namespace

Result<StepPlan> StepPlan::Create(StragglerOptions options,
                                  std::vector<PlannedSample> samples,
                                  std::chrono::microseconds token_time) {
  if (options.order != kLongestFirst && options.order != kInOrder) {
    return Fail(ErrorKind::kInvalidArgument,
                "unknown order of samples '" + options.order + "'",
                "choose longest_first or in_order");
  }
  StepPlan plan;
  plan.options = std::move(options);
  plan.token_time = token_time;
  for (PlannedSample& planned : samples) {
    const std::size_t index = plan.samples.size();
    if (!plan.by_id.try_emplace(planned.sample_id, index).second) {
      return Fail(ErrorKind::kInvalidArgument,
                  "the sample '" + planned.sample_id + "' is planned twice",
                  "give each sample of the step its own id");
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

std::uint64_t StepPlan::Generated(const Sample& sample) const {
  std::uint64_t tokens = sample.partial.tokens;
  for (const Attempt& attempt : sample.attempts) {
    tokens = std::max(tokens, attempt.tokens);
  }
  return tokens;
}

std::uint64_t StepPlan::Expected(const Sample& sample) const {
  const GroupLengths& group =
      this->groups.find(sample.planned.group_id)->second;
  const std::uint64_t generated = this->Generated(sample);
  std::uint64_t expected = group.finished > 0 ? group.Mean() : this->all.Mean();
  if (expected == 0) {
    return 0;
  }
  if (generated >= expected) {
    expected = generated + generated / kOutgrownDivisor + 1;
  }
  const bool limited = sample.planned.max_tokens > 0;
  return limited ? std::min(expected, sample.planned.max_tokens) : expected;
}

std::uint64_t StepPlan::ExpectedRest(const Sample& sample) const {
  const std::uint64_t expected = this->Expected(sample);
  const std::uint64_t generated = this->Generated(sample);
  return expected > generated ? expected - generated : 0;
}

std::uint64_t StepPlan::LongestRest() const {
  std::uint64_t longest = 0;
  for (const Sample& sample : this->samples) {
    const bool open = sample.state == SampleState::kPending ||
                      sample.state == SampleState::kRunning;
    if (open) {
      longest = std::max(longest, this->ExpectedRest(sample));
    }
  }
  return longest;
}

std::uint64_t StepPlan::Urgency(const Sample& sample) const {
  const GroupLengths& group =
      this->groups.find(sample.planned.group_id)->second;
  // One sample of each group first: it tells how long its siblings are.
  if (group.started == 0) {
    return kProbeFirst;
  }
  return std::max(this->ExpectedRest(sample), sample.partial.tokens);
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
  dispatch.expected_tokens = this->Expected(sample);
  dispatch.duplicate = duplicate;
  if (duplicate) {
    dispatch.beside = sample.attempts.front().name;
  } else {
    dispatch.partial = sample.partial;
  }
  const std::uint64_t rest_beyond =
      this->LongestRest() - this->ExpectedRest(sample);
  dispatch.slack = std::chrono::duration_cast<Milliseconds>(
      this->token_time * static_cast<std::int64_t>(rest_beyond));

  Attempt started;
  started.name = attempt;
  started.tokens = this->Generated(sample);
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

double StepPlan::TokenTime() const {
  return this->learned_token_time > 0
             ? this->learned_token_time
             : static_cast<double>(this->token_time.count());
}

double StepPlan::RestTime(const Sample& sample, MonotonicTime now) const {
  const Attempt& original = sample.attempts.front();
  const std::uint64_t made = original.tokens - original.resumed_tokens;
  const double pace = made == 0 ? this->TokenTime()
                                : MicrosecondsBetween(original.started,
                                                      original.last_progress) /
                                      static_cast<double>(made);
  const auto rest = static_cast<double>(this->ExpectedRest(sample));
  const double silence = MicrosecondsBetween(original.last_progress, now);
  // Progress comes in steps, so a short silence says nothing. After a long one
  // as much again is to be expected.
  const bool stalled = silence > kStallTokens * this->TokenTime();
  return stalled ? std::max(rest * pace, silence) : rest * pace;
}

bool StepPlan::WorthDuplicating(const Sample& sample, MonotonicTime now) const {
  if (sample.state != SampleState::kRunning ||
      sample.attempts.size() >= this->options.max_attempts_per_sample) {
    return false;
  }
  const std::uint64_t tokens = this->options.duplicates_resume
                                   ? this->ExpectedRest(sample)
                                   : this->Expected(sample);
  const double needed = static_cast<double>(tokens) * this->TokenTime();
  const double rest = this->RestTime(sample, now);
  return needed <= (1 - this->options.minimum_gain) * rest;
}

std::optional<Dispatch> StepPlan::NextDuplicate(std::string attempt,
                                                MonotonicTime now) {
  const std::size_t unfinished = this->counts.pending + this->counts.running;
  const double allowed = std::ceil(this->options.duplicate_share *
                                   static_cast<double>(this->samples.size()));
  if (this->counts.pending > 0 || static_cast<double>(unfinished) > allowed ||
      this->counts.duplicates >= this->options.max_duplicates) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < this->samples.size(); ++index) {
    const Sample& sample = this->samples[index];
    if (!this->WorthDuplicating(sample, now)) {
      continue;
    }
    if (!best ||
        this->ExpectedRest(sample) > this->ExpectedRest(this->samples[*best])) {
      best = index;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  ++this->counts.duplicates;
  return this->Start(*best, std::move(attempt), now, true);
}

void StepPlan::LearnTokenTime(const Attempt& attempt,
                              std::uint64_t tokens,
                              MonotonicTime now) {
  if (attempt.tokens == attempt.resumed_tokens) {
    // The time to the first token is not the time between two.
    return;
  }
  const double observed = MicrosecondsBetween(attempt.last_progress, now) /
                          static_cast<double>(tokens - attempt.tokens);
  this->learned_token_time =
      this->learned_token_time == 0
          ? observed
          : this->learned_token_time +
                kLearningRate * (observed - this->learned_token_time);
}

void StepPlan::OnProgress(const AttemptProgress& progress, MonotonicTime now) {
  const auto found = this->by_attempt.find(progress.attempt);
  if (found == this->by_attempt.end()) {
    return;
  }
  for (Attempt& attempt : this->samples[found->second].attempts) {
    if (attempt.name == progress.attempt && progress.tokens > attempt.tokens) {
      this->LearnTokenTime(attempt, progress.tokens, now);
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
  const auto broken = std::find_if(
      sample.attempts.begin(), sample.attempts.end(),
      [&](const Attempt& candidate) { return candidate.name == attempt; });
  this->counts.duplicates -= broken->duplicate ? 1 : 0;
  sample.attempts.erase(broken);
  if (partial.tokens > sample.partial.tokens) {
    sample.partial = std::move(partial);
  }
  if (sample.attempts.empty()) {
    sample.state = SampleState::kPending;
    --this->counts.running;
    ++this->counts.pending;
  } else if (sample.attempts.front().duplicate) {
    // The original is gone; its duplicate takes its place.
    sample.attempts.front().duplicate = false;
    --this->counts.duplicates;
  }
}

void StepPlan::DropPartial(std::string_view sample_id) {
  if (Sample* sample = this->FindSample(sample_id)) {
    sample->partial = PartialSample();
  }
}

std::vector<std::string> StepPlan::Close(std::string_view sample_id,
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
    for (GroupLengths* lengths : {&group, &this->all}) {
      ++lengths->finished;
      lengths->total_tokens += tokens;
    }
  }
  return this->Close(sample_id, SampleState::kFinished);
}

std::vector<std::string> StepPlan::OnFailed(std::string_view sample_id) {
  return this->Close(sample_id, SampleState::kFailed);
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
  return sample == nullptr ? 0 : this->Expected(*sample);
}

}  // namespace carobbank
