// Window, lanes by priority, fair shares within a lane, and expected waits.

#include "LibScheduling/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// Requests in flight per slot of all servers: those beyond the slots wait in
// the servers' own queues.
constexpr double kMaxInFlightPerSlot = 3.0;
// Part of the capacity that is shared in proportion to demand. It bounds the
// served fraction of every workspace from below by this part of the mean served
// fraction; the rest is shared evenly.
constexpr double kShareByDemand = 0.4;
constexpr Milliseconds kWeightPeriod{100};
// The first estimate of a route's uncongested time is at most this part of its
// objective.
constexpr double kHighestFirstTime = 0.25;
// A window below this can hardly be reduced further.
constexpr double kLeastLoad = 1.5;
// A less urgent call expects at least this part of the pace, so that its wait
// is finite while more urgent calls use everything.
constexpr double kMinimumPaceShare = 0.05;
// Weight of the newest call in the moving averages.
constexpr double kMeanWeight = 0.05;
constexpr double kMinimumStretch = 0.25;
constexpr double kMaximumStretch = 50;
// Lanes and workspaces are forgotten above this number once nothing waits.
constexpr std::size_t kMaxIdleWorkspaces = 1'024;
constexpr StartableClasses kStartable = {{false, true, false}};

Milliseconds WholeMilliseconds(double milliseconds) {
  constexpr double kLongest = 3'600'000;
  return Milliseconds(static_cast<std::int64_t>(
      std::ceil(std::clamp(milliseconds, 0.0, kLongest))));
}

Milliseconds Elapsed(MonotonicTime began, MonotonicTime now) {
  return std::chrono::duration_cast<Milliseconds>(now - began);
}

}  // namespace

Milliseconds RetryAfterRefusal(Milliseconds wait,
                               Milliseconds time_left,
                               Random& random) {
  constexpr std::int64_t kRetriesInTimeLeft = 3;
  constexpr double kSmallestPart = 0.5;
  const Milliseconds longest =
      std::max(time_left / kRetriesInTimeLeft, kMinimumRetryAfter);
  const Milliseconds chosen = std::clamp(wait, kMinimumRetryAfter, longest);
  const double part = kSmallestPart + (1 - kSmallestPart) * random.Unit();
  // A short wait is spread upwards, because the minimum bounds it from below.
  const Milliseconds spread =
      std::min(std::max(chosen, 2 * kMinimumRetryAfter), longest);
  return std::max(WholeMilliseconds(static_cast<double>(spread.count()) * part),
                  kMinimumRetryAfter);
}

void AdmissionQueue::SetSlots(std::int64_t slots) {
  this->slots = slots;
  this->window.SetMaximum(static_cast<double>(slots) * kMaxInFlightPerSlot);
}

AdmissionDecision AdmissionQueue::Ask(const AdmissionCall& call,
                                      MonotonicTime now) {
  Lane& lane = this->EnsureLane(call.priority);
  const ServiceIndex workspace =
      this->EnsureWorkspace(lane, call.workspace, now);
  const double cost = this->times.CostMs(call.route);
  lane.shares[workspace].asked.Add(cost, now);
  AdmissionDecision decision;
  if (this->waiting.empty()) {
    this->window.EndRestriction(now);
  }
  if (this->waiting.empty() && this->HasRoom()) {
    lane.accepted.Add(cost, now);
    ++this->in_flight;
    this->RemoveIdleLanes();
    return decision;
  }
  this->SetWeights(lane, now);
  decision.wait = this->ExpectedWait(call, lane, workspace, cost, now);
  const Milliseconds service_time =
      WholeMilliseconds(cost * this->mean_stretch);
  if (now + decision.wait + service_time > call.deadline) {
    decision.verdict = AdmissionVerdict::kTooLate;
    return decision;
  }
  if (!this->budget.Fits(1, call.bytes)) {
    decision.shed = this->FindShedCandidate(call, lane, workspace, cost);
    if (!decision.shed) {
      decision.verdict = AdmissionVerdict::kQueueFull;
      return decision;
    }
    this->Dequeue(*decision.shed, now);
  }
  lane.accepted.Add(cost, now);
  decision.verdict = AdmissionVerdict::kWait;
  decision.id = this->Enqueue(call, lane, workspace, cost, now);
  return decision;
}

std::optional<AdmissionId> AdmissionQueue::TakeNext(MonotonicTime now) {
  if (this->waiting.empty() || !this->HasRoom()) {
    return std::nullopt;
  }
  for (auto& [priority, lane] : this->lanes) {
    const auto slot = lane.discipline->PeekNext(now, kStartable);
    if (!slot) {
      continue;
    }
    const ScheduledWork work = lane.table.At(*slot);
    this->Dequeue(work.sequence, now);
    lane.discipline->Charge(work.service, work.charged);
    ++this->in_flight;
    return work.sequence;
  }
  return std::nullopt;
}

