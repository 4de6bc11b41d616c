// Chooses the server with the least relative load that is not in backoff.

#include "LibRouting/backend_choice.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// Weight of the newest response time in the moving average.
constexpr double kResponseTimeWeight = 0.2;
// A server in another data center costs as much as this fraction of its slots
// in use.
constexpr double kOtherDataCenterPenalty = 0.15;
// Breaks ties at random, so that processes with the same observations spread
// their requests.
constexpr double kJitter = 0.05;

bool Excluded(const BackendQuery& query, const FleetServer& server) {
  return std::find(query.excluded.begin(), query.excluded.end(), server.id) !=
         query.excluded.end();
}

bool HasFreeCapacity(const BackendQuery& query,
                     const BackendLoads& loads,
                     const FleetServer& server,
                     double slowdown) {
  const double capacity =
      std::ceil(static_cast<double>(server.slots) *
                query.max_in_flight_per_slot / std::max(slowdown, 1.0));
  return static_cast<double>(loads.InFlight(server.id)) < capacity;
}

// Lower is better.
double Score(const BackendQuery& query,
             const BackendLoads& loads,
             const FleetServer& server,
             double slowdown,
             Random& random) {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(server.slots, 1));
  const double load =
      (static_cast<double>(loads.InFlight(server.id)) + 1) / slots;
  const double distance_penalty =
      server.data_center == query.data_center ? 0.0 : kOtherDataCenterPenalty;
  return load * slowdown + distance_penalty + random.Unit() * kJitter;
}

std::vector<double> KnownProcessingTimesMs(
    std::span<const FleetServer* const> servers,
    const BackendLoads& loads) {
  std::vector<double> times;
  for (const FleetServer* const server : servers) {
    const double time = loads.ProcessingTimeMs(server->id);
    if (time > 0) {
      times.push_back(time);
    }
  }
  return times;
}

}  // namespace

double ShortestProcessingTimeMs(std::span<const FleetServer* const> servers,
                                const BackendLoads& loads) {
  const std::vector<double> times = KnownProcessingTimesMs(servers, loads);
  return times.empty() ? 0 : *std::min_element(times.begin(), times.end());
}

