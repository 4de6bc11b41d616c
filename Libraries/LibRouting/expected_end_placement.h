// Placement of samples on servers of unequal pace: long samples go where they
// are expected to end first, short ones to servers that are just fast enough.
// Pure.

#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "LibRouting/backend_choice.h"
#include "LibRouting/work_estimator.h"

namespace carobbank {

// A sample to place, and the job it belongs to.
struct SampleWork {
  // Nothing if unknown.
  std::optional<ExpectedEvents> events;
  // Until the job ends even if every sample runs at a fast server, in
  // milliseconds. A sample that ends earlier doesn't delay its job.
  double job_left_ms = 0;
};

// Chooses the server of a sample among those that `query` allows.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;
  // Null when no server has free capacity.
  virtual const FleetServer* Choose(const BackendQuery& query,
                                    const SampleWork& work,
                                    const BackendLoads& loads,
                                    MonotonicTime now,
                                    Random& random) const = 0;
};

// ChooseBackend(): the server with the fewest requests relative to its slots.
class LeastRequestsPlacement final : public PlacementStrategy {
 public:
  const FleetServer* Choose(const BackendQuery& query,
                            const SampleWork& work,
                            const BackendLoads& loads,
                            MonotonicTime now,
                            Random& random) const override;
};

// Without an expected length, or without a known pace of any server, chooses as
// LeastRequestsPlacement.
class ExpectedEndPlacement final : public PlacementStrategy {
 public:
  const FleetServer* Choose(const BackendQuery& query,
                            const SampleWork& work,
                            const BackendLoads& loads,
                            MonotonicTime now,
                            Random& random) const override;
};

// A sample that a server is generating.
struct RunningSample {
  std::string_view server_id;
  // Since the last event.
  Milliseconds silence{0};
  // Times that it was moved so far.
  int moves = 0;
};

// Sample moves are limited, since each costs the target server a slot and the
// reading of the prompt and the output so far.
inline constexpr int kMaxMovesPerSample = 2;

// Whether the sample is expected to end at its server so late that it delays
// its job.
bool DelaysJob(const SampleWork& work,
               const RunningSample& running,
               const BackendLoads& loads,
               MonotonicTime now);

// The server to which a running sample should be moved because it ends there
// clearly earlier than at its own, the cost of the move included; null if there
// is none, or if the sample doesn't delay its job.
const FleetServer* ChooseMoveTarget(const BackendQuery& query,
                                    const SampleWork& work,
                                    const RunningSample& running,
                                    const BackendLoads& loads,
                                    MonotonicTime now);

// Pace of the fast servers: lower quartile of the known times between events of
// the servers without load, in milliseconds; 0 when none is known.
double FastEventMs(std::span<const FleetServer* const> servers,
                   const ServerPaces& paces,
                   MonotonicTime now);

// Whether the paces of a service's servers differ enough for expected ends to
// matter, with hysteresis.
class UnevenPaceDetector {
 public:
  // Returns the new state.
  bool Update(std::span<const FleetServer* const> servers,
              const ServerPaces& paces,
              MonotonicTime now);
  bool IsUneven() const { return this->uneven; }
  // Upper quartile of the times between events divided by the lower; 0 when too
  // few servers are known.
  double Spread() const { return this->spread; }

  static constexpr double kEngageSpread = 1.4;
  static constexpr double kDisengageSpread = 1.25;
  static constexpr std::size_t kMinimumServers = 4;

 private:
  bool uneven = false;
  double spread = 0;
};

}  // namespace carobbank