std::vector<AdmissionId> AdmissionQueue::TakeExpired(MonotonicTime now) {
  std::vector<AdmissionId> expired;
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    expired.push_back(this->expiries.begin()->second);
    this->Dequeue(expired.back(), now);
  }
  return expired;
}

bool AdmissionQueue::Remove(AdmissionId id, MonotonicTime now) {
  if (!this->waiting.contains(id)) {
    return false;
  }
  this->Dequeue(id, now);
  return true;
}

std::optional<MonotonicTime> AdmissionQueue::NextExpiry() const {
  if (this->expiries.empty()) {
    return std::nullopt;
  }
  return this->expiries.begin()->first;
}

void AdmissionQueue::End(std::string_view route,
                         std::optional<Milliseconds> held) {
  this->in_flight = std::max(this->in_flight, 1U) - 1;
  if (!held) {
    return;
  }
  const double cost = this->times.CostMs(route);
  const double stretch = std::clamp(static_cast<double>(held->count()) / cost,
                                    kMinimumStretch, kMaximumStretch);
  this->mean_stretch += kMeanWeight * (stretch - this->mean_stretch);
  this->mean_cost_ms =
      this->mean_cost_ms == 0
          ? cost
          : this->mean_cost_ms + kMeanWeight * (cost - this->mean_cost_ms);
}

void AdmissionQueue::OnRefused(MonotonicTime began, MonotonicTime now) {
  this->window.OnRefused(began, this->in_flight, now);
}

void AdmissionQueue::OnAnswered(std::string_view route,
                                Milliseconds objective,
                                MonotonicTime began,
                                MonotonicTime now) {
  const auto response_ms = static_cast<double>(Elapsed(began, now).count());
  if (const auto uncongested = this->times.UncongestedMs(route)) {
    this->window.OnAnswered(response_ms / *uncongested, began, this->in_flight,
                            now);
  }
  RouteObservation observation;
  observation.highest_first_ms =
      static_cast<double>(objective.count()) * kHighestFirstTime;
  observation.least_load = this->Limit() < kLeastLoad;
  this->times.Observe(route, response_ms, observation, now);
}

void AdmissionQueue::OnStreamed(std::string_view route,
                                MonotonicTime began,
                                MonotonicTime now) {
  this->times.Observe(route, static_cast<double>(Elapsed(began, now).count()),
                      RouteObservation(), now);
}

Milliseconds AdmissionQueue::DrainTime() const {
  double queued_ms = 0;
  for (const auto& [priority, lane] : this->lanes) {
    queued_ms += lane.queued_ms;
  }
  return WholeMilliseconds((queued_ms + this->mean_cost_ms) / this->Pace());
}

AdmissionQueue::Lane& AdmissionQueue::EnsureLane(
    const AdmissionPriority& priority) {
  Lane& lane = this->lanes[priority];
  if (!lane.discipline) {
    lane.discipline = CreateFairShareDiscipline(lane.table);
  }
  return lane;
}

ServiceIndex AdmissionQueue::EnsureWorkspace(Lane& lane,
                                             std::string_view workspace,
                                             MonotonicTime now) {
  if (const auto known = lane.table.FindService(workspace)) {
    return *known;
  }
  const ServiceIndex index = lane.table.AddService(workspace);
  lane.shares.emplace_back();
  lane.discipline->UpdateService(index, now);
  return index;
}

// Weighted fair queueing gives a waiting workspace at least its weight's part
// of the capacity: (1 - s) / n of it evenly and s by its part of the demand.
void AdmissionQueue::SetWeights(Lane& lane, MonotonicTime now) {
  if (lane.weights_set != MonotonicTime::min() &&
      now - lane.weights_set < kWeightPeriod) {
    return;
  }
  lane.weights_set = now;
  constexpr double kNoDemandMs = 0.01;
  double total = 0;
  double active = 0;
  for (const Share& share : lane.shares) {
    const double asked = share.asked.At(now);
    total += asked;
    active += asked > kNoDemandMs ? 1 : 0;
  }
  if (total <= 0) {
    return;
  }
  for (ServiceIndex index = 0; index < lane.shares.size(); ++index) {
    const double part = lane.shares[index].asked.At(now) / total;
    lane.table.Service(index).policy.weight =
        (1 - kShareByDemand) + kShareByDemand * active * part;
  }
}

double AdmissionQueue::Pace() const {
  return this->Limit() / this->mean_stretch;
}