double MedianProcessingTimeMs(std::span<const FleetServer* const> servers,
                              const BackendLoads& loads) {
  std::vector<double> times = KnownProcessingTimesMs(servers, loads);
  if (times.empty()) {
    return 0;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

bool ShouldMigrateStream(std::size_t events, double own_ms, double other_ms) {
  // A new request, the wait for a slot in the batch, and the slowdown of other
  // requests at the target by the prefill of the output so far.
  constexpr double kMigrationCostMs = 500;
  // Event gaps are measured in whole milliseconds.
  constexpr double kMinimumRatio = 1.15;
  if (own_ms <= 0 || other_ms <= 0 || own_ms < other_ms * kMinimumRatio) {
    return false;
  }
  return static_cast<double>(events) * (own_ms - other_ms) > kMigrationCostMs;
}

double RelativeSlowdown(const FleetServer& server,
                        const BackendLoads& loads,
                        double median_ms) {
  const double time = loads.ProcessingTimeMs(server.id);
  if (time <= 0 || median_ms <= 0) {
    return 1.0;
  }
  constexpr double kMinimumSlowdown = 0.5;
  return std::max(time / median_ms, kMinimumSlowdown);
}

void BackendLoads::Begin(std::string_view server_id) {
  ++this->states[std::string(server_id)].in_flight;
}

void BackendLoads::End(std::string_view server_id,
                       SendOutcome outcome,
                       Milliseconds elapsed,
                       MonotonicTime now) {
  State& state = this->states[std::string(server_id)];
  state.in_flight = std::max<std::int64_t>(state.in_flight - 1, 0);
  switch (outcome) {
    case SendOutcome::kAnswered: {
      state.failures_in_row = 0;
      const auto sample = static_cast<double>(elapsed.count());
      state.mean_response_ms =
          state.mean_response_ms == 0
              ? sample
              : state.mean_response_ms +
                    kResponseTimeWeight * (sample - state.mean_response_ms);
      break;
    }
    case SendOutcome::kRefused:
      state.backoff_until =
          std::max(state.backoff_until, now + kRefusalBackoff);
      this->paces.OnRefused(server_id, now);
      break;
    case SendOutcome::kFailed: {
      if (state.last_failure != MonotonicTime::min() &&
          now - elapsed < state.last_failure) {
        break;
      }
      state.last_failure = now;
      constexpr std::int64_t kMaxDoublings = 4;
      const std::int64_t doublings =
          std::min(state.failures_in_row, kMaxDoublings);
      const Milliseconds backoff =
          std::min(kInitialFailureBackoff * (std::int64_t{1} << doublings),
                   kMaximumFailureBackoff);
      ++state.failures_in_row;
      state.backoff_until = std::max(state.backoff_until, now + backoff);
      break;
    }
    case SendOutcome::kCancelled:
      break;
  }
}

void BackendLoads::OnRestarted(std::string_view server_id) {
  this->paces.Remove(server_id);
  const auto found = this->states.find(server_id);
  if (found != this->states.end()) {
    State fresh;
    fresh.in_flight = found->second.in_flight;
    // Attempts at the earlier start may still end.
    fresh.last_failure = found->second.last_failure;
    found->second = fresh;
  }
}

std::int64_t BackendLoads::InFlight(std::string_view server_id) const {
  const auto found = this->states.find(server_id);
  return found == this->states.end() ? 0 : found->second.in_flight;
}

bool BackendLoads::InBackoff(std::string_view server_id,
                             MonotonicTime now) const {
  const auto found = this->states.find(server_id);
  return found != this->states.end() && found->second.backoff_until > now;
}

void BackendLoads::RecordEventGap(std::string_view server_id,
                                  Milliseconds gap,
                                  MonotonicTime now) {
  State& state = this->states[std::string(server_id)];
  if (!state.window_start || now - *state.window_start > kEventGapWindow) {
    state.previous_gap = state.current_gap;
    state.current_gap.reset();
    state.window_start = now;
  }
  state.current_gap = std::min(state.current_gap.value_or(gap), gap);
  this->paces.OnEventGap(server_id, static_cast<double>(gap.count()),
                         state.in_flight, now);
}

void BackendLoads::RecordFirstEvent(std::string_view server_id,
                                    Milliseconds since_sent,
                                    MonotonicTime now) {
  this->paces.OnFirstEvent(server_id, since_sent, this->InFlight(server_id),
                           now);
}

void BackendLoads::RecordSilence(std::string_view server_id,
                                 Milliseconds silence,
                                 MonotonicTime now) {
  this->paces.OnSilence(server_id, silence, now);
}

double BackendLoads::ProcessingTimeMs(std::string_view server_id) const {
  const auto found = this->states.find(server_id);
  if (found == this->states.end()) {
    return 0;
  }
  const State& state = found->second;
  if (!state.previous_gap && !state.current_gap) {
    return state.mean_response_ms;
  }
  const Milliseconds shortest =
      std::min(state.previous_gap.value_or(Milliseconds::max()),
               state.current_gap.value_or(Milliseconds::max()));
  return static_cast<double>(shortest.count());
}

const FleetServer* ChooseBackend(const BackendQuery& query,
                                 const BackendLoads& loads,
                                 MonotonicTime now,
                                 Random& random) {
  const double median_ms = MedianProcessingTimeMs(query.servers, loads);
  const FleetServer* best = nullptr;
  double best_score = 0;
  for (const FleetServer* const server : query.servers) {
    const double slowdown = RelativeSlowdown(*server, loads, median_ms);
    if (Excluded(query, *server) ||
        !HasFreeCapacity(query, loads, *server, slowdown)) {
      continue;
    }
    const bool in_backoff = loads.InBackoff(server->id, now);
    if (in_backoff && !query.allow_backoff) {
      continue;
    }
    if (server->id == query.preferred_id && !in_backoff) {
      return server;
    }
    // A server in backoff ranks after all others.
    constexpr double kBackoffPenalty = 1'000;
    const double score = Score(query, loads, *server, slowdown, random) +
                         (in_backoff ? kBackoffPenalty : 0.0);
    if (best == nullptr || score < best_score) {
      best = server;
      best_score = score;
    }
  }
  return best;
}

}  // namespace carobbank
