// Least relative load among the servers that are not avoided.

#include "LibRouting/backend_choice.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// A new sample's weight in the mean time of answers.
constexpr double kMeanWeight = 0.2;
// Going to another data center costs about as much as this share of a server's
// slots in use.
constexpr double kFarPenalty = 0.15;
// Breaks ties, so that processes with the same view spread out.
constexpr double kJitter = 0.05;

bool Excluded(const BackendQuery& query, const FleetServer& server) {
  return std::find(query.excluded.begin(), query.excluded.end(), server.id) !=
         query.excluded.end();
}

bool HasRoom(const BackendQuery& query,
             const BackendLoads& loads,
             const FleetServer& server,
             double slowness) {
  const double room = std::ceil(static_cast<double>(server.slots) *
                                query.room_per_slot / std::max(slowness, 1.0));
  return static_cast<double>(loads.InFlight(server.id)) < room;
}

// Smaller is better.
double Score(const BackendQuery& query,
             const BackendLoads& loads,
             const FleetServer& server,
             double slowness,
             Random& random) {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(server.slots, 1));
  const double load =
      (static_cast<double>(loads.InFlight(server.id)) + 1) / slots;
  const double distance =
      server.data_center == query.data_center ? 0.0 : kFarPenalty;
  return load * slowness + distance + random.Unit() * kJitter;
}

std::vector<double> KnownWorkTimesMs(
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
  const std::vector<double> times = KnownWorkTimesMs(servers, loads);
  return times.empty() ? 0 : *std::min_element(times.begin(), times.end());
}

double MedianProcessingTimeMs(std::span<const FleetServer* const> servers,
                              const BackendLoads& loads) {
  std::vector<double> times = KnownWorkTimesMs(servers, loads);
  if (times.empty()) {
    return 0;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

bool ShouldMigrateStream(std::size_t events, double own_ms, double other_ms) {
  // A request, the wait for a place in the batch, and what the text that is
  // read in again costs the others there.
  constexpr double kMoveCostMs = 500;
  // Times of an event are known to the millisecond.
  constexpr double kLeastRatio = 1.15;
  if (own_ms <= 0 || other_ms <= 0 || own_ms < other_ms * kLeastRatio) {
    return false;
  }
  return static_cast<double>(events) * (own_ms - other_ms) > kMoveCostMs;
}

double RelativeSlowdown(const FleetServer& server,
                        const BackendLoads& loads,
                        double typical_ms) {
  const double time = loads.ProcessingTimeMs(server.id);
  if (time <= 0 || typical_ms <= 0) {
    return 1.0;
  }
  constexpr double kLeastSlowness = 0.5;
  return std::max(time / typical_ms, kLeastSlowness);
}

void BackendLoads::Begin(std::string_view server_id) {
  ++this->states[std::string(server_id)].in_flight;
}

void BackendLoads::End(std::string_view server_id,
                       SendOutcome outcome,
                       Milliseconds took,
                       MonotonicTime now) {
  State& state = this->states[std::string(server_id)];
  state.in_flight = std::max<std::int64_t>(state.in_flight - 1, 0);
  switch (outcome) {
    case SendOutcome::kAnswered: {
      state.failures_in_row = 0;
      const auto sample = static_cast<double>(took.count());
      state.mean_answer_ms =
          state.mean_answer_ms == 0
              ? sample
              : state.mean_answer_ms +
                    kMeanWeight * (sample - state.mean_answer_ms);
      break;
    }
    case SendOutcome::kRefused:
      state.avoided_until =
          std::max(state.avoided_until, now + kRefusalBackoff);
      break;
    case SendOutcome::kFailed: {
      constexpr std::int64_t kMostDoublings = 4;
      const std::int64_t doublings =
          std::min(state.failures_in_row, kMostDoublings);
      const Milliseconds pause =
          std::min(kInitialFailureBackoff * (std::int64_t{1} << doublings),
                   kMaximumFailureBackoff);
      ++state.failures_in_row;
      state.avoided_until = std::max(state.avoided_until, now + pause);
      break;
    }
    case SendOutcome::kCancelled:
      break;
  }
}

std::int64_t BackendLoads::InFlight(std::string_view server_id) const {
  const auto found = this->states.find(server_id);
  return found == this->states.end() ? 0 : found->second.in_flight;
}

bool BackendLoads::InBackoff(std::string_view server_id,
                             MonotonicTime now) const {
  const auto found = this->states.find(server_id);
  return found != this->states.end() && found->second.avoided_until > now;
}

void BackendLoads::RecordEventGap(std::string_view server_id,
                                  Milliseconds gap,
                                  MonotonicTime now) {
  State& state = this->states[std::string(server_id)];
  if (!state.window_began || now - *state.window_began > kEventGapWindow) {
    state.last_gap = state.current_gap;
    state.current_gap.reset();
    state.window_began = now;
  }
  state.current_gap = std::min(state.current_gap.value_or(gap), gap);
}

double BackendLoads::ProcessingTimeMs(std::string_view server_id) const {
  const auto found = this->states.find(server_id);
  if (found == this->states.end()) {
    return 0;
  }
  const State& state = found->second;
  if (!state.last_gap && !state.current_gap) {
    return state.mean_answer_ms;
  }
  const Milliseconds shortest =
      std::min(state.last_gap.value_or(Milliseconds::max()),
               state.current_gap.value_or(Milliseconds::max()));
  return static_cast<double>(shortest.count());
}

const FleetServer* ChooseBackend(const BackendQuery& query,
                                 const BackendLoads& loads,
                                 MonotonicTime now,
                                 Random& random) {
  const double typical_ms = MedianProcessingTimeMs(query.servers, loads);
  const FleetServer* best = nullptr;
  double best_score = 0;
  for (const FleetServer* const server : query.servers) {
    const double slowness = RelativeSlowdown(*server, loads, typical_ms);
    if (Excluded(query, *server) || !HasRoom(query, loads, *server, slowness)) {
      continue;
    }
    const bool avoided = loads.InBackoff(server->id, now);
    if (avoided && !query.allow_backoff) {
      continue;
    }
    if (server->id == query.preferred_id && !avoided) {
      return server;
    }
    // An avoided server comes after every other.
    constexpr double kAvoidedPenalty = 1'000;
    const double score = Score(query, loads, *server, slowness, random) +
                         (avoided ? kAvoidedPenalty : 0.0);
    if (best == nullptr || score < best_score) {
      best = server;
      best_score = score;
    }
  }
  return best;
}

}  // namespace carobbank
