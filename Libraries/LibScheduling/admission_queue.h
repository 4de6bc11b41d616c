// Decides when a sender's calls to one service may be sent: at once while the
// concurrency window has room, later by priority and fair share, or not at all
// when they can't be served within their deadlines. Pure.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibCore/core.h"
#include "LibScheduling/concurrency_window.h"
#include "LibScheduling/decayed_sum.h"
#include "LibScheduling/queue_discipline.h"
#include "LibScheduling/route_times.h"
#include "LibScheduling/work_table.h"

namespace carobbank {

// Strict; 0 is the most urgent. Without a priority of its own, a workspace has
// that of the route.
struct AdmissionPriority {
  std::int64_t workspace = 0;
  std::int64_t route = 0;

  auto operator<=>(const AdmissionPriority&) const = default;
};

struct AdmissionCall {
  std::string_view route;
  std::string_view workspace;
  AdmissionPriority priority;
  // Memory that the call holds while it waits.
  std::size_t bytes = 0;
  MonotonicTime deadline;
  // When the call arrived, or an earlier attempt that was refused. Calls of one
  // workspace and priority start in this order.
  MonotonicTime arrived;
};

// What all queues of a process may hold together.
struct AdmissionBudget {
  std::size_t max_calls = 1'024;
  std::size_t max_bytes = 4 * 1024 * 1024;
  std::size_t calls = 0;
  std::size_t bytes = 0;

  bool Fits(std::size_t more_calls, std::size_t more_bytes) const {
    return this->calls + more_calls <= this->max_calls &&
           this->bytes + more_bytes <= this->max_bytes;
  }
};

using AdmissionId = std::uint64_t;

enum class AdmissionVerdict : std::uint8_t {
  // The call may be sent now and counts as in flight until End().
  kSend,
  // The call waits until TakeNext(), TakeExpired() or Remove() returns its id.
  kWait,
  // It can't begin in time behind the calls that go before it.
  kTooLate,
  // The budget is exhausted, and no queued call yields to this one.
  kQueueFull,
};

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kSend;
  // Of kWait.
  AdmissionId id = 0;
  // Expected wait until the call could begin.
  Milliseconds wait{0};
  // A queued call that was removed in favor of this one.
  std::optional<AdmissionId> shed;
};

// How long a refused caller should wait: about `wait`, at least
// kMinimumRetryAfter, at most a third of `time_left`, spread at random.
Milliseconds RetryAfterRefusal(Milliseconds wait,
                               Milliseconds time_left,
                               Random& random);

inline constexpr Milliseconds kMinimumRetryAfter{50};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionBudget& budget) : budget(budget) {}

  // Slots of all servers of the service. Without any, calls don't wait here.
  void SetSlots(std::int64_t slots);

  AdmissionDecision Ask(const AdmissionCall& call, MonotonicTime now);
  // The next queued call if one may be sent now; it counts as in flight.
  std::optional<AdmissionId> TakeNext(MonotonicTime now);
  // Removes and returns queued calls that could not end by their deadlines even
  // if they began now.
  std::vector<AdmissionId> TakeExpired(MonotonicTime now);
  // Removes a queued call; false when the id is not queued.
  bool Remove(AdmissionId id, MonotonicTime now);
  std::optional<MonotonicTime> NextExpiry() const;

  // A call in flight ended; `held`: its time in flight, if it was answered.
  void End(std::string_view route, std::optional<Milliseconds> held);
  // An attempt of a call in flight, which began at `began`, was refused for
  // lack of capacity, or answered. `objective`: the time within which a
  // response of the route has its full value.
  void OnRefused(MonotonicTime began, MonotonicTime now);
  void OnAnswered(std::string_view route,
                  Milliseconds objective,
                  MonotonicTime began,
                  MonotonicTime now);
  // The same for a response that its caller may delay by reading slowly: its
  // time says nothing about congestion.
  void OnStreamed(std::string_view route,
                  MonotonicTime began,
                  MonotonicTime now);

  std::size_t Queued() const { return this->waiting.size(); }
  std::uint32_t InFlight() const { return this->in_flight; }
  double Limit() const { return this->window.Limit(); }
  // Calls wait, or there was a sign of congestion lately.
  bool Congested(MonotonicTime now) const {
    return !this->waiting.empty() || !this->window.CalmFor(kRecently, now);
  }
  // Expected time until what waits now has begun.
  Milliseconds DrainTime() const;

 private:
  // A workspace within its lane.
  struct Share {
    double queued_ms = 0;
    // Cost of all calls, also of refused ones.
    DecayedSum asked{kDemandMemory};
  };
  // The calls of one priority. Invariant: the work table's services are the
  // workspaces, with `shares` by the same index.
  struct Lane {
    WorkTable table;
    std::unique_ptr<QueueDiscipline> discipline;
    std::vector<Share> shares;
    std::size_t queued = 0;
    double queued_ms = 0;
    // Cost of the calls that were sent or queued.
    DecayedSum accepted{kArrivalMemory};
    MonotonicTime weights_set = MonotonicTime::min();
  };
  struct Waiting {
    Lane* lane = nullptr;
    WorkSlot slot = 0;
    std::size_t bytes = 0;
    MonotonicTime latest_start;
  };
  using Lanes = std::map<AdmissionPriority, Lane>;

  Lane& EnsureLane(const AdmissionPriority& priority);
  ServiceIndex EnsureWorkspace(Lane& lane,
                               std::string_view workspace,
                               MonotonicTime now);
  void SetWeights(Lane& lane, MonotonicTime now);
  bool HasRoom() const {
    return this->slots == 0 || this->window.HasRoom(this->in_flight);
  }
  // Cost in milliseconds that this sender's window completes per millisecond.
  double Pace() const;
  Milliseconds ExpectedWait(const AdmissionCall& call,
                            const Lane& lane,
                            ServiceIndex workspace,
                            double cost,
                            MonotonicTime now) const;
  double CostBefore(const Lane& lane,
                    ServiceIndex workspace,
                    MonotonicTime arrived) const;
  // A queued call that yields to the given one, if that makes room for it.
  std::optional<AdmissionId> FindShedCandidate(const AdmissionCall& call,
                                               const Lane& lane,
                                               ServiceIndex workspace,
                                               double cost) const;
  AdmissionId Enqueue(const AdmissionCall& call,
                      Lane& lane,
                      ServiceIndex workspace,
                      double cost,
                      MonotonicTime now);
  void Dequeue(AdmissionId id, MonotonicTime now);
  void RemoveIdleLanes();

  // Span of the demand that the shares of workspaces depend on.
  static constexpr Milliseconds kDemandMemory{5'000};
  // Span of the more urgent arrivals that less urgent calls expect to continue.
  static constexpr Milliseconds kArrivalMemory{500};

  static constexpr Milliseconds kRecently{1'000};

  AdmissionBudget& budget;
  ConcurrencyWindow window;
  std::int64_t slots = 0;
  std::uint32_t in_flight = 0;
  RouteTimes times;
  // Moving averages over the calls that ended: their cost, and the time that
  // they were in flight relative to it.
  double mean_cost_ms = 0;
  double mean_stretch = 1;
  Lanes lanes;
  AdmissionId next_id = 1;
  // Invariant: `waiting` and `expiries` hold exactly the queued calls of all
  // lanes, and the budget counts them.
  std::unordered_map<AdmissionId, Waiting> waiting;
  std::set<std::pair<MonotonicTime, AdmissionId>> expiries;
};

}  // namespace carobbank
