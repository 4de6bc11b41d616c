// Continuous batching: which generations run, and how long a step takes. Pure;
// the engine's stand-in drives it step by step.

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

using GenerationPointer = std::shared_ptr<Generation>;

class ContinuousBatch {
 public:
  // Queues behind all generations of the same or a higher priority.
  void Add(GenerationPointer generation);
  // Takes it out wherever it is; harmless when it isn't there.
  void Remove(const Generation& generation);
  // The generation of that attempt, or nothing.
  GenerationPointer Find(std::string_view attempt_id) const;

  struct StepPlan {
    // In an unscaled engine's microseconds.
    std::int64_t duration_us = 0;
    std::vector<GenerationPointer> begun;
    std::vector<PrefixChange> cache_changes;
  };

  // Lets waiting generations begin if `admits`, up to max_batch, and plans the
  // step in which all running ones get a token.
  StepPlan PlanStep(const EngineSettings& settings,
                    PrefixCache& cache,
                    bool admits);

  std::span<const GenerationPointer> Running() const { return this->running; }
  std::size_t WaitingCount() const { return this->waiting.size(); }
  bool IsEmpty() const {
    return this->running.empty() && this->waiting.empty();
  }
  // Every generation, which then is no longer here.
  std::vector<GenerationPointer> TakeAll();

 private:
  // In the order in which they began.
  std::vector<GenerationPointer> running;
  // Higher priority first, then first come.
  std::deque<GenerationPointer> waiting;
};

}  // namespace carobbank
