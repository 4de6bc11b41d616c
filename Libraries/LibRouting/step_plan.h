// The samples of one step: which to start next, which to duplicate, what was
// kept of broken attempts.

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
  // Duplicates begin when at most this share of the samples is unfinished.
  double duplicate_share = 0.05;
  // Attempts of one sample at once.
  std::uint32_t max_attempts_per_sample = 2;
  // Duplicates of one step at once.
  std::uint32_t max_duplicates = 16;
  // A duplicate must promise to shorten the original's expected rest by this
  // share.
  double minimum_gain = 0.25;
  // Duplicates go on from what the original has streamed so far; otherwise
  // they begin anew.
  bool duplicates_resume = false;
};

// Generated so far by an attempt that broke off; another attempt may go on
// from it.
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
  // Expected length in tokens; 0 when nothing is known yet.
  std::uint64_t expected_tokens = 0;
  // Generated already by a broken attempt; this one goes on from it.
  PartialSample partial;
  // A second attempt beside the running one `beside`, on an idle server only.
  // It must use the sample's own seed: a fresh one would favour short samples.
  bool duplicate = false;
  std::string beside;
  // Time until the sample would delay its step, from the expected rest of the
  // longest sample.
  Milliseconds slack{0};
};

// How far a running attempt is.
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
  // `token_time`: expected time between two tokens of one sample.
  static Result<StepPlan> Create(StragglerOptions options,
                                 std::vector<PlannedSample> samples,
                                 std::chrono::microseconds token_time);

  // The sample to start next, marked as running under `attempt`.
  std::optional<Dispatch> Next(std::string attempt, MonotonicTime now);
  // A running sample worth a second attempt on an idle server.
  std::optional<Dispatch> NextDuplicate(std::string attempt, MonotonicTime now);

  void OnProgress(const AttemptProgress& progress, MonotonicTime now);
  // The attempt broke off. The longest partial of a sample is kept; the sample
  // is pending again when no other attempt runs. `partial` must be whole and
  // usable under the step's bound, or empty.
  void OnAttemptFailed(std::string_view attempt, PartialSample partial);
  // Drops the kept partial: it crossed the staleness bound.
  void DropPartial(std::string_view sample_id);
  // A result is in the log. Returns the attempts to cancel.
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
    // Tokens that it started from.
    std::uint64_t resumed_tokens = 0;
    bool duplicate = false;
  };
  struct Sample {
    PlannedSample planned;
    SampleState state = SampleState::kPending;
    std::vector<Attempt> attempts;
    PartialSample partial;
  };
  // A group's finished samples, and how many were started.
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
  std::uint64_t Generated(const Sample& sample) const;
  std::uint64_t Expected(const Sample& sample) const;
  std::uint64_t ExpectedRest(const Sample& sample) const;
  std::uint64_t LongestRest() const;
  // Larger starts earlier.
  std::uint64_t Urgency(const Sample& sample) const;
  std::optional<std::size_t> PickPending() const;
  void LearnTokenTime(const Attempt& attempt,
                      std::uint64_t tokens,
                      MonotonicTime now);
  // Microseconds between two tokens: as attempts have shown, or as stated.
  double TokenTime() const;
  // Microseconds that the original still needs, judged by its own pace.
  double RestTime(const Sample& sample, MonotonicTime now) const;
  bool WorthDuplicating(const Sample& sample, MonotonicTime now) const;
  Dispatch Start(std::size_t index,
                 std::string attempt,
                 MonotonicTime now,
                 bool duplicate);
  std::vector<std::string> Close(std::string_view sample_id, SampleState state);

  StragglerOptions options;
  std::chrono::microseconds token_time{0};
  // Moving mean over the progress of all attempts, in microseconds; 0 before
  // the first.
  double learned_token_time = 0;
  std::vector<Sample> samples;
  std::map<std::string, std::size_t, std::less<>> by_id;
  std::map<std::string, std::size_t, std::less<>> by_attempt;
  std::map<std::string, GroupLengths, std::less<>> groups;
  GroupLengths all;
  StepPlanCounts counts;
};

}  // namespace carobbank
