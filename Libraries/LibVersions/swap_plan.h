// When each server of a pool changes to new weights: at once, or in waves.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

enum class SwapPace {
  // Every server as soon as it hears of the version.
  kAtOnce,
  // A limited part of the pool at a time, so that the rest goes on answering
  // and the weight store is not asked by all at once.
  kRolling,
};

struct SwapPlan {
  SwapPace pace = SwapPace::kAtOnce;
  // Largest part of the pool that changes at the same time, in (0, 1].
  double max_parallel_fraction = 0.25;
  // How long one wave takes.
  Milliseconds wave_time{1'500};
};

// How long after it heard of `version` the server `self` begins its change.
// The order within the pool is a rendezvous hash of server and version: every
// server works it out alone, and no server is always last. A server that the
// lagging list doesn't name yet begins at once.
Milliseconds SwapDelay(const SwapPlan& plan,
                       std::string_view self,
                       std::span<const std::string> pool,
                       std::string_view model,
                       std::uint64_t version);

}  // namespace carobbank
