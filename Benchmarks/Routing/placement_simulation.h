// Simulates trainers' steps on servers of unequal pace, without a network: the
// time from the submission of a step until its target groups are complete.
// Shared by placement_experiment.cc and Tests/LibRouting.

#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "LibRouting/routing.h"

namespace carobbank {

enum class PlacementPolicy {
  kLeastRequests,
  // Fewest expected events per slot, whatever the servers' paces.
  kLeastWork,
  kExpectedEnd,
  // Knows lengths, paces and all owners' requests.
  kOracle,
};

struct PlacementSetup {
  std::size_t servers = 43;
  // By server, in turn: its time per event relative to the mean.
  std::vector<double> paces = {0.6, 1.0, 1.6};
  std::size_t owners = 3;
  std::size_t samples = 168;
  // Standard deviation of the logarithm of hinted to actual length.
  double hint_error = 0.5;
  // Factor by which a server is slowed down for kEpisodeMs, and the mean time
  // between two slowdowns of a server; 0: never.
  double episode_factor = 3;
  double episode_interval_ms = 60'000;
  int steps = 24;
  std::uint64_t seed = 1;
};

class PlacementSimulation {
 public:
  PlacementSimulation(const PlacementSetup& setup, PlacementPolicy policy)
      : setup(setup), policy(policy), random(setup.seed) {
    for (std::size_t index = 0; index < setup.servers; ++index) {
      FleetServer server;
      server.id = "server" + std::to_string(index);
      server.slots = kSlots;
      this->fleet.push_back(server);
    }
    for (const FleetServer& server : this->fleet) {
      this->pointers.push_back(&server);
    }
    this->servers.resize(setup.servers);
    this->owners.resize(setup.owners);
  }