Milliseconds AdmissionQueue::ExpectedWait(const AdmissionCall& call,
                                          const Lane& lane,
                                          ServiceIndex workspace,
                                          double cost,
                                          MonotonicTime now) const {
  const double pace = this->Pace();
  // Calls in flight beyond the window end before the next one begins.
  double before = std::max(this->in_flight - this->Limit(), 0.0) *
                  std::max(this->mean_cost_ms, cost);
  double urgent_pace = 0;
  for (const auto& [priority, other] : this->lanes) {
    if (!(priority < call.priority)) {
      break;
    }
    before += other.queued_ms;
    urgent_pace += other.accepted.PerMillisecond(now);
  }
  const double own = this->CostBefore(lane, workspace, call.arrived) + cost;
  const double weight = lane.table.Service(workspace).policy.weight;
  for (ServiceIndex index = 0; index < lane.shares.size(); ++index) {
    const double turn = own * lane.table.Service(index).policy.weight / weight;
    before +=
        index == workspace ? own : std::min(lane.shares[index].queued_ms, turn);
  }
  return WholeMilliseconds(
      before / std::max(pace - urgent_pace, pace * kMinimumPaceShare));
}

double AdmissionQueue::CostBefore(const Lane& lane,
                                  ServiceIndex workspace,
                                  MonotonicTime arrived) const {
  double later = 0;
  if (lane.shares[workspace].queued_ms > 0) {
    for (const auto& [id, other] : this->waiting) {
      const ScheduledWork& work = lane.table.At(other.slot);
      if (other.lane == &lane && work.service == workspace &&
          work.latest_start > arrived) {
        later += work.charged;
      }
    }
  }
  return std::max(lane.shares[workspace].queued_ms - later, 0.0);
}

std::optional<AdmissionId> AdmissionQueue::FindShedCandidate(
    const AdmissionCall& call,
    const Lane& lane,
    ServiceIndex workspace,
    double cost) const {
  for (auto entry = this->lanes.rbegin(); entry != this->lanes.rend();
       ++entry) {
    const auto& [priority, other] = *entry;
    if (other.queued == 0) {
      continue;
    }
    if (priority < call.priority) {
      return std::nullopt;
    }
    const auto slot = other.discipline->ShedCandidate(PriorityClass::kTraining);
    if (!slot) {
      return std::nullopt;
    }
    const ScheduledWork& work = other.table.At(*slot);
    const auto relative = [&lane](ServiceIndex index, double added) {
      return (lane.shares[index].queued_ms + added) /
             lane.table.Service(index).policy.weight;
    };
    if (&other == &lane &&
        relative(work.service, 0) <= relative(workspace, cost)) {
      return std::nullopt;
    }
    const Waiting& candidate = this->waiting.at(work.sequence);
    const bool fits = this->budget.bytes - candidate.bytes + call.bytes <=
                      this->budget.max_bytes;
    return fits ? std::optional<AdmissionId>(work.sequence) : std::nullopt;
  }
  return std::nullopt;
}

AdmissionId AdmissionQueue::Enqueue(const AdmissionCall& call,
                                    Lane& lane,
                                    ServiceIndex workspace,
                                    double cost,
                                    MonotonicTime now) {
  const AdmissionId id = this->next_id++;
  const WorkSlot slot = lane.table.Allocate();
  ScheduledWork& work = lane.table.At(slot);
  work.state = WorkState::kQueued;
  work.service = workspace;
  work.charged = cost;
  work.sequence = id;
  // The discipline's order within a workspace.
  work.latest_start = call.arrived;
  ++lane.table.Service(workspace).queued;
  ++lane.queued;
  lane.queued_ms += cost;
  lane.shares[workspace].queued_ms += cost;
  lane.discipline->Push(slot, now);
  const MonotonicTime latest_start =
      call.deadline - WholeMilliseconds(cost * this->mean_stretch);
  this->waiting.emplace(id, Waiting{&lane, slot, call.bytes, latest_start});
  this->expiries.emplace(latest_start, id);
  ++this->budget.calls;
  this->budget.bytes += call.bytes;
  return id;
}

void AdmissionQueue::Dequeue(AdmissionId id, MonotonicTime now) {
  const auto found = this->waiting.find(id);
  const Waiting entry = found->second;
  this->waiting.erase(found);
  this->expiries.erase({entry.latest_start, id});
  --this->budget.calls;
  this->budget.bytes -= entry.bytes;
  Lane& lane = *entry.lane;
  const ScheduledWork work = lane.table.At(entry.slot);
  --lane.table.Service(work.service).queued;
  --lane.queued;
  Share& share = lane.shares[work.service];
  // Rounding errors must not remain as a queue that is never empty.
  const bool last_of_workspace = lane.table.Service(work.service).queued == 0;
  share.queued_ms = last_of_workspace ? 0 : share.queued_ms - work.charged;
  lane.queued_ms = lane.queued == 0 ? 0 : lane.queued_ms - work.charged;
  lane.discipline->Remove(entry.slot, now);
  lane.table.Release(entry.slot);
}

void AdmissionQueue::RemoveIdleLanes() {
  std::size_t workspaces = 0;
  for (const auto& [priority, lane] : this->lanes) {
    workspaces += lane.shares.size();
  }
  if (workspaces > kMaxIdleWorkspaces) {
    this->lanes.clear();
  }
}

}  // namespace carobbank
