// How many servers one service should have in one data center. Servers are paid
// for by the second, and a new one serves only after its boot time. Pure.

#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "LibCore/core.h"

namespace carobbank {

struct ScaleLimits {
  // Servers.
  std::int64_t min = 0;
  std::int64_t max = 0;
  // From the order of a server until it serves.
  Milliseconds boot{0};
};

// What is known of the service in the data center at one moment. Requests are
// those of all gateways.
struct ScaleObservation {
  // Servers that accept work.
  std::int64_t ready = 0;
  // Servers that finish their work and then end.
  std::int64_t draining = 0;
  std::int64_t slots_per_server = 1;
  // Requests at servers, whether they run or wait in a server's queue.
  std::int64_t running = 0;
  // Requests that wait for a server.
  std::int64_t waiting = 0;
  // Requests that the next steps of trainers will have at once.
  std::int64_t next_step = 0;
  // When the next step begins; nothing when it is not known.
  std::optional<Milliseconds> next_step_in;
};

class ScalePolicy {
 public:
  explicit ScalePolicy(ScaleLimits limits) : limits(limits) {}

  // The number of servers to order. Call once or more a second, with times that
  // do not decrease. A new policy starts from the servers that are ready, and
  // follows those that become ready, so that a change of the lease holder
  // orders no server to end.
  std::int64_t Update(const ScaleObservation& observation, MonotonicTime now);

  // The need of a complete hold time is known. Before that, a number that is
  // not above the ready servers should not be ordered: servers may be booting.
  bool KnowsHoldTime(MonotonicTime now) const;

  const ScaleLimits& Limits() const { return this->limits; }
  // New limits take effect at the next Update().
  void SetLimits(ScaleLimits new_limits) { this->limits = new_limits; }

  // Part of the slots that the present work may occupy: at full occupation
  // requests wait in the servers' queues.
  static constexpr double kTargetOccupation = 0.8;
  // The number goes down only after the need was lower for the boot time plus
  // this time: longer than trainers' steps and bursts are apart.
  static constexpr Milliseconds kDownMargin{10'000};
  // At least this long between two steps down, so that each shows its effect.
  static constexpr Milliseconds kDownPeriod{5'000};

 private:
  struct Need {
    MonotonicTime at;
    std::int64_t servers = 0;
  };

  std::int64_t NeedOf(const ScaleObservation& observation) const;
  // Records the need and returns the highest one within the hold time.
  std::int64_t HighestNeed(std::int64_t need, MonotonicTime now);
  std::int64_t Clamp(std::int64_t servers) const;

  ScaleLimits limits;
  // Nothing before the first Update().
  std::optional<std::int64_t> ordered;
  MonotonicTime first_update = MonotonicTime::min();
  MonotonicTime last_step_down = MonotonicTime::min();
  // Invariant: times increase and needs decrease, so the first need is the
  // highest one of the hold time.
  std::deque<Need> needs;
};

}  // namespace carobbank
