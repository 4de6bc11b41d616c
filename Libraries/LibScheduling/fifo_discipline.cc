// Arrival order, whatever the service or its class.

#include "LibScheduling/indexed_heap.h"
#include "LibScheduling/queue_discipline.h"

namespace carobbank {

namespace {

class FifoDiscipline final : public QueueDiscipline {
 public:
  explicit FifoDiscipline(WorkTable& table) : table(table) {}

  void Reconsider(ServiceIndex, MonotonicTime) override {}

  void Push(WorkSlot slot, MonotonicTime) override {
    this->works.Push(this->positions, slot, this->table.At(slot).sequence);
  }

  void Remove(WorkSlot slot, MonotonicTime) override {
    this->works.Remove(this->positions, slot);
  }

  std::optional<WorkSlot> Next(MonotonicTime,
                               const StartableClasses& startable) override {
    if (this->works.Empty() || !startable.Any()) {
      return std::nullopt;
    }
    return this->works.Top().slot;
  }

  void Charge(ServiceIndex, double) override {}

  // The baseline never preempts, so that no class is ever ready for it.
  bool HasReady(PriorityClass, MonotonicTime) override { return false; }

  std::optional<WorkSlot> ShedCandidate(PriorityClass) const override {
    return std::nullopt;
  }

  std::optional<MonotonicTime> NextReadyTime() const override {
    return std::nullopt;
  }

 private:
  WorkTable& table;
  IndexedHeap<std::uint64_t> works;
  HeapPositions positions;
};

}  // namespace

std::unique_ptr<QueueDiscipline> CreateFifoDiscipline(WorkTable& table) {
  return std::make_unique<FifoDiscipline>(table);
}

}  // namespace carobbank
