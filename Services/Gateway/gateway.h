// The gateway process, between callers on one side and the log and the backend
// servers on the other. One event loop's thread owns all state.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "caller_authentication.h"
#include "duties.h"
#include "fleet_upgrader.h"
#include "forwarded_call.h"
#include "gateway_environment.h"
#include "job_call_handler.h"
#include "job_partitions.h"
#include "job_relay.h"
#include "job_runner.h"
#include "partition_membership.h"
#include "peer_state_poller.h"
#include "plain_call_admission.h"
#include "request_quarantine.h"
#include "retry_budgets.h"
#include "send_permits.h"
#include "server_limits.h"
#include "shutdown_window.h"
#include "weight_loads.h"

namespace carobbank {

// Creates the platform's log over a client on the gateway's loop.
using LogFactory =
    std::function<std::unique_ptr<PartitionedLog>(HttpClient& client)>;

class Gateway {
 public:
  // Binds the ports. Fails with kUnavailable when a port is taken.
  static Result<std::unique_ptr<Gateway>> Create(GatewaySettings settings,
                                                 const PlatformDialect& dialect,
                                                 const LogFactory& make_log);
  ~Gateway();

  // Serves until SIGTERM or SIGINT and the drain that follows.
  void Run();

 private:
  Gateway(GatewaySettings settings,
          const PlatformDialect& dialect,
          const LogFactory& make_log);
  Result<void> Listen();
  void Follow();
  LogFollowerHandlers OperatorHandlers();
  LogFollowerHandlers ServersHandlers();
  void ApplyOperatorRecord(const KeyedLogRecord& record);
  void ApplyConfigurationRecord(const KeyedLogRecord& record);
  // False for a configuration with errors, and for one that is not newer.
  bool ApplyConfiguration(std::string_view text);
  // A peer's configuration, if this gateway can't read the log, or has none
  // because the newest one has errors.
  void AdoptConfiguration(const KeyedLogRecord& record);
  // A newer configuration would have been read by now.
  bool ConfigurationIsCurrent() const;
  std::optional<FleetServer> DecodeServer(const KeyedRecord& record);
  void ApplyServerRecord(const KeyedLogRecord& record);
  // Reports a server whose entry announces for the first time that it leaves.
  void ReportDraining(const FleetServer& server);
  void ReplaceServers(std::span<const KeyedLogRecord> records);
  void OnReachabilityChanged(std::string_view partition,
                             bool reachable,
                             const std::string& reason);
  void OnServersChanged();

  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void HandleReadiness(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder);
  bool IsReady() const;
  PeerStatePollerHandlers PeerHandlers();
  void HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder);
  void HandleOutputs(const HttpRequest& request, HttpResponder& responder);
  // Responds to a request about batch jobs from this instance's state of the
  // partition.
  void HandleJobRequest(JobPartition& partition,
                        JobRequest job_request,
                        std::shared_ptr<HttpResponder> responder);

  // A server's home is the owner of the partition that its id selects.
  PermitHomes HomesOfServers();
  // Sets the partitions whose jobs this instance runs.
  void SetOwnedPartitions(const std::set<std::int64_t>& owned);
  // Follows the partitions that this instance needs, and stops following the
  // others.
  void UpdateFollowedPartitions();
  void Housekeep();
  // By service, of the jobs in the followed partitions; the holder of the order
  // lease follows all.
  std::map<std::string, std::int64_t> UnfinishedSamples() const;
  // Mean expected output tokens of the latest steps of each model.
  NumberByModel DemandOfModels() const;

  void BeginDrain();
  void ContinueDrain();
  // Nothing of a request or response remains.
  bool DrainIdle() const;

  // Construction order is dependency order.
  GatewaySettings settings;
  const PlatformDialect& dialect;
  SystemClock clock;
  Random random;
  MetricRegistry metrics;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  // Calls to the log hold connections for seconds, so they have a separate
  // pool.
  std::unique_ptr<HttpClient> log_client;
  std::unique_ptr<PartitionedLog> log;
  ServerFleet fleet;
  BackendLoads loads;
  RetryBudgets retries;
  std::shared_ptr<const TrafficConfiguration> configuration;
  ShutdownWindow shutdown;
  GatewayEnvironment environment;
  RequestQuarantine quarantine;
  ServerLimits limits;
  PlainCallAdmission admission;
  // Since when this instance owns each of its partitions; see Clock::BootNow().
  std::map<std::int64_t, MonotonicTime> owned_since;
  SendPermits permits;
  JobPartitions partitions;
  OwnerDirectory owners;
  PartitionMembership membership;
  SampleOutputTransfer output_transfer;
  JobRunner runner;
  JobCallHandler job_calls;
  JobRelay job_relay;
  FleetUpgrader upgrader;
  WeightLoads weight_loads;
  Duties duties;
  LogFollower operator_follower;
  LogFollower servers_follower;
  // Newest records as read from the log, for peers that have just started. The
  // configuration is the one in force, with digests in place of its keys.
  std::map<std::string, KeyedLogRecord, std::less<>> operator_records;
  std::map<std::string, KeyedLogRecord, std::less<>> server_records;
  // Highest offset of a configuration that was read, also of a refused one.
  std::uint64_t configuration_offset = 0;
  // The configuration that was read last has errors.
  bool configuration_refused = false;
  CallerAuthentication authentication;
  PeerStatePoller peer_poller;
  std::set<std::shared_ptr<ForwardedCall>> forwarded_calls;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> ready_server;
  // Null when the settings have no peer_listen address.
  std::unique_ptr<HttpServer> peer_server;

  std::unique_ptr<Timer> housekeeping;
  std::unique_ptr<Timer> drain_timer;
};

}  // namespace carobbank
