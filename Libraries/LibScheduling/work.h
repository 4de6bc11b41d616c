// The scheduler's inputs: work items, and the policies of their services.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

// Strict: a lower class starts only when no higher class can.
enum class PriorityClass : std::uint8_t { kLive, kTraining, kBackground };

inline constexpr std::size_t kPriorityClassCount = 3;

constexpr std::size_t ClassIndex(PriorityClass priority_class) {
  return static_cast<std::size_t>(priority_class);
}

std::string_view PriorityClassName(PriorityClass priority_class);

// The weight and limits of a service at this backend server.
struct ServicePolicy {
  std::string service;
  PriorityClass priority_class = PriorityClass::kTraining;
  // Fair share relative to the other services of the class; positive.
  double weight = 1.0;
  // Work items running at once; 0 means no limit.
  std::uint32_t max_running = 0;
  // Prompt and generated tokens per second; 0 means no limit.
  double tokens_per_second = 0.0;
  std::uint32_t max_queued = 1'000;
};

// Identifies one work item from Push() until Finish() or Remove().
struct WorkHandle {
  std::uint32_t slot = 0;
  // Distinguishes work items that used the same slot one after another.
  std::uint32_t generation = 0;

  bool operator==(const WorkHandle&) const = default;
};

struct WorkItem {
  std::string_view service;
  std::uint32_t prompt_tokens = 0;
  // Estimate of the tokens to generate; 0 when unknown.
  std::uint32_t expected_tokens = 0;
  MonotonicTime received;
  // The work item is refused if it has not started at its deadline.
  MonotonicTime deadline = MonotonicTime::max();
  // How long the work item may wait without delaying its training step.
  std::optional<Milliseconds> slack;
};

}  // namespace carobbank
