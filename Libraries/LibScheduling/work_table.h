// The state that the scheduler and its disciplines share: work items by slot
// and services by index.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibScheduling/token_bucket.h"
#include "LibScheduling/work.h"

namespace carobbank {

using WorkSlot = std::uint32_t;
using ServiceIndex = std::uint32_t;

enum class WorkState : std::uint8_t { kFree, kQueued, kRunning, kPreempted };

struct ScheduledWork {
  WorkState state = WorkState::kFree;
  PriorityClass priority_class = PriorityClass::kTraining;
  std::uint32_t generation = 0;
  ServiceIndex service = 0;
  std::uint32_t prompt_tokens = 0;
  // Never 0 while running: the service's moving average replaces an unknown
  // length.
  std::uint32_t expected_tokens = 0;
  std::uint32_t generated_tokens = 0;
  // Tokens of the engine's memory that are reserved while the work item runs.
  std::uint64_t reserved_memory = 0;
  // Cost charged to its service so far.
  double charged = 0.0;
  MonotonicTime deadline;
  // Latest start that keeps its training step on time.
  MonotonicTime latest_start;
  // Arrival order.
  std::uint64_t sequence = 0;
};

struct ServiceState {
  ServicePolicy policy;
  // False once no service document names the service; its running work items
  // continue.
  bool configured = false;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  // Prompt and generated tokens since the process started.
  std::uint64_t served_tokens = 0;
  // Moving average of the generated tokens of finished work items.
  double mean_generated = 0.0;
  TokenBucket bucket;
};

struct TransparentStringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

class WorkTable {
 public:
  WorkSlot Allocate();
  void Release(WorkSlot slot);

  ScheduledWork& At(WorkSlot slot) { return this->items[slot]; }
  const ScheduledWork& At(WorkSlot slot) const { return this->items[slot]; }
  WorkHandle HandleOf(WorkSlot slot) const;
  // The slot, or nothing when the work item of the handle was released.
  std::optional<WorkSlot> Find(WorkHandle handle) const;

  ServiceIndex AddService(std::string_view name);
  std::optional<ServiceIndex> FindService(std::string_view name) const;
  ServiceState& Service(ServiceIndex index) { return this->services[index]; }
  const ServiceState& Service(ServiceIndex index) const {
    return this->services[index];
  }
  std::size_t ServiceCount() const { return this->services.size(); }

 private:
  std::vector<ScheduledWork> items;
  std::vector<WorkSlot> free_slots;
  // Services are never removed, so indices stay valid.
  std::vector<ServiceState> services;
  std::unordered_map<std::string,
                     ServiceIndex,
                     TransparentStringHash,
                     std::equal_to<>>
      service_indices;
};

}  // namespace carobbank
