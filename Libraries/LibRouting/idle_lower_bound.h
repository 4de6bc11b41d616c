// The shortest time in which a step's samples can be generated at all, to
// compare a measured trainer idle time with.

#pragma once

#include <cstdint>
#include <span>

#include "LibCore/core.h"

namespace carobbank {

struct StepWork {
  // Length of each sample in tokens.
  std::span<const std::uint64_t> lengths;
  // Samples that can be generated at once over all servers.
  std::uint64_t slots = 1;
  // Between two tokens of one sample.
  std::chrono::microseconds token_time{0};
  // From a sample's start to its first token.
  std::chrono::microseconds first_token_time{0};
};

// No schedule is faster: the longest sample runs in one piece, and the slots
// together generate at most one token each per token time.
std::chrono::microseconds StepTimeLowerBound(const StepWork& work);

// A schedule that is reached when all lengths are known beforehand (longest
// processing time first, Graham 1969): at most 4/3 of the optimum.
std::chrono::microseconds StepTimeLongestFirst(const StepWork& work);

}  // namespace carobbank
