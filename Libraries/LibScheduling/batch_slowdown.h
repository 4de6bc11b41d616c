// Estimates from an engine's reports how much each further work item slows the
// batch, and limits the batch size so that live work is not slowed too much.

#pragma once

#include <cstdint>

namespace carobbank {

class BatchSlowdown {
 public:
  // Records that the engine reported this time between two tokens with
  // `running` work items in the batch.
  void Observe(std::uint32_t running, double token_interval_us);

  // The largest batch whose token interval is at most `factor` times that of a
  // batch of only `live_running` work items; UINT32_MAX until the reports allow
  // an estimate.
  std::uint32_t LargestBatch(std::uint32_t live_running, double factor) const;

 private:
  // Sums of a least-squares line of the interval over the batch size. The
  // weight of a report decays with each later one.
  double weight = 0.0;
  double sum_running = 0.0;
  double sum_interval = 0.0;
  double sum_running_squared = 0.0;
  double sum_product = 0.0;
};

}  // namespace carobbank
