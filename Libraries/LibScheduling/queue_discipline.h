// The order in which queued works start: one strategy object per choice.

#pragma once

#include <array>
#include <memory>
#include <optional>

#include "LibScheduling/work_table.h"

namespace carobbank {

// Which classes a free place may go to.
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

  // A service is new, or its policy or load changed.
  virtual void Reconsider(ServiceIndex service, MonotonicTime now) = 0;
  virtual void Push(WorkSlot slot, MonotonicTime now) = 0;
  virtual void Remove(WorkSlot slot, MonotonicTime now) = 0;
  // The work that would start next, still queued; or nothing.
  virtual std::optional<WorkSlot> Next(MonotonicTime now,
                                       const StartableClasses& startable) = 0;
  // `cost` may be negative when an estimate is settled.
  virtual void Charge(ServiceIndex service, double cost) = 0;
  // Whether a work of the class could start now if a place were free.
  virtual bool HasReady(PriorityClass priority_class, MonotonicTime now) = 0;
  // The queued work of the class that is given up first under overload.
  virtual std::optional<WorkSlot> ShedCandidate(
      PriorityClass priority_class) const = 0;
  // When a service that waits for its token bucket may go on.
  virtual std::optional<MonotonicTime> NextReadyTime() const = 0;
};

// Strict classes and weighted virtual token counters.
std::unique_ptr<QueueDiscipline> CreateFairShareDiscipline(WorkTable& table);
// Arrival order whatever the service; the baseline of measurements.
std::unique_ptr<QueueDiscipline> CreateFifoDiscipline(WorkTable& table);

}  // namespace carobbank
