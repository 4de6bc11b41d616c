// The queue before one backend server: which work item starts next, which ones
// are refused, shed or preempted, and how many tokens each service was served.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibScheduling/concurrency_limit.h"
#include "LibScheduling/indexed_heap.h"
#include "LibScheduling/queue_discipline.h"
#include "LibScheduling/work_table.h"

namespace carobbank {

enum class QueueStrategy { kFairShare, kFifo };

// Cost of one token to its service. A generated token takes a complete step of
// the engine, while the tokens of a prompt are processed together.
inline constexpr double kPromptTokenCost = 1.0;
inline constexpr double kGeneratedTokenCost = 2.0;

struct SchedulerOptions {
  QueueStrategy strategy = QueueStrategy::kFairShare;
  ConcurrencyLimits limits;
  // Queued work items of all services together.
  std::size_t max_queued = 4'096;
  // Time that the engine takes for one token of one work item, until the engine
  // reports a measured interval.
  std::chrono::microseconds token_interval{20'000};
};

enum class PushRefusal { kUnknownService, kServiceQueueFull, kQueueFull };

struct PushOutcome {
  // Set when the work item was queued.
  std::optional<WorkHandle> handle;
  PushRefusal refusal = PushRefusal::kQueueFull;
  // A queued work item of a lower class that was shed for this one.
  std::optional<WorkHandle> shed;
};

struct ServiceReport {
  std::string service;
  PriorityClass priority_class = PriorityClass::kTraining;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint64_t served_tokens = 0;
};

class Scheduler {
 public:
  explicit Scheduler(const SchedulerOptions& options);

  // Services that `policies` leaves out accept no new work.
  void Configure(std::span<const ServicePolicy> policies, MonotonicTime now);
  void SetLimits(const ConcurrencyLimits& limits);
  const ConcurrencyLimits& Limits() const { return this->limit.Limits(); }
  void SetTokenInterval(std::chrono::microseconds interval);

  PushOutcome Push(const WorkItem& work, MonotonicTime now);
  // Removes a queued work item; false when the handle is not queued.
  bool Remove(WorkHandle handle, MonotonicTime now);
  // Starts the next work item, or nothing when none may start.
  std::optional<WorkHandle> Start(MonotonicTime now);
  // Removes and returns the queued work items whose deadline has passed.
  std::vector<WorkHandle> TakeExpired(MonotonicTime now);
  // Records that a running work item generated `tokens` more tokens.
  void RecordGeneratedTokens(WorkHandle handle,
                             std::uint32_t tokens,
                             MonotonicTime now);
  void Finish(WorkHandle handle, MonotonicTime now);
  // Marks a running work item as preempted for waiting live work and returns
  // it, or nothing. The caller ends it; its slot stays in use until Finish().
  std::optional<WorkHandle> ChoosePreemption(MonotonicTime now);

  // When to call TakeExpired() and Start() again if no other event comes
  // earlier.
  std::optional<MonotonicTime> NextWake() const;
  // How long a refused caller of the class should wait before a retry.
  Milliseconds RetryAfter(PriorityClass priority_class) const;
  std::optional<PriorityClass> ClassOf(std::string_view service) const;

  std::size_t Queued() const { return this->deadlines.Size(); }
  std::uint32_t Running() const { return this->limit.Running(); }
  std::uint32_t Running(PriorityClass priority_class) const {
    return this->limit.Running(priority_class);
  }
  std::vector<ServiceReport> Report() const;

 private:
  std::optional<WorkSlot> FindShedCandidate(PriorityClass above) const;
  // Live work isn't refused for a full queue while other classes run, because
  // they can be preempted. The limit is then twice `max_queued`.
  bool MayExceedQueueLimit(PriorityClass priority_class) const;
  WorkSlot Enqueue(const WorkItem& work,
                   ServiceIndex service,
                   MonotonicTime now);
  void Dequeue(WorkSlot slot, MonotonicTime now);
  void BeginRunning(WorkSlot slot, MonotonicTime now);
  std::uint32_t ExpectedTokens(const ScheduledWork& work) const;
  // Whether only a missing slot or missing memory keeps live work from
  // starting.
  bool IsLiveBlocked(MonotonicTime now);
  bool IsBetterVictim(WorkSlot candidate, WorkSlot than) const;
  bool IsAlmostDone(const ScheduledWork& work) const;
  void RecordFinish(MonotonicTime now);

  WorkTable table;
  std::unique_ptr<QueueDiscipline> discipline;
  ConcurrencyLimit limit;
  std::size_t max_queued;
  std::chrono::microseconds token_interval;
  // Invariant: holds exactly the queued work items.
  IndexedHeap<MonotonicTime> deadlines;
  HeapPositions deadline_positions;
  // Invariant: the running and the preempted work items of all classes.
  std::vector<WorkSlot> running;
  // Preempted work items that have not finished yet.
  std::uint32_t pending_preemptions = 0;
  std::uint64_t next_sequence = 0;
  // Moving average of the time between two finishes, in milliseconds; 0 before
  // the second finish.
  double finish_interval_ms = 0.0;
  std::optional<MonotonicTime> last_finish;
};

}  // namespace carobbank
