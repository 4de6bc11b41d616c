// Means of event gaps over few events and over half a minute, per server.

#include "LibRouting/server_paces.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// A step of the server's batch takes longer by this part for each further
// request.
constexpr double kLoadPerRequest = 0.02;
// Weight of the newest gap, which is itself a mean over four events.
constexpr double kGapWeight = 0.25;
constexpr double kUsualPaceMs = 30'000;
// Time that one observation stands for at most; pauses between requests don't
// count.
constexpr double kMaxObservationMs = 250;
// Without an observation the recent pace returns to the usual one, so that a
// server that was slow for a while is tried again.
constexpr double kRecentHalfLifeMs = 2'000;
constexpr double kWaitHalfLifeMs = 1'000;
constexpr double kWaitWeight = 0.5;
// A full server refuses; it frees a slot within about this time.
constexpr double kRefusedWaitMs = 300;
constexpr std::int64_t kKnownObservations = 8;
constexpr double kSlowdownFactor = 1.5;
// Events that arrive together.
constexpr double kMinimumGapMs = 0.1;

double MillisecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

double LoadFactor(std::int64_t in_flight) {
  return 1 + kLoadPerRequest *
                 static_cast<double>(std::max<std::int64_t>(in_flight - 1, 0));
}

double Remembered(double wait_ms, MonotonicTime at, MonotonicTime now) {
  if (wait_ms <= 0) {
    return 0;
  }
  const double age = MillisecondsBetween(at, now);
  return wait_ms * std::exp2(-std::max(age, 0.0) / kWaitHalfLifeMs);
}

}  // namespace

double ServerPace::EventMs(std::int64_t in_flight, MonotonicTime now) const {
  if (this->observations == 0) {
    return 0;
  }
  const double age = MillisecondsBetween(this->observed_at, now);
  const double remembered = std::exp2(-std::max(age, 0.0) / kRecentHalfLifeMs);
  return std::exp(this->usual + (this->recent - this->usual) * remembered) *
         LoadFactor(in_flight);
}

double ServerPace::SettledEventMs(std::int64_t in_flight,
                                  MonotonicTime now) const {
  if (this->slow_since && now - *this->slow_since < kSettlingTime) {
    return std::exp(this->usual) * LoadFactor(in_flight);
  }
  return this->EventMs(in_flight, now);
}

double ServerPace::WaitMs(MonotonicTime now) const {
  return std::max(Remembered(this->wait_ms, this->waited_at, now),
                  Remembered(this->silence_ms, this->silent_at, now));
}

bool ServerPace::IsKnown() const {
  return this->observations >= kKnownObservations;
}

void ServerPaces::OnEventGap(std::string_view server_id,
                             double gap_ms,
                             std::int64_t in_flight,
                             MonotonicTime now) {
  ServerPace& pace = this->paces[std::string(server_id)];
  const double value =
      std::log(std::max(gap_ms, kMinimumGapMs) / LoadFactor(in_flight));
  if (pace.observations == 0) {
    pace.recent = value;
    pace.usual = value;
  } else {
    const double elapsed =
        std::min(MillisecondsBetween(pace.observed_at, now), kMaxObservationMs);
    pace.recent += kGapWeight * (value - pace.recent);
    // The first observations count alike.
    const double weight =
        std::max(1 - std::exp(-elapsed / kUsualPaceMs),
                 pace.observations < kKnownObservations
                     ? 1 / static_cast<double>(pace.observations + 1)
                     : 0.0);
    pace.usual += weight * (value - pace.usual);
  }
  if (pace.recent - pace.usual < std::log(kSlowdownFactor)) {
    pace.slow_since.reset();
  } else if (!pace.slow_since) {
    pace.slow_since = now;
  }
  ++pace.observations;
  pace.observed_at = now;
  pace.silence_ms = 0;
}

void ServerPaces::OnFirstEvent(std::string_view server_id,
                               Milliseconds since_sent,
                               std::int64_t in_flight,
                               MonotonicTime now) {
  ServerPace& pace = this->paces[std::string(server_id)];
  if (pace.observations == 0) {
    return;
  }
  const double wait = std::max(
      static_cast<double>(since_sent.count()) - pace.EventMs(in_flight, now),
      0.0);
  const double before = Remembered(pace.wait_ms, pace.waited_at, now);
  pace.wait_ms = before + kWaitWeight * (wait - before);
  pace.waited_at = now;
}

void ServerPaces::OnSilence(std::string_view server_id,
                            Milliseconds silence,
                            MonotonicTime now) {
  ServerPace& pace = this->paces[std::string(server_id)];
  pace.silence_ms = static_cast<double>(silence.count());
  pace.silent_at = now;
}

void ServerPaces::OnRefused(std::string_view server_id, MonotonicTime now) {
  ServerPace& pace = this->paces[std::string(server_id)];
  pace.wait_ms =
      std::max(Remembered(pace.wait_ms, pace.waited_at, now), kRefusedWaitMs);
  pace.waited_at = now;
}

void ServerPaces::Remove(std::string_view server_id) {
  const auto found = this->paces.find(server_id);
  if (found != this->paces.end()) {
    this->paces.erase(found);
  }
}

const ServerPace* ServerPaces::Find(std::string_view server_id) const {
  const auto found = this->paces.find(server_id);
  return found == this->paces.end() ? nullptr : &found->second;
}

}  // namespace carobbank
