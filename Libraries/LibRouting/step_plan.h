// Schedule of one step's samples: which to start next, which to duplicate, and
// the partial outputs retained from failed attempts.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct StragglerOptions {
  // longest_first or in_order.
  std::string order = "longest_first";
  // Duplicates start when at most this fraction of the samples is unfinished.
  double duplicate_fraction = 0.05;
  // Concurrent attempts of one sample.
  std::uint32_t max_attempts_per_sample = 2;
  // Concurrent duplicates of one step.
  std::uint32_t max_duplicates = 16;
  // A duplicate must be expected to shorten the original's remaining time by at
  // least this fraction.
  double minimum_gain = 0.25;
  // Duplicates resume from the original's partial output; otherwise they start
  // from the prompt.
  bool duplicates_resume = false;
};

// Partial output of a failed attempt; another attempt may resume from it.
struct PartialSample {
  std::string text;
  std::uint64_t tokens = 0;
};

struct PlannedSample {
  std::string sample_id;
  std::string group_id;
  std::uint64_t max_tokens = 0;
};

enum class SampleState { kPending, kRunning, kFinished, kFailed };

struct Dispatch {
  std::string sample_id;
  std::string attempt;
  // Expected length in tokens; 0 without an estimate.
  std::uint64_t expected_tokens = 0;
  // Partial output of a failed attempt that this attempt resumes from.
  PartialSample partial;
  // A second attempt, concurrent with `original_attempt` and only on an idle
  // server. It must use the sample's own seed: a new seed would favour short
  // samples.
  bool duplicate = false;
  std::string original_attempt;
  // Time by which the sample may be delayed without delaying its step. Relative
  // to the sample with the most expected remaining tokens.
  Milliseconds slack{0};
};

// Progress of a running attempt.
struct AttemptProgress {
  std::string attempt;
  std::uint64_t tokens = 0;
};

struct StepPlanCounts {
  std::size_t pending = 0;
  std::size_t running = 0;
  std::size_t finished = 0;
  std::size_t failed = 0;
  std::size_t duplicates = 0;
};

class StepPlan {
 public:
  // Fails with kInvalidArgument for an unknown order or a repeated sample id.
  // `token_interval`: expected time between two tokens of one sample.
  static Result<StepPlan> Create(StragglerOptions options,
                                 std::vector<PlannedSample> samples,
                                 std::chrono::microseconds token_interval);

  // Starts the next pending sample as `attempt`; nothing when none is pending.
  std::optional<Dispatch> Next(std::string attempt, MonotonicTime now);
  // Starts `attempt` as a duplicate on an idle server, of the running sample
  // with the most expected remaining tokens that qualifies; nothing when none
  // does.
  std::optional<Dispatch> NextDuplicate(std::string attempt, MonotonicTime now);

  void OnProgress(const AttemptProgress& progress, MonotonicTime now);
  // The attempt failed. The longest partial output of a sample is retained; the
  // sample is pending again when it has no other attempt. `partial` must be
  // intact and within the step's staleness bound, or empty.
  void OnAttemptFailed(std::string_view attempt, PartialSample partial);
  // Drops the retained partial output, which exceeded the staleness bound.
  void DropPartial(std::string_view sample_id);
  // The sample's result is in the log. Returns the attempts to cancel.
  std::vector<std::string> OnFinished(std::string_view sample_id,
                                      std::uint64_t tokens);
  std::vector<std::string> OnFailed(std::string_view sample_id);

  bool Done() const;
  const StepPlanCounts& Counts() const { return this->counts; }
  SampleState StateOf(std::string_view sample_id) const;
  std::uint64_t ExpectedTokens(std::string_view sample_id) const;

 private:
  struct Attempt {
    std::string name;
    std::uint64_t tokens = 0;
    MonotonicTime started{};
    MonotonicTime last_progress{};
    // Tokens of the partial output that the attempt started from.
    std::uint64_t resumed_tokens = 0;
    bool duplicate = false;
  };
  struct Sample {
    PlannedSample planned;
    SampleState state = SampleState::kPending;
    std::vector<Attempt> attempts;
    PartialSample partial;
  };
  // Lengths of the finished samples of a group, and the number of started ones.
  struct GroupLengths {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t total_tokens = 0;

    std::uint64_t Mean() const {
      return this->finished == 0 ? 0 : this->total_tokens / this->finished;
    }
  };

  StepPlan() = default;
  Sample* FindSample(std::string_view sample_id);
  const Sample* FindSample(std::string_view sample_id) const;
  std::uint64_t GeneratedTokens(const Sample& sample) const;
  std::uint64_t ExpectedLength(const Sample& sample) const;
  std::uint64_t ExpectedRemaining(const Sample& sample) const;
  std::uint64_t LongestRemaining() const;
  // Scheduling priority; the sample with the highest value starts first.
  std::uint64_t Urgency(const Sample& sample) const;
  std::optional<std::size_t> PickPending() const;
  void RecordTokenInterval(const Attempt& attempt,
                           std::uint64_t tokens,
                           MonotonicTime now);
  // Microseconds between two tokens: the observed moving average, or the
  // configured value before the first observation.
  double TokenInterval() const;
  // Estimated microseconds until the original attempt ends, from its own token
  // interval.
  double RemainingTime(const Sample& sample, MonotonicTime now) const;
  bool ShouldDuplicate(const Sample& sample, MonotonicTime now) const;
  Dispatch Start(std::size_t index,
                 std::string attempt,
                 MonotonicTime now,
                 bool duplicate);
  std::vector<std::string> EndSample(std::string_view sample_id,
                                     SampleState state);

  StragglerOptions options;
  std::chrono::microseconds token_interval{0};
  // Moving average over the progress of all attempts, in microseconds; 0 before
  // the first observation.
  double observed_token_interval = 0;
  std::vector<Sample> samples;
  std::map<std::string, std::size_t, std::less<>> by_id;
  std::map<std::string, std::size_t, std::less<>> by_attempt;
  std::map<std::string, GroupLengths, std::less<>> groups;
  GroupLengths all_groups;
  StepPlanCounts counts;
};

}  // namespace carobbank
