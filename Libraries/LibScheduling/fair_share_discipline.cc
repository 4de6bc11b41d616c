// Weighted fair sharing by virtual token counters (Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024) within strict priority classes.

#include <algorithm>
#include <vector>

#include "LibScheduling/indexed_heap.h"
#include "LibScheduling/queue_discipline.h"

namespace carobbank {

namespace {

// How far the counter of a service that its own limits held back may lag behind
// the other services, in cost units at weight 1. A larger lag would let the
// service crowd out the others later.
constexpr double kMaximumLag = 8'192.0;

// Order of the work items of one service: least slack first, then the longest,
// then the earliest arrival.
struct WorkKey {
  MonotonicTime latest_start;
  std::uint32_t expected_tokens = 0;
  std::uint64_t sequence = 0;

  bool operator<(const WorkKey& other) const {
    if (this->latest_start != other.latest_start) {
      return this->latest_start < other.latest_start;
    }
    if (this->expected_tokens != other.expected_tokens) {
      return this->expected_tokens > other.expected_tokens;
    }
    return this->sequence < other.sequence;
  }
};

enum class HeapKind : std::uint8_t { kNone, kReady, kRateLimited };

struct ShareState {
  // Cost served divided by weight.
  double counter = 0.0;
  // The heap that contains the service.
  HeapKind heap = HeapKind::kNone;
  PriorityClass ready_class = PriorityClass::kTraining;
  IndexedHeap<WorkKey> items;
};

struct ClassState {
  IndexedHeap<double> ready;
  // Counter of the service that was served last: the floor when no service is
  // ready.
  double virtual_time = 0.0;
};

class FairShareDiscipline final : public QueueDiscipline {
 public:
  explicit FairShareDiscipline(WorkTable& table) : table(table) {}

  void UpdateService(ServiceIndex service, MonotonicTime now) override {
    this->EnsureShare(service);
    this->UpdateHeap(service, now);
  }

  void Push(WorkSlot slot, MonotonicTime now) override {
    const ScheduledWork& work = this->table.At(slot);
    ShareState& share = this->EnsureShare(work.service);
    if (share.items.Empty()) {
      this->RaiseToFloor(work.service, 0.0);
    }
    share.items.Push(
        this->work_positions, slot,
        WorkKey{work.latest_start, work.expected_tokens, work.sequence});
    this->UpdateHeap(work.service, now);
  }

  void Remove(WorkSlot slot, MonotonicTime now) override {
    const ServiceIndex service = this->table.At(slot).service;
    this->shares[service].items.Remove(this->work_positions, slot);
    this->UpdateHeap(service, now);
  }

  std::optional<WorkSlot> PeekNext(MonotonicTime now,
                                   const StartableClasses& startable) override {
    this->ReleaseRateLimited(now);
    for (std::size_t index = 0; index < kPriorityClassCount; ++index) {
      ClassState& state = this->classes[index];
      if (!startable.allowed[index] || state.ready.Empty()) {
        continue;
      }
      state.virtual_time = std::max(state.virtual_time, state.ready.Top().key);
      const ServiceIndex service = state.ready.Top().slot;
      return this->shares[service].items.Top().slot;
    }
    return std::nullopt;
  }

  void Charge(ServiceIndex service, double cost) override {
    ShareState& share = this->EnsureShare(service);
    share.counter += cost / this->table.Service(service).policy.weight;
    if (share.heap == HeapKind::kReady) {
      this->ReadyHeap(share).Update(this->service_positions, service,
                                    share.counter);
    }
  }

  bool HasReady(PriorityClass priority_class, MonotonicTime now) override {
    this->ReleaseRateLimited(now);
    return !this->classes[ClassIndex(priority_class)].ready.Empty();
  }

  std::optional<WorkSlot> ShedCandidate(
      PriorityClass priority_class) const override {
    // The service with the longest queue for its weight sheds first.
    std::optional<ServiceIndex> longest;
    double longest_queue = 0.0;
    for (ServiceIndex index = 0; index < this->shares.size(); ++index) {
      const ServiceState& service = this->table.Service(index);
      const double queue = service.queued / service.policy.weight;
      if (service.policy.priority_class == priority_class &&
          queue > longest_queue) {
        longest = index;
        longest_queue = queue;
      }
    }
    if (!longest || this->shares[*longest].items.Empty()) {
      return std::nullopt;
    }
    return this->shares[*longest].items.Back().slot;
  }

