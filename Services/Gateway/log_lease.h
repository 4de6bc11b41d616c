// A lease in the log that one instance of the fleet holds at a time: the right
// to send orders to engines and to carry out duties. Another instance may
// acquire it only after a lease duration without a renewal, and the holder
// stops using it well before that.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway_environment.h"
#include "log_follower.h"

namespace carobbank {

// Both handlers may be empty.
struct LogLeaseHandlers {
  // The first record of another holder than before was read.
  std::function<void()> on_holder_changed;
  // Called after the records of one read of the log.
  std::function<void()> on_batch;
};

class LogLease {
 public:
  LogLease(GatewayEnvironment& environment,
           TopicPartition partition,
           LogLeaseHandlers handlers);
  ~LogLease();
  LogLease(const LogLease&) = delete;
  LogLease& operator=(const LogLease&) = delete;

  // Sets whether this instance acquires the lease when no instance holds it.
  void SetElected(bool elected) { this->elected = elected; }
  bool Elected() const { return this->elected; }
  // Stops acquiring, renewing and using the lease, for a shutdown.
  void Shutdown() { this->shut_down = true; }

  // This instance may use the lease now.
  bool HoldsLease() const;
  // Increases with each change of the holder; of the newest lease in the log.
  std::uint64_t FencingToken() const { return this->state.FencingToken(); }
  // A receiver has seen a higher token than `token`. If it is the current one,
  // this instance does not use the lease until it has acquired a new one.
  void OnFenced(std::uint64_t token);
  // See LeaseState; by Clock::BootNow(). Empty after Shutdown().
  std::optional<MonotonicTime> ConfirmedUntil() const;
  MonotonicTime HeldSince() const { return this->state.HeldSince(); }
  Milliseconds Duration() const { return this->state.Duration(); }

 private:
  LogFollowerHandlers FollowerHandlers();
  void ApplyRecord(const KeyedLogRecord& record);
  void Tick();
  void AppendRecord();

  GatewayEnvironment& environment;
  LogLeaseHandlers handlers;
  LeaseState state;
  LogFollower follower;
  bool elected = false;
  bool shut_down = false;
  bool appending = false;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
