// Concurrency slots and engine memory, with headroom for live work.

#include "LibScheduling/concurrency_limit.h"

#include <algorithm>

namespace carobbank {

void ConcurrencyLimit::Start(PriorityClass priority_class,
                             std::uint64_t memory_tokens) {
  ++this->running[ClassIndex(priority_class)];
  this->memory_in_use += memory_tokens;
}

void ConcurrencyLimit::Finish(PriorityClass priority_class,
                              std::uint64_t memory_tokens) {
  --this->running[ClassIndex(priority_class)];
  this->memory_in_use -= memory_tokens;
}

StartableClasses ConcurrencyLimit::Startable() const {
  const std::uint32_t total = this->Running();
  const std::uint32_t others =
      total - this->running[ClassIndex(PriorityClass::kLive)];
  // At least one slot stays open to the other classes; otherwise they would
  // never run.
  const std::uint32_t headroom = std::min(
      this->limits.live_headroom,
      this->limits.max_running == 0 ? 0 : this->limits.max_running - 1);
  const bool has_free_slot = total < this->limits.max_running;
  const bool others_allowed = has_free_slot &&
                              others < this->limits.max_running - headroom &&
                              total < this->limits.mixed_batch_limit;
  return {{has_free_slot, others_allowed, others_allowed}};
}

bool ConcurrencyLimit::MemoryAllows(std::uint64_t memory_tokens) const {
  if (this->limits.max_memory_tokens == 0 || this->Running() == 0) {
    return true;
  }
  return this->memory_in_use + memory_tokens <= this->limits.max_memory_tokens;
}

std::uint32_t ConcurrencyLimit::Running() const {
  return this->running[0] + this->running[1] + this->running[2];
}

std::uint32_t ConcurrencyLimit::Running(PriorityClass priority_class) const {
  return this->running[ClassIndex(priority_class)];
}

}  // namespace carobbank
