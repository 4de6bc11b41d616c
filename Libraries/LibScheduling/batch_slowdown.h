// How much each further work slows an engine's batch, learned from its reports,
// and how large a batch live work can share without being slowed too much.

#pragma once

#include <cstdint>

namespace carobbank {

class BatchSlowdown {
 public:
  // The engine reported this time between two tokens with `running` works.
  void Observe(std::uint32_t running, double token_interval_us);

  // The largest batch whose token interval is at most `factor` times the one of
  // a batch of `live_running` works alone; UINT32_MAX until enough is known.
  std::uint32_t LargestBatch(std::uint32_t live_running, double factor) const;

 private:
  // Sums of a least-squares line of interval over running, with older reports
  // counting less and less.
  double weight = 0.0;
  double sum_running = 0.0;
  double sum_interval = 0.0;
  double sum_running_squared = 0.0;
  double sum_product = 0.0;
};

}  // namespace carobbank
