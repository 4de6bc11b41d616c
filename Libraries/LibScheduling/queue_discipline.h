// The interface of queue disciplines: the order in which queued work items
// start.

#pragma once

#include <array>
#include <memory>
#include <optional>

#include "LibScheduling/work_table.h"

namespace carobbank {

// The classes that may use a free slot.
struct StartableClasses {
  std::array<bool, kPriorityClassCount> allowed{};

  bool Allows(PriorityClass priority_class) const {
    return this->allowed[ClassIndex(priority_class)];
  }
  bool Any() const {
    return this->allowed[0] || this->allowed[1] || this->allowed[2];
  }
};

class QueueDiscipline {
 public:
  virtual ~QueueDiscipline() = default;

  // Call after a service is added and after its policy or load changes.
  virtual void UpdateService(ServiceIndex service, MonotonicTime now) = 0;
  virtual void Push(WorkSlot slot, MonotonicTime now) = 0;
  virtual void Remove(WorkSlot slot, MonotonicTime now) = 0;
  // The work item that would start next, which stays queued; or nothing.
  virtual std::optional<WorkSlot> PeekNext(
      MonotonicTime now,
      const StartableClasses& startable) = 0;
  // `cost` is negative when the final cost is below the charged estimate.
  virtual void Charge(ServiceIndex service, double cost) = 0;
  // Whether a work item of the class could start now if a slot were free.
  virtual bool HasReady(PriorityClass priority_class, MonotonicTime now) = 0;
  // The queued work item of the class that is shed first under overload.
  virtual std::optional<WorkSlot> ShedCandidate(
      PriorityClass priority_class) const = 0;
  // The earliest time at which a service that waits for its token bucket may
  // start work again.
  virtual std::optional<MonotonicTime> NextReadyTime() const = 0;
};

// Strict priority classes and weighted virtual token counters.
std::unique_ptr<QueueDiscipline> CreateFairShareDiscipline(WorkTable& table);
// Arrival order regardless of service; the baseline of benchmarks.
std::unique_ptr<QueueDiscipline> CreateFifoDiscipline(WorkTable& table);

}  // namespace carobbank
