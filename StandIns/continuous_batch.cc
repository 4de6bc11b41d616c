// Queue order, admission and step times of the stand-in engine.

#include "StandIns/continuous_batch.h"

#include <algorithm>
#include <utility>

namespace carobbank {

void ContinuousBatch::Add(GenerationPointer generation) {
  const auto place = std::upper_bound(
      this->waiting.begin(), this->waiting.end(), generation,
      [](const GenerationPointer& left, const GenerationPointer& right) {
        return left->priority > right->priority;
      });
  this->waiting.insert(place, std::move(generation));
}

void ContinuousBatch::Remove(const Generation& generation) {
  const auto is_it = [&generation](const GenerationPointer& candidate) {
    return candidate.get() == &generation;
  };
  std::erase_if(this->running, is_it);
  std::erase_if(this->waiting, is_it);
}

GenerationPointer ContinuousBatch::Find(std::string_view attempt_id) const {
  const auto is_it = [attempt_id](const GenerationPointer& candidate) {
    return candidate->attempt_id == attempt_id;
  };
  const auto in_running = std::ranges::find_if(this->running, is_it);
  if (in_running != this->running.end()) {
    return *in_running;
  }
  const auto in_waiting = std::ranges::find_if(this->waiting, is_it);
  return in_waiting == this->waiting.end() ? nullptr : *in_waiting;
}

ContinuousBatch::StepPlan ContinuousBatch::PlanStep(
    const EngineSettings& settings,
    PrefixCache& cache,
    bool admits) {
  StepPlan plan;
  const auto max_batch = static_cast<std::size_t>(settings.max_batch);
  const auto capacity = static_cast<std::uint64_t>(settings.cache_tokens);
  std::uint64_t uncached_tokens = 0;
  while (admits && !this->waiting.empty() && this->running.size() < max_batch) {
    GenerationPointer begun = std::move(this->waiting.front());
    this->waiting.pop_front();
    PrefixCache::UseResult use = cache.Use(begun->prompt, capacity);
    begun->cached_tokens = use.cached_tokens;
    uncached_tokens +=
        begun->prompt_tokens - use.cached_tokens + begun->first_token;
    plan.cache_changes.insert(plan.cache_changes.end(), use.changes.begin(),
                              use.changes.end());
    plan.begun.push_back(begun);
    this->running.push_back(std::move(begun));
  }
  const auto batch = static_cast<std::int64_t>(this->running.size());
  plan.duration_us = settings.token_interval_us +
                     batch * settings.token_interval_per_sequence_us +
                     static_cast<std::int64_t>(uncached_tokens) *
                         settings.prefill_us_per_token;
  return plan;
}

std::vector<GenerationPointer> ContinuousBatch::TakeAll() {
  std::vector<GenerationPointer> all = std::exchange(this->running, {});
  all.insert(all.end(), this->waiting.begin(), this->waiting.end());
  this->waiting.clear();
  return all;
}

}  // namespace carobbank
