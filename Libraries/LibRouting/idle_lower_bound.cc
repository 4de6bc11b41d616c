// Lower bound and longest-first schedule of a step's generation time.

#include "LibRouting/idle_lower_bound.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace carobbank {

std::chrono::microseconds StepTimeLowerBound(const StepWork& work) {
  if (work.lengths.empty()) {
    return std::chrono::microseconds(0);
  }
  std::uint64_t longest = 0;
  std::uint64_t total = 0;
  for (std::uint64_t length : work.lengths) {
    longest = std::max(longest, length);
    total += length;
  }
  const std::uint64_t slots = std::max<std::uint64_t>(work.slots, 1);
  const std::uint64_t tokens_per_slot = (total + slots - 1) / slots;
  const auto tokens =
      static_cast<std::int64_t>(std::max(longest, tokens_per_slot));
  return work.first_token_time + work.token_interval * tokens;
}

std::chrono::microseconds StepTimeLongestFirst(const StepWork& work) {
  std::vector<std::uint64_t> lengths(work.lengths.begin(), work.lengths.end());
  std::sort(lengths.begin(), lengths.end(), std::greater<>());
  using Time = std::chrono::microseconds;
  // Times at which the slots become free, earliest first.
  std::priority_queue<Time, std::vector<Time>, std::greater<>> free_at;
  const std::uint64_t slots = std::max<std::uint64_t>(work.slots, 1);
  for (std::uint64_t slot = 0;
       slot < std::min<std::uint64_t>(slots, lengths.size()); ++slot) {
    free_at.push(Time(0));
  }
  Time last(0);
  for (std::uint64_t length : lengths) {
    const Time end = free_at.top() + work.first_token_time +
                     work.token_interval * static_cast<std::int64_t>(length);
    free_at.pop();
    free_at.push(end);
    last = std::max(last, end);
  }
  return last;
}

}  // namespace carobbank
