// Work item slots with a free list, and the registry of services.

#include "LibScheduling/work_table.h"

namespace carobbank {

WorkSlot WorkTable::Allocate() {
  if (this->free_slots.empty()) {
    this->items.emplace_back();
    return static_cast<WorkSlot>(this->items.size() - 1);
  }
  const WorkSlot slot = this->free_slots.back();
  this->free_slots.pop_back();
  return slot;
}

void WorkTable::Release(WorkSlot slot) {
  const std::uint32_t next_generation = this->items[slot].generation + 1;
  this->items[slot] = ScheduledWork();
  this->items[slot].generation = next_generation;
  this->free_slots.push_back(slot);
}

WorkHandle WorkTable::HandleOf(WorkSlot slot) const {
  return {slot, this->items[slot].generation};
}

std::optional<WorkSlot> WorkTable::Find(WorkHandle handle) const {
  if (handle.slot >= this->items.size()) {
    return std::nullopt;
  }
  const ScheduledWork& work = this->items[handle.slot];
  const bool same =
      work.generation == handle.generation && work.state != WorkState::kFree;
  return same ? std::optional<WorkSlot>(handle.slot) : std::nullopt;
}

ServiceIndex WorkTable::AddService(std::string_view name) {
  if (const auto existing = this->FindService(name)) {
    return *existing;
  }
  const auto index = static_cast<ServiceIndex>(this->services.size());
  this->services.emplace_back();
  this->service_indices.emplace(std::string(name), index);
  return index;
}

std::optional<ServiceIndex> WorkTable::FindService(
    std::string_view name) const {
  const auto found = this->service_indices.find(name);
  if (found == this->service_indices.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace carobbank
