// Gives the orders by which engines load named versions. One instance at a time
// does: it claims the right in the log and renews the claim. The offset of its
// first claim is the fencing token. Another may claim only after a lease
// without a renewal, and the holder stops well before that.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway_environment.h"
#include "log_follower.h"

namespace carobbank {

class FleetUpgrader {
 public:
  FleetUpgrader(GatewayEnvironment& environment, TopicPartition claims);
  ~FleetUpgrader();
  FleetUpgrader(const FleetUpgrader&) = delete;
  FleetUpgrader& operator=(const FleetUpgrader&) = delete;

  // This instance is, or is no longer, the one that claims the right when
  // nobody holds it.
  void SetElected(bool elected);
  // Claims and renews no more, for a shutdown.
  void Shutdown();
  // A trainer named a version. Lower ones than known are ignored.
  void OnVersionAnnounced(const AnnouncedVersion& named);
  // Expected output tokens of a usual step of each model.
  void SetDemand(NumberByModel demand) { this->demand = std::move(demand); }
  // Servers or named versions changed.
  void Reconcile();

  bool HoldsLease() const;

  // Assumed until loads were seen.
  static constexpr Milliseconds kUsualLoadTime{1'100};

 private:
  enum class Phase {
    // Its count of accepted orders is not known.
    kUnknown,
    kIdle,
    kAsking,
    kOrdering,
    // An order was, or may have been, accepted.
    kChanging,
  };
  struct Server {
    WallMilliseconds started_at = 0;
    Phase phase = Phase::kUnknown;
    std::int64_t orders_accepted = 0;
    std::optional<UpgradeOrder> order;
    MonotonicTime ordered_at = MonotonicTime::min();
    // Not asked or ordered before this time.
    MonotonicTime not_before = MonotonicTime::min();
  };

  LogFollowerHandlers ClaimHandlers();
  void TakeClaim(const KeyedLogRecord& record);
  // The newest claim, own or not, may still be in use.
  bool ClaimInUse() const;
  bool IsHolder() const;
  void ClaimOrRenew();
  void Claim();
  NumberByModel VersionsToServe(
      std::span<const UpgradableServer> servers) const;
  void Tick();
  std::vector<UpgradableServer> Candidates() const;
  FleetUpgradeOptions Options() const;
  void ShareOut(std::int64_t server_count, const NumberByModel& versions);
  // How many times over the fleet can be kept current, by the pace at which
  // versions are named and loaded.
  double Overlap(std::int64_t server_count) const;
  void Forget();
  void Advance(const FleetServer& server);
  void Ask(const FleetServer& server);
  void Asked(const std::string& id, const Outcome<HttpResponse>& outcome);
  void TakeStatus(const std::string& id,
                  Server& server,
                  const EngineStatus& status);
  void Order(const FleetServer& server, const UpgradeOrder& order);
  void Ordered(const std::string& id,
               std::uint64_t token,
               const Outcome<HttpResponse>& outcome);

  GatewayEnvironment& environment;
  LogFollower claims;
  bool elected = false;
  bool shut_down = false;
  bool claiming = false;
  // The newest claim in the log; empty when there is none.
  std::string claim_holder;
  // Offset of the first claim in the holder's unbroken row of claims.
  std::uint64_t tenure_offset = 0;
  // When the newest claim was read, or for an own one: when its append began,
  // by Clock::BootNow().
  MonotonicTime claimed_at = MonotonicTime::min();
  // Newest named version of each model.
  NumberByModel named;
  NumberByModel demand;
  // When each model's newest version was named, and the mean time between two.
  struct NamingPace {
    MonotonicTime last;
    std::optional<Milliseconds> interval;
  };
  std::map<std::string, NamingPace, std::less<>> naming;
  // Mean time from an order until it was seen complete.
  Milliseconds load_time = kUsualLoadTime;
  NumberByModel shares;
  std::map<std::string, Server, std::less<>> servers;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
