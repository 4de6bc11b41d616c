// How long a quarantined request is refused, and its trials: after a refusal,
// one run at a time over all processes shows whether the request still crashes
// servers. Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

enum class TrialOutcome {
  // Claimed; the run has not ended.
  kOpen,
  // A server ran the request to its end.
  kCompleted,
  // The run crashed a server, was refused, or has an unknown outcome.
  kFailed,
};

struct QuarantineTrial {
  std::string digest;
  // Counts the trials of the digest, from 1.
  std::int64_t number = 0;
  // The process that claimed the trial, and when.
  std::string instance;
  WallMilliseconds at = 0;
  TrialOutcome outcome = TrialOutcome::kOpen;
};

struct QuarantineTrialOptions {
  // A digest is refused for this long after its last crash or failed trial.
  // Each failed trial multiplies the time.
  Milliseconds first_refusal{4'000};
  std::int64_t refusal_growth = 4;
  // After `max_failed_trials` failed trials.
  Milliseconds longest_refusal{3'600'000};
  std::size_t max_failed_trials = 3;
  // Completed trials in a row that end the quarantine until the next crash.
  std::size_t trials_to_release = 3;
  // The process of a trial that stays open for longer is presumed to be lost.
  Milliseconds trial_timeout{5'000};
  // How long callers are refused while a trial is open.
  Milliseconds open_trial_retry{500};
  // Beyond it, the trials of the digest that sorts first are removed.
  std::size_t max_digests = 4'096;
};

// Merges the trials of all processes, reported in any order.
class QuarantineTrials {
 public:
  explicit QuarantineTrials(QuarantineTrialOptions options = {})
      : options(options) {}

  // Adds the trial, or replaces the digest's trial of the same number.
  void Put(const QuarantineTrial& trial);
  void Remove(std::string_view digest, std::int64_t number);
  void RemoveAll(std::string_view digest);

  // How long the quarantined digest stays refused; zero when its next trial may
  // be claimed.
  Milliseconds RefusedFor(std::string_view digest,
                          WallMilliseconds last_crash,
                          WallMilliseconds now) const;
  // Enough trials in a row have completed since the last crash.
  bool Released(std::string_view digest, WallMilliseconds last_crash) const;
  // The number of the digest's next trial.
  std::int64_t NextNumber(std::string_view digest) const;
  std::vector<QuarantineTrial> All() const;
  std::vector<QuarantineTrial> Of(std::string_view digest) const;

 private:
  using TrialMap = std::map<std::int64_t, QuarantineTrial>;

  const TrialMap& TrialsOf(std::string_view digest) const;
  bool HasFailed(const QuarantineTrial& trial, WallMilliseconds now) const;
  Milliseconds RefusalAfter(std::size_t failed_trials) const;

  QuarantineTrialOptions options;
  // By digest and number. Invariant: no digest without a trial.
  std::map<std::string, TrialMap, std::less<>> trials;
};

}  // namespace carobbank
