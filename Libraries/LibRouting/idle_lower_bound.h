// Lower bound on the time to generate a step's samples, as a reference for
// measured idle times of the trainer.

#pragma once

#include <cstdint>
#include <span>

#include "LibCore/core.h"

namespace carobbank {

struct StepWork {
  // Length of each sample in tokens.
  std::span<const std::uint64_t> lengths;
  // Samples that all servers together can generate concurrently.
  std::uint64_t slots = 1;
  // Time between two tokens of one sample.
  std::chrono::microseconds token_interval{0};
  // Time from a sample's start to its first token.
  std::chrono::microseconds first_token_time{0};
};

// No schedule is faster: the longest sample runs in one piece, and each slot
// generates at most one token per token interval.
std::chrono::microseconds StepTimeLowerBound(const StepWork& work);

// Time of the schedule that starts the longest samples first, which needs all
// lengths in advance (longest processing time first, Graham 1969): at most 4/3
// of the optimum.
std::chrono::microseconds StepTimeLongestFirst(const StepWork& work);

}  // namespace carobbank
