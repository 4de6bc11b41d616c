// The lease holder's part in autoscaling: orders the number of servers of each
// service and data center.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "duty_calls.h"
#include "gateway_environment.h"
#include "log_follower.h"
#include "log_lease.h"

namespace carobbank {

class ServerScaler {
 public:
  // Unfinished samples of each service's batch jobs, wherever they run.
  using UnfinishedSamples =
      std::function<std::map<std::string, std::int64_t>()>;

  ServerScaler(GatewayEnvironment& environment,
               LogLease& lease,
               DutyCalls& calls,
               TopicPartition loads_partition,
               UnfinishedSamples unfinished_samples);
  ~ServerScaler();
  ServerScaler(const ServerScaler&) = delete;
  ServerScaler& operator=(const ServerScaler&) = delete;

 private:
  struct Scaled {
    explicit Scaled(ScaleLimits limits) : policy(limits) {}

    ScalePolicy policy;
    std::int64_t slots_per_server = 1;
    // The number that the receiver confirmed, and the token of that call.
    std::optional<std::int64_t> confirmed;
    std::uint64_t confirmed_token = 0;
    MonotonicTime not_before = MonotonicTime::min();
  };

  void Tick();
  void Follow();
  LogFollowerHandlers LoadHandlers();
  // What is known of all services with limits.
  std::map<ServiceLocation, ScaleObservation> Observe(MonotonicTime now);
  void AddWaitingSamples(
      std::map<ServiceLocation, ScaleObservation>& observations) const;
  void Update(const ServiceLocation& location,
              const ScaleObservation& observation,
              MonotonicTime now);
  void Send(const ServiceLocation& location,
            Scaled& scaled,
            std::int64_t servers);
  void DeleteOldLoads(MonotonicTime now);

  GatewayEnvironment& environment;
  LogLease& lease;
  DutyCalls& calls;
  TopicPartition loads_partition;
  UnfinishedSamples unfinished_samples;
  ServiceLoadFold loads;
  // Null while this instance does not hold the lease.
  std::unique_ptr<LogFollower> follower;
  // Cleared when the lease is lost.
  std::map<ServiceLocation, Scaled> scaled;
  bool deleting = false;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
