// Counts the requests of each workspace at this gateway and appends the counts
// to the log: twice per window while they change.

#pragma once

#include <memory>
#include <vector>

#include "gateway_environment.h"
#include "usage_recorder.h"

namespace carobbank {

struct UsagePublisherOptions {
  UsageCounterOptions counter;
  // The final counts of a window are appended this long after its end.
  // Instances differ by up to `spread`, so that the log does not receive the
  // appends of all gateways at once.
  Milliseconds final_delay{500};
  Milliseconds spread{500};
  // Pause after a failed append.
  Milliseconds retry_pause{1'000};
};

class UsagePublisher final : public UsageRecorder {
 public:
  UsagePublisher(GatewayEnvironment& environment,
                 TopicPartition partition,
                 UsagePublisherOptions options);
  ~UsagePublisher() override;
  UsagePublisher(const UsagePublisher&) = delete;
  UsagePublisher& operator=(const UsagePublisher&) = delete;

  void RecordBegun(std::string_view workspace, WallMilliseconds at) override;
  void RecordNotRun(std::string_view workspace, WallMilliseconds at) override;

  // From now on counts are appended soon after every change.
  void BeginDrain();
  // Every count is in the log.
  bool Idle() const;

 private:
  // Number of the half window, counted from the epoch; it begins
  // `final_delay` and this instance's share of `spread` after the begin or the
  // middle of a window.
  std::int64_t HalfWindowAt(WallMilliseconds at) const;
  void Tick();
  void Append(std::vector<UsageCountsRecord> records, std::int64_t half_window);

  GatewayEnvironment& environment;
  TopicPartition partition;
  UsagePublisherOptions options;
  // Delay of the half windows against the windows.
  Milliseconds delay;
  UsageCounter counter;
  // The newest half window whose append succeeded or was not needed.
  std::int64_t done_half_window = 0;
  bool appending = false;
  bool draining = false;
  MonotonicTime not_before = MonotonicTime::min();
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
