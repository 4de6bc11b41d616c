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
             const FleetServer& server) {
  const double room =
      std::ceil(static_cast<double>(server.slots) * query.room_per_slot);
  return static_cast<double>(loads.InFlight(server.id)) < room;
}

// Smaller is better.
double Score(const BackendQuery& query,
             const BackendLoads& loads,
             const FleetServer& server,
             double typical_ms,
             Random& random) {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(server.slots, 1));
  const double load =
      (static_cast<double>(loads.InFlight(server.id)) + 1) / slots;
  const double mean = loads.MeanAnswerMs(server.id);
  const double slowness =
      mean > 0 && typical_ms > 0 ? std::max(mean / typical_ms, 0.5) : 1.0;
  const double distance =
      server.data_center == query.data_center ? 0.0 : kFarPenalty;
  return load * slowness + distance + random.Unit() * kJitter;
}

double TypicalAnswerMs(const BackendQuery& query, const BackendLoads& loads) {
  std::vector<double> means;
  for (const FleetServer* const server : query.servers) {
    const double mean = loads.MeanAnswerMs(server->id);
    if (mean > 0) {
      means.push_back(mean);
    }
  }
  if (means.empty()) {
    return 0;
  }
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

}  // namespace

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
      state.avoided_until = std::max(state.avoided_until, now + kRefusedPause);
      break;
    case SendOutcome::kFailed: {
      constexpr std::int64_t kMostDoublings = 4;
      const std::int64_t doublings =
          std::min(state.failures_in_row, kMostDoublings);
      const Milliseconds pause =
          std::min(kFirstFailurePause * (std::int64_t{1} << doublings),
                   kLongestFailurePause);
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

bool BackendLoads::Avoided(std::string_view server_id,
                           MonotonicTime now) const {
  const auto found = this->states.find(server_id);
  return found != this->states.end() && found->second.avoided_until > now;
}

double BackendLoads::MeanAnswerMs(std::string_view server_id) const {
  const auto found = this->states.find(server_id);
  return found == this->states.end() ? 0 : found->second.mean_answer_ms;
}

const FleetServer* ChooseBackend(const BackendQuery& query,
                                 const BackendLoads& loads,
                                 MonotonicTime now,
                                 Random& random) {
  const double typical_ms = TypicalAnswerMs(query, loads);
  const FleetServer* best = nullptr;
  double best_score = 0;
  for (const FleetServer* const server : query.servers) {
    if (Excluded(query, *server) || !HasRoom(query, loads, *server)) {
      continue;
    }
    const bool avoided = loads.Avoided(server->id, now);
    if (avoided && !query.allow_avoided) {
      continue;
    }
    if (server->id == query.preferred_id && !avoided) {
      return server;
    }
    // An avoided server comes after every other.
    constexpr double kAvoidedPenalty = 1'000;
    const double score = Score(query, loads, *server, typical_ms, random) +
                         (avoided ? kAvoidedPenalty : 0.0);
    if (best == nullptr || score < best_score) {
      best = server;
      best_score = score;
    }
  }
  return best;
}

}  // namespace carobbank
