// What the scheduler orders: works, and the policies of their services.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

// Strict: a lower class starts only when no higher one can.
enum class PriorityClass : std::uint8_t { kLive, kTraining, kBackground };

inline constexpr std::size_t kPriorityClassCount = 3;

constexpr std::size_t ClassIndex(PriorityClass priority_class) {
  return static_cast<std::size_t>(priority_class);
}

std::string_view PriorityClassName(PriorityClass priority_class);

// A service's rights at this backend server.
struct ServicePolicy {
  std::string service;
  PriorityClass priority_class = PriorityClass::kTraining;
  // Share relative to the other services of the class; positive.
  double weight = 1.0;
  // Works running at once; 0 means no limit.
  std::uint32_t max_running = 0;
  // Prompt and generated tokens a second; 0 means no limit.
  double tokens_per_second = 0.0;
  std::uint32_t max_queued = 1'000;
};

// Names one work from Push() until Finish() or Remove().
struct WorkHandle {
  std::uint32_t slot = 0;
  // Tells apart the works that used the same slot one after another.
  std::uint32_t generation = 0;

  bool operator==(const WorkHandle&) const = default;
};

struct WorkItem {
  std::string_view service;
  std::uint32_t prompt_tokens = 0;
  // Tokens that will probably be generated; 0 when unknown.
  std::uint32_t expected_tokens = 0;
  MonotonicTime received;
  // The work is refused when it has not begun by then.
  MonotonicTime deadline = MonotonicTime::max();
  // How long it may wait without delaying its step.
  std::optional<Milliseconds> slack;
};

}  // namespace carobbank
