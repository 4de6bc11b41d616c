// Scores servers by the sample's expected end, or by their load if the sample
// doesn't delay its job there.

#include "LibRouting/expected_end_placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace carobbank {

namespace {

// A server in another data center, where the sample fits, costs as much as this
// fraction of its slots in use; see backend_choice.cc.
constexpr double kOtherDataCenterPenalty = 0.15;
constexpr double kJitter = 0.05;
// Where a sample fits, a server that is faster by its own pace costs as much as
// this fraction of its slots in use, so that fast servers keep room.
constexpr double kReservePenalty = 0.5;
// A sample fits a server if it ends there within this part of its job's time
// left. Expected lengths of the longest samples are too high as a rule, and a
// sample that turns out long needs the rest.
constexpr double kFitPart = 0.5;
// A running sample that ends within this part isn't moved.
constexpr double kDelayPart = 0.35;
// Ends that differ by less are alike; the servers' load decides then.
constexpr double kTolerancePart = 0.1;
// A new request, the wait for a slot in the batch, and the slowdown of other
// requests at the target by the prefill of the output so far.
constexpr double kMoveCostMs = 500;
// A move must save this time, and this part of the time left.
constexpr double kMinimumGainMs = 500;
constexpr double kMinimumGainPart = 0.2;
// A change of weights pauses a server's streams for about a second.
constexpr Milliseconds kUsualSilence{1'200};
// A target whose requests lately waited longer is full of others' requests.
constexpr double kMaxTargetWaitMs = 150;

bool IsExcluded(const BackendQuery& query, const FleetServer& server) {
  return std::find(query.excluded.begin(), query.excluded.end(), server.id) !=
         query.excluded.end();
}

double CapacityOf(const BackendQuery& query, const FleetServer& server) {
  return std::ceil(static_cast<double>(server.slots) *
                   query.max_in_flight_per_slot);
}

double LoadOf(const FleetServer& server, std::int64_t in_flight) {
  return static_cast<double>(in_flight + 1) /
         static_cast<double>(std::max<std::int64_t>(server.slots, 1));
}

// Known times between events without load.
std::vector<double> KnownEventMs(std::span<const FleetServer* const> servers,
                                 const ServerPaces& paces,
                                 MonotonicTime now) {
  std::vector<double> known;
  known.reserve(servers.size());
  for (const FleetServer* const server : servers) {
    const ServerPace* const pace = paces.Find(server->id);
    if (pace != nullptr && pace->IsKnown()) {
      known.push_back(pace->EventMs(1, now));
    }
  }
  return known;
}

// `part` 0 to 1; reorders `values`, which must not be empty.
double Quantile(std::vector<double>& values, double part) {
  const auto position =
      values.begin() + static_cast<std::ptrdiff_t>(
                           part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

// Time until a running sample ends at its server; nothing if unknown.
std::optional<double> OwnEndMs(const SampleWork& work,
                               const RunningSample& running,
                               const BackendLoads& loads,
                               MonotonicTime now) {
  const ServerPace* const pace = loads.Paces().Find(running.server_id);
  if (!work.events || pace == nullptr || !pace->IsKnown()) {
    return std::nullopt;
  }
  // A longer silence lasts as long again.
  const Milliseconds silence =
      running.silence > kUsualSilence ? running.silence : Milliseconds(0);
  return static_cast<double>(silence.count()) +
         work.events->upper *
             pace->SettledEventMs(loads.InFlight(running.server_id), now);
}

}  // namespace

const FleetServer* LeastRequestsPlacement::Choose(const BackendQuery& query,
                                                  const SampleWork& /*work*/,
                                                  const BackendLoads& loads,
                                                  MonotonicTime now,
                                                  Random& random) const {
  return ChooseBackend(query, loads, now, random);
}

const FleetServer* ExpectedEndPlacement::Choose(const BackendQuery& query,
                                                const SampleWork& work,
                                                const BackendLoads& loads,
                                                MonotonicTime now,
                                                Random& random) const {
  std::vector<double> known = KnownEventMs(query.servers, loads.Paces(), now);
  if (!work.events || known.empty()) {
    return ChooseBackend(query, loads, now, random);
  }
  const double median_ms = Quantile(known, 0.5);
  const FleetServer* best = nullptr;
  double best_score = 0;
  for (const FleetServer* const server : query.servers) {
    const std::int64_t in_flight = loads.InFlight(server->id);
    if (IsExcluded(query, *server) ||
        static_cast<double>(in_flight) >= CapacityOf(query, *server)) {
      continue;
    }
    const bool in_backoff = loads.InBackoff(server->id, now);
    if (in_backoff && !query.allow_backoff) {
      continue;
    }
    const ServerPace* const pace = loads.Paces().Find(server->id);
    const bool is_known = pace != nullptr && pace->IsKnown();
    const double event_ms =
        is_known ? pace->EventMs(in_flight + 1, now) : median_ms;
    const double wait_ms = pace == nullptr ? 0 : pace->WaitMs(now);
    const double late_end_ms = wait_ms + work.events->high * event_ms;
    const double load =
        LoadOf(*server, in_flight) +
        (server->data_center == query.data_center ? 0
                                                  : kOtherDataCenterPenalty) +
        random.Unit() * kJitter;
    // All servers where the sample fits rank before the others, and a server in
    // backoff after all.
    constexpr double kMissPenalty = 1'000;
    constexpr double kBackoffPenalty = 1'000'000;
    double score = in_backoff ? kBackoffPenalty : 0;
    if (late_end_ms <= kFitPart * work.job_left_ms) {
      score += load + kReservePenalty * median_ms / event_ms;
    } else {
      // In units of the tolerated difference.
      const double end_ms = wait_ms + work.events->mean * event_ms;
      score += kMissPenalty + load +
               end_ms / (kTolerancePart * work.events->mean * median_ms);
    }
    const bool preferred = server->id == query.preferred_id;
    score -= preferred ? 2 * kJitter : 0;
    if (best == nullptr || score < best_score) {
      best = server;
      best_score = score;
    }
  }
  return best;
}

bool DelaysJob(const SampleWork& work,
               const RunningSample& running,
               const BackendLoads& loads,
               MonotonicTime now) {
  const std::optional<double> end_ms = OwnEndMs(work, running, loads, now);
  return end_ms && *end_ms > kDelayPart * work.job_left_ms;
}

const FleetServer* ChooseMoveTarget(const BackendQuery& query,
                                    const SampleWork& work,
                                    const RunningSample& running,
                                    const BackendLoads& loads,
                                    MonotonicTime now) {
  if (running.moves >= kMaxMovesPerSample ||
      !DelaysJob(work, running, loads, now)) {
    return nullptr;
  }
  const double own_end_ms = *OwnEndMs(work, running, loads, now);
  const FleetServer* best = nullptr;
  double best_end_ms =
      own_end_ms - std::max(kMinimumGainMs, kMinimumGainPart * own_end_ms);
  for (const FleetServer* const server : query.servers) {
    const std::int64_t in_flight = loads.InFlight(server->id);
    const ServerPace* const pace = loads.Paces().Find(server->id);
    if (server->id == running.server_id || IsExcluded(query, *server) ||
        static_cast<double>(in_flight) >= CapacityOf(query, *server) ||
        loads.InBackoff(server->id, now) || pace == nullptr ||
        !pace->IsKnown() || pace->WaitMs(now) > kMaxTargetWaitMs) {
      continue;
    }
    const double end_ms =
        kMoveCostMs + pace->WaitMs(now) +
        work.events->upper * pace->EventMs(in_flight + 1, now);
    if (end_ms < best_end_ms) {
      best = server;
      best_end_ms = end_ms;
    }
  }
  return best;
}

double FastEventMs(std::span<const FleetServer* const> servers,
                   const ServerPaces& paces,
                   MonotonicTime now) {
  std::vector<double> known = KnownEventMs(servers, paces, now);
  return known.empty() ? 0 : Quantile(known, 0.25);
}

bool UnevenPaceDetector::Update(std::span<const FleetServer* const> servers,
                                const ServerPaces& paces,
                                MonotonicTime now) {
  std::vector<double> known = KnownEventMs(servers, paces, now);
  if (known.size() < kMinimumServers) {
    this->spread = 0;
    this->uneven = false;
    return false;
  }
  const double lower = Quantile(known, 0.25);
  this->spread = Quantile(known, 0.75) / lower;
  this->uneven =
      this->spread >= (this->uneven ? kDisengageSpread : kEngageSpread);
  return this->uneven;
}

}  // namespace carobbank
