// Queue order, admission and step durations of the stand-in engine.

#include "StandIns/continuous_batch.h"

#include <algorithm>
#include <utility>

namespace carobbank {

void ContinuousBatch::Add(GenerationPointer generation) {
  const auto position = std::upper_bound(
      this->waiting.begin(), this->waiting.end(), generation,
      [](const GenerationPointer& left, const GenerationPointer& right) {
        return left->priority > right->priority;
      });
  this->waiting.insert(position, std::move(generation));
}

void ContinuousBatch::Remove(const EngineGeneration& generation) {
  const auto matches = [&generation](const GenerationPointer& candidate) {
    return candidate.get() == &generation;
  };
  std::erase_if(this->running, matches);
  std::erase_if(this->waiting, matches);
}

GenerationPointer ContinuousBatch::Find(std::string_view attempt_id) const {
  const auto matches = [attempt_id](const GenerationPointer& candidate) {
    return candidate->attempt_id == attempt_id;
  };
  const auto in_running = std::ranges::find_if(this->running, matches);
  if (in_running != this->running.end()) {
    return *in_running;
  }
  const auto in_waiting = std::ranges::find_if(this->waiting, matches);
  return in_waiting == this->waiting.end() ? nullptr : *in_waiting;
}

ContinuousBatch::StepPlan ContinuousBatch::PlanStep(
    const EngineSettings& settings,
    PrefixCache& cache,
    bool admission_open) {
  StepPlan plan;
  const auto max_batch = static_cast<std::size_t>(settings.max_batch);
  const auto capacity = static_cast<std::uint64_t>(settings.cache_tokens);
  std::uint64_t uncached_tokens = 0;
  while (admission_open && !this->waiting.empty() &&
         this->running.size() < max_batch) {
    GenerationPointer started = std::move(this->waiting.front());
    this->waiting.pop_front();
    PrefixCache::UseResult use = cache.Use(started->prompt, capacity);
    started->cached_tokens = use.cached_tokens;
    uncached_tokens +=
        started->prompt_tokens - use.cached_tokens + started->first_token;
    plan.cache_changes.insert(plan.cache_changes.end(), use.changes.begin(),
                              use.changes.end());
    plan.started.push_back(started);
    this->running.push_back(std::move(started));
  }
  const auto batch = static_cast<std::int64_t>(this->running.size());
  plan.duration_us = settings.token_interval_us +
                     batch * settings.token_interval_per_sequence_us +
                     static_cast<std::int64_t>(uncached_tokens) *
                         settings.prefill_us_per_token;
  return plan;
}

std::vector<GenerationPointer> ContinuousBatch::RemoveAll() {
  std::vector<GenerationPointer> all = std::exchange(this->running, {});
  all.insert(all.end(), this->waiting.begin(), this->waiting.end());
  this->waiting.clear();
  return all;
}

}  // namespace carobbank
