// A simulation of callers, gateways and the servers of one service, without a
// network: what callers get under overload with each way to hold calls back.

#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "LibScheduling/scheduling.h"

namespace carobbank {

enum class OverloadPolicy {
  // Each call is sent at once; two further rounds over the servers, then 503
  // with a fixed Retry-After.
  kSendAtOnce,
  // The window and one queue in order of arrival.
  kArrivalOrder,
  // The window, priorities and fair shares.
  kAdmission,
};

// Calls of one workspace and priority.
struct SimulatedDemand {
  std::string workspace;
  std::int64_t priority = 0;
  double calls_per_s = 0;
  Milliseconds begin{0};
  Milliseconds end{0};
  // The gateway that receives all of them; spread over all without one.
  std::optional<std::size_t> gateway = std::nullopt;
};

struct OverloadScenario {
  std::vector<SimulatedDemand> demands;
  std::size_t gateways = 28;
  std::size_t servers = 13;
  // Half of the servers are gone from then on.
  std::optional<Milliseconds> half_gone_at = std::nullopt;
  std::uint64_t seed = 7;
};

struct DemandResult {
  std::size_t asked = 0;
  std::size_t served = 0;
  std::size_t refusals = 0;
  // From the caller's first attempt, in order of arrival.
  std::vector<std::pair<Milliseconds, Milliseconds>> arrivals_and_times;

  double ServedRatio() const {
    return this->asked == 0 ? 1
                            : static_cast<double>(this->served) /
                                  static_cast<double>(this->asked);
  }
  // Of the calls that arrived in [from, to).
  Milliseconds Percentile(double part,
                          Milliseconds from = Milliseconds(0),
                          Milliseconds to = Milliseconds::max()) const {
    std::vector<Milliseconds> times;
    for (const auto& [arrived, time] : this->arrivals_and_times) {
      if (arrived >= from && arrived < to) {
        times.push_back(time);
      }
    }
    if (times.empty()) {
      return Milliseconds(0);
    }
    std::sort(times.begin(), times.end());
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(times.size() - 1));
    return times[index];
  }
};

struct OverloadResult {
  // In the order of the scenario's demands.
  std::vector<DemandResult> demands;
  std::size_t attempts = 0;
  std::size_t longest_queue = 0;
  // Refusals by arrival of the caller's first attempt, in whole seconds.
  std::map<std::int64_t, std::size_t> refusals_by_second;
  // Part of the slots in use, by whole second.
  std::map<std::int64_t, double> busy_by_second;
};

class OverloadSimulation {
 public:
  OverloadSimulation(const OverloadScenario& scenario, OverloadPolicy policy)
      : scenario(scenario),
        policy(policy),
        random(scenario.seed),
        servers(scenario.servers) {
    for (std::size_t index = 0; index < scenario.gateways; ++index) {
      this->gateways.push_back(
          std::make_unique<Gateway>(scenario.seed + 1 + index));
      this->gateways.back()->in_flight.resize(scenario.servers);
      this->gateways.back()->backoff.resize(scenario.servers);
    }
  }

  OverloadResult Run(Milliseconds end) {
    this->result.demands.resize(this->scenario.demands.size());
    for (std::size_t index = 0; index < this->scenario.demands.size();
         ++index) {
      this->At(this->scenario.demands[index].begin,
               [this, index] { this->Arrive(index); });
    }
    if (this->scenario.half_gone_at) {
      this->At(*this->scenario.half_gone_at, [this] { this->LoseHalf(); });
    }
    while (!this->events.empty() && this->events.top().time <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->Advance(event.time);
      event.task();
    }
    return this->result;
  }

 private:
  static constexpr std::size_t kSlots = 6;
  static constexpr std::size_t kServerQueue = 24;
  static constexpr std::size_t kMaxPerServer = 3 * kSlots;
  static constexpr Milliseconds kOneWay{1};
  static constexpr Milliseconds kObjective{150};
  static constexpr MonotonicTime kStart{std::chrono::hours(1)};

