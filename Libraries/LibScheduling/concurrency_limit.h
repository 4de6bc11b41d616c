// How many work items may run at once at the backend server, by class.

#pragma once

#include <array>
#include <cstdint>

#include "LibScheduling/queue_discipline.h"

namespace carobbank {

struct ConcurrencyLimits {
  // Work items that the backend server runs at once: an engine's max_batch.
  std::uint32_t max_running = 16;
  // Slots reserved for live work.
  std::uint32_t live_headroom = 1;
  // Training and background start only while fewer work items than this run in
  // all, so that live work in the same batch isn't slowed too much.
  std::uint32_t mixed_batch_limit = UINT32_MAX;
  // Prompt and generated tokens that all running work items together may hold
  // in the engine's memory; 0 means no limit.
  std::uint64_t max_memory_tokens = 0;
};

class ConcurrencyLimit {
 public:
  void SetLimits(const ConcurrencyLimits& limits) { this->limits = limits; }
  const ConcurrencyLimits& Limits() const { return this->limits; }

  void Start(PriorityClass priority_class, std::uint64_t memory_tokens);
  void Finish(PriorityClass priority_class, std::uint64_t memory_tokens);

  StartableClasses Startable() const;
  // A work item larger than the memory may run when nothing else runs.
  bool MemoryAllows(std::uint64_t memory_tokens) const;
  std::uint32_t Running() const;
  std::uint32_t Running(PriorityClass priority_class) const;

 private:
  ConcurrencyLimits limits;
  std::array<std::uint32_t, kPriorityClassCount> running{};
  std::uint64_t memory_in_use = 0;
};

}  // namespace carobbank
