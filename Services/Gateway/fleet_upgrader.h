// Orders engines to load announced versions. Only one instance at a time does
// so: the holder of a lease in the log, whose fencing token its orders carry.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway_environment.h"
#include "log_lease.h"
#include "weight_loads.h"

namespace carobbank {

class FleetUpgrader {
 public:
  FleetUpgrader(GatewayEnvironment& environment,
                TopicPartition lease_partition);
  ~FleetUpgrader();
  FleetUpgrader(const FleetUpgrader&) = delete;
  FleetUpgrader& operator=(const FleetUpgrader&) = delete;

  // Sets whether this instance acquires the lease when no instance holds it.
  void SetElected(bool elected);
  // Stops acquiring and renewing the lease, for a shutdown.
  void Shutdown() { this->lease.Shutdown(); }
  // A trainer announced a version. Versions that are not newer than the newest
  // announced one are ignored.
  void OnVersionAnnounced(const AnnouncedVersion& version);
  // Expected output tokens of a usual step of each model.
  void SetDemand(NumberByModel demand) { this->demand = std::move(demand); }
  // Called when an engine begins or ends a load.
  void SetLoadListener(std::function<void(const WeightLoad&)> listener) {
    this->on_load = std::move(listener);
  }
  // Sends the orders that follow from the current servers and announced
  // versions.
  void Reconcile();

  bool HoldsLease() const { return this->lease.HoldsLease(); }
  // The lease, for the other duties of its holder.
  LogLease& Lease() { return this->lease; }

  // Estimate of the load time before the first load completes.
  static constexpr Milliseconds kInitialLoadTime{1'100};

 private:
  enum class Phase {
    // The number of orders that the server has accepted is unknown.
    kUnknown,
    kIdle,
    kReadingStatus,
    kSendingOrder,
    // An order was, or may have been, accepted.
    kOrderPending,
  };
  struct Server {
    WallMilliseconds started_at = 0;
    Phase phase = Phase::kUnknown;
    std::int64_t orders_accepted = 0;
    std::optional<UpgradeOrder> order;
    MonotonicTime ordered_at = MonotonicTime::min();
    // Neither a status request nor an order is sent before this time.
    MonotonicTime not_before = MonotonicTime::min();
  };

  LogLeaseHandlers LeaseHandlers();
  NumberByModel VersionsToServe(
      std::span<const UpgradableServer> servers) const;
  void Tick();
  std::vector<UpgradableServer> Candidates() const;
  FleetUpgradeOptions Options() const;
  void AllocateServersToModels(std::int64_t server_count,
                               const NumberByModel& versions);
  // How many models each server can keep current on average, from the rates at
  // which versions are announced and loaded.
  double AffordableModelsPerServer(std::int64_t server_count) const;
  void RemoveDepartedServers();
  void CheckOrderProgress(const FleetServer& server);
  void RequestStatus(const FleetServer& server);
  void OnStatusResponse(const std::string& id,
                        const Outcome<HttpResponse>& outcome);
  void ObserveLeaving(const std::string& id,
                      WallMilliseconds sent_at,
                      const Outcome<HttpResponse>& outcome);
  void ApplyStatus(const std::string& id,
                   Server& server,
                   const EngineStatus& status);
  void SendOrder(const FleetServer& server, const UpgradeOrder& order);
  void ReportLoad(const std::string& server_id,
                  const UpgradeOrder& order,
                  Milliseconds remaining) const;
  void OnOrderResponse(const std::string& id,
                       std::uint64_t token,
                       const Outcome<HttpResponse>& outcome);

  GatewayEnvironment& environment;
  std::function<void(const WeightLoad&)> on_load;
  LogLease lease;
  // Newest announced version of each model.
  NumberByModel announced_versions;
  NumberByModel demand;
  // When each model's newest version was announced, and the mean time between
  // two announcements.
  struct AnnouncementInterval {
    MonotonicTime last;
    std::optional<Milliseconds> interval;
  };
  std::map<std::string, AnnouncementInterval, std::less<>> announcements;
  // Mean time from sending an order until its completion is observed.
  Milliseconds mean_load_time = kInitialLoadTime;
  NumberByModel server_allocation;
  std::map<std::string, Server, std::less<>> servers;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
