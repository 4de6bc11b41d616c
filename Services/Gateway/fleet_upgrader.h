// Gives the orders by which engines load named versions. One instance at a time
// does: the owner of the first job partition, after its claim in the log. The
// claim's offset is the fencing token.

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
  FleetUpgrader(GatewayEnvironment& environment, LogPart claims);
  ~FleetUpgrader();
  FleetUpgrader(const FleetUpgrader&) = delete;
  FleetUpgrader& operator=(const FleetUpgrader&) = delete;

  // This instance is, or is no longer, the one that should give orders.
  void SetElected(bool elected);
  // A trainer named a version. Lower ones than known are ignored.
  void Name(const NamedVersion& named);
  // Expected output tokens of a usual step of each model.
  void SetDemand(ModelNumbers demand) { this->demand = std::move(demand); }
  // Servers or named versions changed.
  void Reconsider();

  bool Holding() const;

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
  void Claim();
  void Tick();
  void Act();
  std::vector<UpgradableServer> Candidates() const;
  void ShareOut(std::int64_t server_count);
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
  bool claiming = false;
  // The newest claim in the log; its offset is the fencing token.
  std::string claim_holder;
  std::optional<std::uint64_t> claim_offset;
  // Orders are allowed from then on, by Clock::BootNow().
  MonotonicTime holding_from = MonotonicTime::max();
  // Newest named version of each model.
  ModelNumbers named;
  ModelNumbers demand;
  ModelNumbers shares;
  std::map<std::string, Server, std::less<>> servers;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
