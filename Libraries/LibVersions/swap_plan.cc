// Assigns servers to waves by rendezvous hash.

#include "LibVersions/swap_plan.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

std::uint64_t Rank(std::string_view server,
                   std::string_view model,
                   std::uint64_t version) {
  return FastHash(server, FastHash(model, version));
}

}  // namespace

Milliseconds SwapDelay(const SwapPlan& plan,
                       std::string_view self,
                       std::span<const std::string> pool,
                       std::string_view model,
                       std::uint64_t version) {
  const bool listed = std::find(pool.begin(), pool.end(), self) != pool.end();
  if (plan.pace == SwapPace::kAtOnce || !listed) {
    return Milliseconds(0);
  }
  const std::uint64_t own_rank = Rank(self, model, version);
  const auto ahead = static_cast<std::uint64_t>(
      std::count_if(pool.begin(), pool.end(), [&](const std::string& server) {
        const std::uint64_t rank = Rank(server, model, version);
        return rank < own_rank || (rank == own_rank && server < self);
      }));
  const double parallel_servers =
      plan.max_parallel_fraction * static_cast<double>(pool.size());
  const auto wave_size =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(parallel_servers));
  return plan.wave_time * static_cast<std::int64_t>(ahead / wave_size);
}

}  // namespace carobbank
