// When each server of a pool loads new weights: immediately, or in waves.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

enum class SwapPace {
  // Every server as soon as it receives the new version number.
  kAtOnce,
  // A limited fraction of the pool at a time, so that the other servers
  // continue to serve and the weight store doesn't get all requests at once.
  kRolling,
};

struct SwapPlan {
  SwapPace pace = SwapPace::kAtOnce;
  // Largest fraction of the pool that loads at the same time, in (0, 1].
  double max_parallel_fraction = 0.25;
  // Duration of one wave.
  Milliseconds wave_time{1'500};
};

// Delay after which the server `self` starts to load `version`, from the time
// when it received the version number. The order within the pool is a
// rendezvous hash of server, model and version: every server computes it
// independently, and no server is always last. A server that the delayed
// instance list doesn't contain yet starts immediately.
Milliseconds SwapDelay(const SwapPlan& plan,
                       std::string_view self,
                       std::span<const std::string> pool,
                       std::string_view model,
                       std::uint64_t version);

}  // namespace carobbank