  // Milliseconds of each step, in ascending order. The first steps, in which
  // the owners learn, are left out.
  std::vector<double> Run() {
    const double end_ms = (this->setup.steps + 8) * kStepMs;
    for (; this->now_ms < end_ms; this->now_ms += kTickMs) {
      this->SubmitSteps();
      this->AdvanceServers();
      const bool moves = std::fmod(this->now_ms, 200) < kTickMs;
      for (std::size_t owner = 0; owner < this->owners.size(); ++owner) {
        if (moves) {
          this->MoveStragglers(owner);
        }
        this->Dispatch(owner);
      }
    }
    std::vector<double> times;
    for (const Job& job : this->jobs) {
      if (job.step >= kWarmupSteps && job.step < this->setup.steps) {
        times.push_back((job.end_ms > 0 ? job.end_ms : end_ms) - job.begin_ms);
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  std::size_t Moves() const { return this->moves; }

  static double At(const std::vector<double>& sorted, double part) {
    return sorted[static_cast<std::size_t>(
        part * static_cast<double>(sorted.size() - 1))];
  }

 private:
  static constexpr double kTickMs = 5;
  static constexpr double kStepMs = 4'000;
  static constexpr double kEventMs = 45;
  static constexpr double kEpisodeMs = 4'000;
  static constexpr double kMoveMs = 300;
  static constexpr std::int64_t kSlots = 8;
  static constexpr std::size_t kQueue = 4;
  static constexpr std::size_t kGroup = 8;
  static constexpr double kTargetPart = 0.9;
  static constexpr double kTokensPerEvent = 60;
  static constexpr int kWarmupSteps = 3;
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

  struct Sample {
    std::size_t job = 0;
    double events = 0;
    std::int64_t hint = 0;
    double progress = 0;
    std::size_t server = kNone;
    bool done = false;
    bool begun = false;
    double sent_ms = 0;
    double not_before_ms = 0;
    std::vector<double> arrivals;
    int moves = 0;
  };
  struct Job {
    std::size_t owner = 0;
    int step = 0;
    double begin_ms = 0;
    double end_ms = 0;
    std::vector<std::size_t> samples;
    std::vector<std::size_t> left_of_group;
    std::size_t groups_left = 0;
    std::vector<std::size_t> order;
  };
  struct Server {
    std::vector<std::size_t> running;
    std::vector<std::size_t> queue;
    double slow_until_ms = 0;
  };
  struct Owner {
    BackendLoads loads;
    WorkEstimator estimator;
    std::vector<double> events_owed;
    std::vector<std::size_t> open_jobs;
    int steps = 0;
  };

  MonotonicTime Now() const {
    return MonotonicTime(std::chrono::microseconds(
        static_cast<std::int64_t>(this->now_ms * 1'000) + 1'000'000'000));
  }
  double Gaussian() {
    constexpr double kTurn = 6.283185307179586;
    const double radius = std::sqrt(-2 * std::log(1 - this->random.Unit()));
    return radius * std::cos(kTurn * this->random.Unit());
  }
  const std::string& IdOf(std::size_t server) const {
    return this->fleet[server].id;
  }
  double EventMsOf(std::size_t server) const {
    const double slow = this->now_ms < this->servers[server].slow_until_ms
                            ? this->setup.episode_factor
                            : 1;
    return kEventMs * slow *
           this->setup.paces[server % this->setup.paces.size()];
  }
  static double LoadFactor(std::size_t running) {
    constexpr double kPerRequest = 0.02;
    return 1 + kPerRequest * static_cast<double>(running);
  }

  // One sample in twelve is five times as long as the mean.
  double DrawEvents() {
    constexpr double kMedian = 20;
    constexpr double kSpread = 0.4;
    const double factor = this->random.Below(12) == 0 ? 6.0 : 1.0;
    return std::max(1.0,
                    std::round(kMedian * factor *
                               std::exp(kSpread / factor * this->Gaussian())));
  }

  void SubmitSteps() {
    for (std::size_t owner = 0; owner < this->owners.size(); ++owner) {
      Owner& of = this->owners[owner];
      const double phase = kStepMs * static_cast<double>(owner) /
                           static_cast<double>(this->owners.size());
      if (of.steps >= this->setup.steps + 4 ||
          this->now_ms < of.steps * kStepMs + phase) {
        continue;
      }
      Job job;
      job.owner = owner;
      job.step = of.steps++;
      job.begin_ms = this->now_ms;
      const std::size_t groups = this->setup.samples / kGroup;
      job.left_of_group.assign(groups, kGroup);
      job.groups_left = static_cast<std::size_t>(
          std::ceil(kTargetPart * static_cast<double>(groups)));
      for (std::size_t index = 0; index < groups * kGroup; ++index) {
        Sample sample;
        sample.job = this->jobs.size();
        sample.events = this->DrawEvents();
        sample.hint = static_cast<std::int64_t>(
            kTokensPerEvent * sample.events *
            std::exp(this->setup.hint_error * this->Gaussian()));
        job.samples.push_back(this->samples.size());
        this->samples.push_back(sample);
      }
      job.order = job.samples;
      std::stable_sort(job.order.begin(), job.order.end(),
                       [this](std::size_t left, std::size_t right) {
                         return this->Size(left) > this->Size(right);
                       });
      of.open_jobs.push_back(this->jobs.size());
      this->jobs.push_back(job);
    }
  }
  double Size(std::size_t sample) const {
    return this->policy == PlacementPolicy::kOracle
               ? this->samples[sample].events
               : static_cast<double>(this->samples[sample].hint);
  }

  void AdvanceServers() {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      Server& server = this->servers[index];
      if (this->setup.episode_interval_ms > 0 &&
          this->random.Unit() < kTickMs / this->setup.episode_interval_ms) {
        server.slow_until_ms = this->now_ms + kEpisodeMs;
      }
      while (!server.queue.empty() && server.running.size() < kSlots) {
        server.running.push_back(server.queue.front());
        server.queue.erase(server.queue.begin());
      }
      const double part = kTickMs / (this->EventMsOf(index) *
                                     LoadFactor(server.running.size()));
      const std::vector<std::size_t> running = server.running;
      for (const std::size_t sample : running) {
        this->AdvanceSample(sample, part);
      }
    }
  }
  void AdvanceSample(std::size_t index, double part) {
    Sample& sample = this->samples[index];
    Owner& owner = this->owners[this->jobs[sample.job].owner];
    const double before = std::floor(sample.progress);
    sample.progress += part;
    if (std::floor(sample.progress) > before) {
      this->OnEvent(owner, sample);
    }
    if (sample.progress >= sample.events) {
      owner.loads.End(this->IdOf(sample.server), SendOutcome::kAnswered,
                      Milliseconds(1), this->Now());
      owner.estimator.OnCompleted("", sample.hint,
                                  static_cast<std::size_t>(sample.events));
      std::erase(this->servers[sample.server].running, index);
      sample.done = true;
      this->OnDone(index);
    }
  }
  void OnEvent(Owner& owner, Sample& sample) {
    const std::string& id = this->IdOf(sample.server);
    if (!std::exchange(sample.begun, true)) {
      owner.loads.RecordFirstEvent(
          id, Milliseconds(static_cast<int>(this->now_ms - sample.sent_ms)),
          this->Now());
    }
    constexpr std::size_t kEventsPerGap = 4;
    sample.arrivals.push_back(this->now_ms);
    if (sample.arrivals.size() > kEventsPerGap) {
      const double span = this->now_ms - sample.arrivals.front();
      sample.arrivals.erase(sample.arrivals.begin());
      owner.loads.RecordEventGap(
          id, Milliseconds(static_cast<int>(span / kEventsPerGap)),
          this->Now());
    }
  }
  void OnDone(std::size_t index) {
    Job& job = this->jobs[this->samples[index].job];
    const std::size_t group = (index - job.samples.front()) / kGroup;
    if (--job.left_of_group[group] == 0 && job.groups_left > 0 &&
        --job.groups_left == 0) {
      job.end_ms = this->now_ms;
      std::erase(this->owners[job.owner].open_jobs, this->samples[index].job);
    }
  }

  SampleWork WorkOf(const Owner& owner, const Sample& sample, double left_ms) {
    return {owner.estimator.Remaining(
                "", sample.hint, static_cast<std::size_t>(sample.progress)),
            left_ms};
  }
  // Until the job ends if its longest sample ran at a fast server.
  double JobLeftMs(const Owner& owner, const Job& job) {
    const double fast_ms =
        FastEventMs(this->pointers, owner.loads.Paces(), this->Now());
    double left_ms = 0;
    for (const std::size_t index : job.samples) {
      const Sample& sample = this->samples[index];
      const SampleWork work = this->WorkOf(owner, sample, 0);
      if (!sample.done && work.events) {
        left_ms = std::max(left_ms, work.events->mean * fast_ms);
      }
    }
    return left_ms;
  }

  void Dispatch(std::size_t number) {
    Owner& owner = this->owners[number];
    for (const std::size_t open : owner.open_jobs) {
      const Job& job = this->jobs[open];
      std::optional<double> left_ms;
      for (const std::size_t index : job.order) {
        Sample& sample = this->samples[index];
        if (sample.done || sample.server != kNone ||
            sample.not_before_ms > this->now_ms) {
          continue;
        }
        if (!left_ms) {
          left_ms = this->JobLeftMs(owner, job);
        }
        const std::size_t chosen = this->Choose(owner, sample, *left_ms);
        if (chosen == kNone) {
          break;
        }
        this->Send(owner, index, chosen);
      }
    }
  }
  std::size_t Choose(Owner& owner, const Sample& sample, double left_ms) {
    if (this->policy == PlacementPolicy::kOracle) {
      return this->ChooseAsOracle(sample);
    }
    if (this->policy == PlacementPolicy::kLeastWork) {
      return this->ChooseLeastWork(owner);
    }
    BackendQuery query;
    query.servers = this->pointers;
    const SampleWork work = this->WorkOf(owner, sample, left_ms);
    const FleetServer* const server =
        this->policy == PlacementPolicy::kExpectedEnd
            ? ExpectedEndPlacement().Choose(query, work, owner.loads,
                                            this->Now(), this->choices)
            : ChooseBackend(query, owner.loads, this->Now(), this->choices);
    return server == nullptr
               ? kNone
               : static_cast<std::size_t>(server - this->fleet.data());
  }
  std::size_t ChooseLeastWork(const Owner& owner) {
    std::vector<double> owed(this->servers.size());
    for (const Sample& sample : this->samples) {
      if (sample.server != kNone && !sample.done &&
          &this->owners[this->jobs[sample.job].owner] == &owner) {
        owed[sample.server] +=
            static_cast<double>(sample.hint) / kTokensPerEvent;
      }
    }
    std::size_t best = kNone;
    for (std::size_t index = 0; index < owed.size(); ++index) {
      const bool usable =
          owner.loads.InFlight(this->IdOf(index)) < kSlots &&
          !owner.loads.InBackoff(this->IdOf(index), this->Now());
      if (usable && (best == kNone || owed[index] < owed[best])) {
        best = index;
      }
    }
    return best;
  }
  // Among the servers with a free slot: the slowest where the sample doesn't
  // delay its job, else where it ends first.
  std::size_t ChooseAsOracle(const Sample& sample) {
    double longest = 0;
    for (const std::size_t index : this->jobs[sample.job].samples) {
      const Sample& other = this->samples[index];
      longest =
          std::max(longest, other.done ? 0 : other.events - other.progress);
    }
    double fast_ms = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      fast_ms = std::min(fast_ms, this->EventMsOf(index));
    }
    std::size_t best = kNone;
    double best_score = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      const Server& server = this->servers[index];
      const std::size_t load = server.running.size() + server.queue.size();
      if (load >= kSlots) {
        continue;
      }
      const double event_ms = this->EventMsOf(index) * LoadFactor(load);
      const double end_ms = (sample.events - sample.progress) * event_ms;
      const double score =
          end_ms <= longest * fast_ms
              ? static_cast<double>(load) / kSlots + fast_ms / event_ms
              : end_ms + 1'000;
      if (score < best_score) {
        best = index;
        best_score = score;
      }
    }
    return best;
  }
  void Send(Owner& owner, std::size_t index, std::size_t chosen) {
    Sample& sample = this->samples[index];
    Server& server = this->servers[chosen];
    const std::string& id = this->IdOf(chosen);
    owner.loads.Begin(id);
    if (server.queue.size() + server.running.size() >= kSlots + kQueue) {
      owner.loads.End(id, SendOutcome::kRefused, Milliseconds(1), this->Now());
      constexpr double kRetryMs = 40;
      sample.not_before_ms = this->now_ms + kRetryMs;
      return;
    }
    sample.server = chosen;
    sample.sent_ms = this->now_ms;
    sample.begun = false;
    sample.arrivals.clear();
    server.queue.push_back(index);
  }

  void MoveStragglers(std::size_t number) {
    Owner& owner = this->owners[number];
    for (const std::size_t open : owner.open_jobs) {
      const double left_ms = this->JobLeftMs(owner, this->jobs[open]);
      for (const std::size_t index : this->jobs[open].samples) {
        Sample& sample = this->samples[index];
        if (sample.done || !sample.begun || sample.server == kNone ||
            !this->ShouldMove(owner, sample, left_ms)) {
          continue;
        }
        ++this->moves;
        ++sample.moves;
        owner.loads.End(this->IdOf(sample.server), SendOutcome::kCancelled,
                        Milliseconds(1), this->Now());
        std::erase(this->servers[sample.server].running, index);
        sample.server = kNone;
        sample.progress = std::floor(sample.progress);
        sample.not_before_ms = this->now_ms + kMoveMs;
      }
    }
  }
  bool ShouldMove(const Owner& owner, const Sample& sample, double left_ms) {
    const std::string& id = this->IdOf(sample.server);
    if (this->policy == PlacementPolicy::kLeastRequests) {
      return ShouldMigrateStream(
          static_cast<std::size_t>(sample.progress),
          owner.loads.ProcessingTimeMs(id),
          ShortestProcessingTimeMs(this->pointers, owner.loads));
    }
    if (this->policy == PlacementPolicy::kOracle) {
      return this->OracleMoves(sample);
    }
    BackendQuery query;
    query.servers = this->pointers;
    const RunningSample running{id, Milliseconds(0), sample.moves};
    return this->policy == PlacementPolicy::kExpectedEnd &&
           ChooseMoveTarget(query, this->WorkOf(owner, sample, left_ms),
                            running, owner.loads, this->Now()) != nullptr;
  }

  bool OracleMoves(const Sample& sample) const {
    const double left = sample.events - sample.progress;
    const auto end_ms = [this, left](std::size_t server, std::size_t load) {
      return left * this->EventMsOf(server) * LoadFactor(load);
    };
    double best_ms = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      const std::size_t load = this->servers[index].running.size() +
                               this->servers[index].queue.size();
      if (load < kSlots) {
        best_ms = std::min(best_ms, end_ms(index, load));
      }
    }
    constexpr double kGainMs = 500;
    return best_ms + kMoveMs + kGainMs <
           end_ms(sample.server, this->servers[sample.server].running.size());
  }

  PlacementSetup setup;
  PlacementPolicy policy;
  // Of lengths, hints and slowdowns, which are the same for all policies.
  Random random;
  Random choices{1};
  std::vector<FleetServer> fleet;
  std::vector<const FleetServer*> pointers;
  std::vector<Server> servers;
  std::vector<Owner> owners;
  std::vector<Job> jobs;
  std::vector<Sample> samples;
  double now_ms = 0;
  std::size_t moves = 0;
};

}  // namespace carobbank
