// Appends to the log how many requests this gateway has at the servers of the
// services whose number of servers is ordered.

#pragma once

#include <memory>

#include "gateway_environment.h"

namespace carobbank {

class LoadPublisher {
 public:
  LoadPublisher(GatewayEnvironment& environment, TopicPartition partition);
  ~LoadPublisher();
  LoadPublisher(const LoadPublisher&) = delete;
  LoadPublisher& operator=(const LoadPublisher&) = delete;

 private:
  void Tick();
  void Sample();
  void Publish();
  // The loads differ enough from the last appended ones, or those are old.
  bool IsDue(const ServiceLoads& loads) const;

  GatewayEnvironment& environment;
  TopicPartition partition;
  // Sums of the samples since the last Publish().
  ServiceLoads sums;
  std::int64_t samples = 0;
  ServiceLoads appended;
  MonotonicTime appended_at = MonotonicTime::min();
  bool appending = false;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
