// Refusals that grow with each failed trial.

#include "LibRouting/quarantine_trials.h"

#include <algorithm>

namespace carobbank {

void QuarantineTrials::Put(const QuarantineTrial& trial) {
  this->trials[trial.digest][trial.number] = trial;
  if (this->trials.size() > this->options.max_digests) {
    this->trials.erase(this->trials.begin());
  }
}

void QuarantineTrials::Remove(std::string_view digest, std::int64_t number) {
  const auto found = this->trials.find(digest);
  if (found == this->trials.end()) {
    return;
  }
  found->second.erase(number);
  if (found->second.empty()) {
    this->trials.erase(found);
  }
}

void QuarantineTrials::RemoveAll(std::string_view digest) {
  const auto found = this->trials.find(digest);
  if (found != this->trials.end()) {
    this->trials.erase(found);
  }
}

const QuarantineTrials::TrialMap& QuarantineTrials::TrialsOf(
    std::string_view digest) const {
  static const TrialMap none;
  const auto found = this->trials.find(digest);
  return found == this->trials.end() ? none : found->second;
}

bool QuarantineTrials::HasFailed(const QuarantineTrial& trial,
                                 WallMilliseconds now) const {
  return trial.outcome == TrialOutcome::kFailed ||
         (trial.outcome == TrialOutcome::kOpen &&
          now - trial.at >= this->options.trial_timeout.count());
}

Milliseconds QuarantineTrials::RefusalAfter(std::size_t failed_trials) const {
  if (failed_trials >= this->options.max_failed_trials) {
    return this->options.longest_refusal;
  }
  Milliseconds refusal = this->options.first_refusal;
  for (std::size_t trial = 0; trial < failed_trials; ++trial) {
    refusal = std::min(refusal * this->options.refusal_growth,
                       this->options.longest_refusal);
  }
  return refusal;
}

// The times come from the clocks of several machines, so that a refusal is
// never longer than its whole duration.
Milliseconds QuarantineTrials::RefusedFor(std::string_view digest,
                                          WallMilliseconds last_crash,
                                          WallMilliseconds now) const {
  const TrialMap& of_digest = this->TrialsOf(digest);
  WallMilliseconds last = last_crash;
  std::size_t failed = 0;
  for (const auto& [number, trial] : of_digest) {
    if (this->HasFailed(trial, now)) {
      ++failed;
      last = std::max(last, trial.at);
    }
  }
  if (!of_digest.empty()) {
    const QuarantineTrial& newest = of_digest.rbegin()->second;
    if (newest.outcome == TrialOutcome::kOpen &&
        !this->HasFailed(newest, now)) {
      return this->options.open_trial_retry;
    }
    if (newest.outcome == TrialOutcome::kCompleted && newest.at >= last) {
      return Milliseconds(0);
    }
  }
  const Milliseconds refusal = this->RefusalAfter(failed);
  return std::clamp(Milliseconds(last + refusal.count() - now), Milliseconds(0),
                    refusal);
}

bool QuarantineTrials::Released(std::string_view digest,
                                WallMilliseconds last_crash) const {
  const TrialMap& of_digest = this->TrialsOf(digest);
  std::size_t completed = 0;
  for (auto entry = of_digest.rbegin(); entry != of_digest.rend(); ++entry) {
    const QuarantineTrial& trial = entry->second;
    if (trial.outcome != TrialOutcome::kCompleted || trial.at < last_crash) {
      break;
    }
    ++completed;
  }
  return completed >= this->options.trials_to_release;
}

std::int64_t QuarantineTrials::NextNumber(std::string_view digest) const {
  const TrialMap& of_digest = this->TrialsOf(digest);
  return of_digest.empty() ? 1 : of_digest.rbegin()->first + 1;
}

std::vector<QuarantineTrial> QuarantineTrials::Of(
    std::string_view digest) const {
  std::vector<QuarantineTrial> of_digest;
  for (const auto& [number, trial] : this->TrialsOf(digest)) {
    of_digest.push_back(trial);
  }
  return of_digest;
}

std::vector<QuarantineTrial> QuarantineTrials::All() const {
  std::vector<QuarantineTrial> all;
  for (const auto& [digest, of_digest] : this->trials) {
    for (const auto& [number, trial] : of_digest) {
      all.push_back(trial);
    }
  }
  return all;
}

}  // namespace carobbank