  struct Event {
    Milliseconds time;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const Event& other) const {
      return this->time != other.time ? this->time > other.time
                                      : this->order > other.order;
    }
  };
  struct Call {
    std::size_t demand = 0;
    std::size_t gateway = 0;
    std::string digest;
    Milliseconds arrived{0};
    Milliseconds deadline{0};
    int round = 0;
    std::vector<bool> tried;
    std::size_t server = 0;
    Milliseconds sent{0};
    Milliseconds admitted{0};
  };
  using CallPointer = std::shared_ptr<Call>;
  struct Server {
    bool gone = false;
    std::vector<CallPointer> running;
    std::queue<CallPointer> queue;
  };
  struct Gateway {
    explicit Gateway(std::uint64_t seed) : random(seed) {}
    Random random;
    AdmissionBudget budget;
    AdmissionQueue queue{budget};
    RefusedCalls refused;
    std::map<AdmissionId, CallPointer> waiting;
    std::vector<std::size_t> in_flight;
    std::vector<Milliseconds> backoff;
    double repeats = 10;
  };

  void At(Milliseconds time, std::function<void()> task) {
    this->events.push({time, this->next_order++, std::move(task)});
  }
  MonotonicTime Now() const { return kStart + this->now; }

  void Advance(Milliseconds time) {
    std::size_t busy = 0;
    for (const Server& server : this->servers) {
      busy += server.running.size();
    }
    this->result.busy_by_second[this->now.count() / 1'000] +=
        static_cast<double>(busy) /
        static_cast<double>(this->servers.size() * kSlots) *
        static_cast<double>((time - this->now).count()) / 1'000;
    this->now = time;
  }

  void Arrive(std::size_t index) {
    const SimulatedDemand& demand = this->scenario.demands[index];
    if (this->now >= demand.end) {
      return;
    }
    auto call = std::make_shared<Call>();
    call->demand = index;
    call->digest = std::to_string(this->next_digest++);
    call->arrived = this->now;
    call->deadline =
        this->now +
        Milliseconds(800 + static_cast<int>(this->random.Below(1'200)));
    ++this->result.demands[index].asked;
    this->Attempt(call);
    // Exponential gaps, in fractions of a millisecond that add up.
    double& next = this->next_arrival[index];
    next = std::max(next, static_cast<double>(this->now.count())) -
           std::log(1 - this->random.Unit()) * 1'000 / demand.calls_per_s;
    this->At(Milliseconds(static_cast<std::int64_t>(next)),
             [this, index] { this->Arrive(index); });
  }

  // A caller's first attempt, or its return after a refusal.
  void Attempt(const CallPointer& call) {
    const SimulatedDemand& demand = this->scenario.demands[call->demand];
    call->gateway =
        demand.gateway.value_or(this->random.Below(this->gateways.size()));
    call->round = 0;
    call->tried.assign(this->servers.size(), false);
    Gateway& gateway = *this->gateways[call->gateway];
    gateway.repeats = std::min(gateway.repeats + 0.2, 10.0);
    if (this->policy == OverloadPolicy::kSendAtOnce) {
      this->Send(call);
      return;
    }
    AdmissionCall asked;
    const bool ordered = this->policy == OverloadPolicy::kAdmission;
    asked.workspace = ordered ? demand.workspace : std::string();
    asked.priority = {ordered ? demand.priority : 0, 0};
    asked.bytes = 1'024;
    asked.deadline = kStart + call->deadline;
    asked.arrived = this->Now();
    if (ordered) {
      asked.arrived = gateway.refused.Take(call->digest, this->Now())
                          .value_or(asked.arrived);
    }
    this->UpdateSlots(gateway);
    const AdmissionDecision decision = gateway.queue.Ask(asked, this->Now());
    if (decision.shed) {
      const CallPointer shed = gateway.waiting.at(*decision.shed);
      gateway.waiting.erase(*decision.shed);
      this->Refuse(shed, gateway.queue.DrainTime());
    }
    switch (decision.verdict) {
      case AdmissionVerdict::kSend:
        call->admitted = this->now;
        this->Send(call);
        break;
      case AdmissionVerdict::kWait:
        gateway.waiting.emplace(decision.id, call);
        this->result.longest_queue =
            std::max(this->result.longest_queue, gateway.waiting.size());
        this->At(call->deadline, [this, &gateway] { this->Pump(gateway); });
        break;
      default:
        this->Refuse(call, decision.wait);
    }
  }

  void UpdateSlots(Gateway& gateway) {
    std::size_t left = 0;
    for (const Server& server : this->servers) {
      left += server.gone ? 0 : 1;
    }
    gateway.queue.SetSlots(static_cast<std::int64_t>(left * kSlots));
  }

  void Pump(Gateway& gateway) {
    for (const AdmissionId id : gateway.queue.TakeExpired(this->Now())) {
      const CallPointer call = gateway.waiting.at(id);
      gateway.waiting.erase(id);
      this->Refuse(call, gateway.queue.DrainTime());
    }
    while (const auto id = gateway.queue.TakeNext(this->Now())) {
      const CallPointer call = gateway.waiting.at(*id);
      gateway.waiting.erase(*id);
      call->admitted = this->now;
      this->Send(call);
    }
  }

  std::optional<std::size_t> Choose(const Gateway& gateway, const Call& call) {
    std::optional<std::size_t> best;
    double best_score = 0;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      if (call.tried[index] || gateway.in_flight[index] >= kMaxPerServer) {
        continue;
      }
      const double score = static_cast<double>(gateway.in_flight[index]) +
                           this->random.Unit() * 0.3 +
                           (gateway.backoff[index] > this->now ? 1'000 : 0);
      if (!best || score < best_score) {
        best = index;
        best_score = score;
      }
    }
    return best;
  }

  void Send(const CallPointer& call) {
    Gateway& gateway = *this->gateways[call->gateway];
    const auto server = this->Choose(gateway, *call);
    if (!server) {
      this->NextRound(call);
      return;
    }
    ++this->result.attempts;
    call->server = *server;
    call->sent = this->now;
    call->tried[*server] = true;
    ++gateway.in_flight[*server];
    this->At(this->now + kOneWay, [this, call] { this->Reach(call); });
  }

  void NextRound(const CallPointer& call) {
    Gateway& gateway = *this->gateways[call->gateway];
    const bool admitted = this->policy != OverloadPolicy::kSendAtOnce;
    if (++call->round > (admitted ? 20 : 2) || gateway.repeats < 1 ||
        call->deadline - this->now <= Milliseconds(50)) {
      this->End(call);
      this->Refuse(call, gateway.queue.DrainTime());
      return;
    }
    gateway.repeats -= 1;
    call->tried.assign(this->servers.size(), false);
    this->At(this->now + Milliseconds(25) * std::min(call->round, 2),
             [this, call] { this->Send(call); });
  }

  void Reach(const CallPointer& call) {
    Server& server = this->servers[call->server];
    if (server.gone) {
      this->At(this->now + kOneWay,
               [this, call] { this->Return(call, false); });
    } else if (server.running.size() < kSlots) {
      this->Begin(server, call);
    } else if (server.queue.size() < kServerQueue) {
      server.queue.push(call);
    } else {
      this->At(this->now + kOneWay, [this, call] { this->Return(call, true); });
    }
  }

  // The attempt was not run. `full`: refused by a full server.
  void Return(const CallPointer& call, bool full) {
    Gateway& gateway = *this->gateways[call->gateway];
    --gateway.in_flight[call->server];
    gateway.backoff[call->server] =
        this->now + (full ? Milliseconds(60) : Milliseconds(1'000));
    if (full) {
      gateway.queue.OnRefused(kStart + call->sent, this->Now());
    }
    this->Send(call);
  }

  void Begin(Server& server, const CallPointer& call) {
    server.running.push_back(call);
    // Mean 25 ms; one in ten takes five times as long as the others.
    constexpr double kUsualMs = 25 / 1.4;
    const double size = this->random.Below(10) == 0 ? 5 : 1;
    const double load = static_cast<double>(server.running.size()) /
                        static_cast<double>(kSlots);
    const double slowdown = 1 + 0.6 * std::max(0.0, (load - 0.5) / 0.5);
    const double time =
        kUsualMs * size * slowdown * (0.8 + 0.4 * this->random.Unit());
    this->At(this->now + Milliseconds(static_cast<std::int64_t>(time + 0.5)),
             [this, &server, call] { this->Complete(server, call); });
  }

  void Complete(Server& server, const CallPointer& call) {
    const auto found =
        std::find(server.running.begin(), server.running.end(), call);
    if (found == server.running.end()) {
      return;
    }
    server.running.erase(found);
    if (!server.queue.empty()) {
      const CallPointer next = server.queue.front();
      server.queue.pop();
      this->Begin(server, next);
    }
    this->At(this->now + kOneWay, [this, call] { this->Answer(call); });
  }

  void Answer(const CallPointer& call) {
    Gateway& gateway = *this->gateways[call->gateway];
    --gateway.in_flight[call->server];
    gateway.queue.OnAnswered("plain", kObjective, kStart + call->sent,
                             this->Now());
    this->answered = true;
    this->End(call);
    this->answered = false;
    if (this->now <= call->deadline) {
      DemandResult& demand = this->result.demands[call->demand];
      ++demand.served;
      demand.arrivals_and_times.emplace_back(call->arrived,
                                             this->now - call->arrived);
    }
  }

  // The call is no longer in flight.
  void End(const CallPointer& call) {
    if (this->policy == OverloadPolicy::kSendAtOnce) {
      return;
    }
    Gateway& gateway = *this->gateways[call->gateway];
    const Milliseconds held = this->now - call->admitted;
    gateway.queue.End("plain", this->answered
                                   ? std::optional<Milliseconds>(held)
                                   : std::nullopt);
    this->Pump(gateway);
  }

  void Refuse(const CallPointer& call, Milliseconds wait) {
    Gateway& gateway = *this->gateways[call->gateway];
    ++this->result.demands[call->demand].refusals;
    ++this->result.refusals_by_second[call->arrived.count() / 1'000];
    const Milliseconds left = call->deadline - this->now;
    Milliseconds pause{250};
    if (this->policy != OverloadPolicy::kSendAtOnce) {
      gateway.refused.Remember(call->digest, kStart + call->arrived,
                               this->Now());
      pause = RetryAfterRefusal(wait, left, gateway.random);
    }
    if (pause + Milliseconds(30) < left) {
      this->At(this->now + pause, [this, call] { this->Attempt(call); });
    }
  }

  void LoseHalf() {
    for (std::size_t index = 0; index < this->servers.size(); index += 2) {
      Server& server = this->servers[index];
      server.gone = true;
      std::vector<CallPointer> lost = std::move(server.running);
      for (; !server.queue.empty(); server.queue.pop()) {
        lost.push_back(server.queue.front());
      }
      server.running.clear();
      for (const CallPointer& call : lost) {
        this->Return(call, false);
      }
    }
  }

  const OverloadScenario scenario;
  const OverloadPolicy policy;
  Random random;
  std::vector<Server> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::priority_queue<Event> events;
  std::uint64_t next_order = 0;
  std::uint64_t next_digest = 0;
  Milliseconds now{0};
  bool answered = false;
  std::map<std::size_t, double> next_arrival;
  OverloadResult result;
};

// 72 workspaces and urgent and less urgent calls: `load` relative to what the
// servers can serve at most. The first workspace asks for `weight` times as
// much as each other one.
inline std::vector<SimulatedDemand> OverloadDemands(double load,
                                                    double weight,
                                                    Milliseconds begin,
                                                    Milliseconds end) {
  constexpr double kCapacityPerSecond = 1'950;
  constexpr int kWorkspaces = 72;
  constexpr double kUrgentPart = 0.3;
  std::vector<SimulatedDemand> demands;
  const double unit = load * kCapacityPerSecond / (weight + (kWorkspaces - 1));
  for (int index = 0; index < kWorkspaces; ++index) {
    const double rate = unit * (index == 0 ? weight : 1);
    const std::string name = "w" + std::to_string(index);
    demands.push_back({name, 0, rate * kUrgentPart, begin, end, std::nullopt});
    demands.push_back(
        {name, 1, rate * (1 - kUrgentPart), begin, end, std::nullopt});
  }
  return demands;
}

}  // namespace carobbank
