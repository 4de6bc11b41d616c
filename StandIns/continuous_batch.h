// Continuous batching: selects the generations that run and computes how long a
// step takes. Has no clock or I/O; EngineStandIn drives it step by step.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "StandIns/engine_settings.h"
#include "StandIns/generation.h"
#include "StandIns/prefix_cache.h"

namespace carobbank {

using GenerationPointer = std::shared_ptr<EngineGeneration>;

class ContinuousBatch {
 public:
  // Queues behind all generations of the same or a higher priority.
  void Add(GenerationPointer generation);
  // Removes a running or waiting generation; does nothing for any other.
  void Remove(const EngineGeneration& generation);
  // The generation of the attempt, or null.
  GenerationPointer Find(std::string_view attempt_id) const;

  struct StepPlan {
    // Before time_scale and slow_factor apply.
    std::int64_t duration_us = 0;
    std::vector<GenerationPointer> started;
    std::vector<PrefixChange> cache_changes;
  };

  // Starts waiting generations up to max_batch if `admission_open`, and plans
  // the step in which every running generation gets a token.
  StepPlan PlanStep(const EngineSettings& settings,
                    PrefixCache& cache,
                    bool admission_open);

  std::span<const GenerationPointer> Running() const { return this->running; }
  std::size_t WaitingCount() const { return this->waiting.size(); }
  bool IsEmpty() const {
    return this->running.empty() && this->waiting.empty();
  }
  // Removes and returns all generations.
  std::vector<GenerationPointer> RemoveAll();

 private:
  // In order of their start.
  std::vector<GenerationPointer> running;
  // Higher priority first; FIFO within a priority.
  std::deque<GenerationPointer> waiting;
};

}  // namespace carobbank
