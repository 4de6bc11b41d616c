// Up at once, down slowly.

#include "LibScheduling/scale_policy.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

std::int64_t ServersFor(double requests, std::int64_t slots_per_server) {
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(slots_per_server, 1));
  return static_cast<std::int64_t>(std::ceil(requests / slots));
}

}  // namespace

std::int64_t ScalePolicy::Clamp(std::int64_t servers) const {
  // With contradicting limits the lower one counts, which costs less.
  return std::min(std::max(servers, this->limits.min), this->limits.max);
}

std::int64_t ScalePolicy::NeedOf(const ScaleObservation& observation) const {
  const auto present =
      static_cast<double>(observation.running + observation.waiting);
  std::int64_t need =
      ServersFor(present / kTargetOccupation, observation.slots_per_server);
  // A server that is ordered later than a boot time before the step is late.
  const bool step_is_near =
      observation.next_step_in &&
      *observation.next_step_in <= this->limits.boot + kDownMargin;
  if (step_is_near) {
    need = std::max(need, ServersFor(static_cast<double>(observation.next_step),
                                     observation.slots_per_server));
  }
  return this->Clamp(need);
}

std::int64_t ScalePolicy::HighestNeed(std::int64_t need, MonotonicTime now) {
  while (!this->needs.empty() && this->needs.back().servers <= need) {
    this->needs.pop_back();
  }
  this->needs.push_back({now, need});
  const Milliseconds hold = this->limits.boot + kDownMargin;
  while (now - this->needs.front().at > hold) {
    this->needs.pop_front();
  }
  return this->needs.front().servers;
}

bool ScalePolicy::KnowsHoldTime(MonotonicTime now) const {
  return this->ordered &&
         now - this->first_update > this->limits.boot + kDownMargin;
}

std::int64_t ScalePolicy::Update(const ScaleObservation& observation,
                                 MonotonicTime now) {
  if (!this->ordered) {
    this->ordered = observation.ready;
    this->first_update = now;
  }
  const std::int64_t need = this->NeedOf(observation);
  const std::int64_t highest = this->HighestNeed(need, now);
  const bool known_long_enough = this->KnowsHoldTime(now);
  const bool step_allowed = this->last_step_down == MonotonicTime::min() ||
                            now - this->last_step_down >= kDownPeriod;
  std::int64_t& servers = *this->ordered;
  if (!known_long_enough) {
    servers = std::max(servers, observation.ready);
  }
  if (need > servers) {
    servers = need;
  } else if (highest < servers && known_long_enough && step_allowed) {
    --servers;
    this->last_step_down = now;
  }
  servers = this->Clamp(servers);
  return servers;
}

}  // namespace carobbank
