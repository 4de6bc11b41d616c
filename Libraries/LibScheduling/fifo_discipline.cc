// Arrival order, regardless of service and class.

#include "LibScheduling/indexed_heap.h"
#include "LibScheduling/queue_discipline.h"

namespace carobbank {

namespace {

class FifoDiscipline final : public QueueDiscipline {
 public:
  explicit FifoDiscipline(WorkTable& table) : table(table) {}

  void UpdateService(ServiceIndex, MonotonicTime) override {}

  void Push(WorkSlot slot, MonotonicTime) override {
    this->items.Push(this->positions, slot, this->table.At(slot).sequence);
  }

  void Remove(WorkSlot slot, MonotonicTime) override {
    this->items.Remove(this->positions, slot);
  }

  std::optional<WorkSlot> PeekNext(MonotonicTime,
                                   const StartableClasses& startable) override {
    if (this->items.Empty() || !startable.Any()) {
      return std::nullopt;
    }
    return this->items.Top().slot;
  }

  void Charge(ServiceIndex, double) override {}

  // The FIFO baseline never preempts, so no class ever reports ready work.
  bool HasReady(PriorityClass, MonotonicTime) override { return false; }

  std::optional<WorkSlot> ShedCandidate(PriorityClass) const override {
    return std::nullopt;
  }

  std::optional<MonotonicTime> NextReadyTime() const override {
    return std::nullopt;
  }

 private:
  WorkTable& table;
  IndexedHeap<std::uint64_t> items;
  HeapPositions positions;
};

}  // namespace

std::unique_ptr<QueueDiscipline> CreateFifoDiscipline(WorkTable& table) {
  return std::make_unique<FifoDiscipline>(table);
}

}  // namespace carobbank