  std::optional<MonotonicTime> NextReadyTime() const override {
    if (this->rate_limited.Empty()) {
      return std::nullopt;
    }
    return this->rate_limited.Top().key;
  }

 private:
  ShareState& EnsureShare(ServiceIndex service) {
    if (this->shares.size() <= service) {
      this->shares.resize(service + 1);
    }
    return this->shares[service];
  }

  IndexedHeap<double>& ReadyHeap(const ShareState& share) {
    return this->classes[ClassIndex(share.ready_class)].ready;
  }

  // An idle service accrues no credit: its counter is raised to that of the
  // least served waiting service.
  void RaiseToFloor(ServiceIndex service, double allowed_lag) {
    const ServicePolicy& policy = this->table.Service(service).policy;
    const ClassState& state = this->classes[ClassIndex(policy.priority_class)];
    const double floor =
        state.ready.Empty() ? state.virtual_time : state.ready.Top().key;
    ShareState& share = this->shares[service];
    share.counter = std::max(share.counter, floor - allowed_lag);
  }

  void UpdateHeap(ServiceIndex service, MonotonicTime now) {
    const ServiceState& state = this->table.Service(service);
    const ShareState& share = this->shares[service];
    const std::uint32_t limit = state.policy.max_running;
    const bool at_limit = limit != 0 && state.running >= limit;
    if (share.items.Empty() || at_limit) {
      this->MoveTo(service, HeapKind::kNone, now);
      return;
    }
    const MonotonicTime ready_at = state.bucket.ReadyAt(now);
    this->MoveTo(service,
                 ready_at > now ? HeapKind::kRateLimited : HeapKind::kReady,
                 ready_at);
  }

  void MoveTo(ServiceIndex service, HeapKind heap, MonotonicTime ready_at) {
    ShareState& share = this->shares[service];
    const PriorityClass priority_class =
        this->table.Service(service).policy.priority_class;
    const bool stays_ready = heap == HeapKind::kReady &&
                             share.heap == HeapKind::kReady &&
                             share.ready_class == priority_class;
    if (stays_ready) {
      return;
    }
    this->RemoveFromHeap(service);
    if (heap == HeapKind::kReady) {
      share.ready_class = priority_class;
      const double weight = this->table.Service(service).policy.weight;
      this->RaiseToFloor(service, kMaximumLag / weight);
      this->ReadyHeap(share).Push(this->service_positions, service,
                                  share.counter);
    } else if (heap == HeapKind::kRateLimited) {
      this->rate_limited.Push(this->service_positions, service, ready_at);
    }
    share.heap = heap;
  }

  void RemoveFromHeap(ServiceIndex service) {
    ShareState& share = this->shares[service];
    if (share.heap == HeapKind::kReady) {
      this->ReadyHeap(share).Remove(this->service_positions, service);
    } else if (share.heap == HeapKind::kRateLimited) {
      this->rate_limited.Remove(this->service_positions, service);
    }
    share.heap = HeapKind::kNone;
  }

  void ReleaseRateLimited(MonotonicTime now) {
    while (!this->rate_limited.Empty() && this->rate_limited.Top().key <= now) {
      const ServiceIndex service = this->rate_limited.Top().slot;
      this->RemoveFromHeap(service);
      this->UpdateHeap(service, now);
    }
  }

  WorkTable& table;
  std::vector<ShareState> shares;
  std::array<ClassState, kPriorityClassCount> classes;
  IndexedHeap<MonotonicTime> rate_limited;
  // Invariant: a queued work item is in the heap of its own service and in no
  // other.
  HeapPositions work_positions;
  // Invariant: a service is in one ready heap, in rate_limited, or in no heap.
  HeapPositions service_positions;
};

}  // namespace

std::unique_ptr<QueueDiscipline> CreateFairShareDiscipline(WorkTable& table) {
  return std::make_unique<FairShareDiscipline>(table);
}

}  // namespace carobbank
