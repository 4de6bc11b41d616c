// The gateway process: callers on one side, the log and the backend servers on
// the other. One event loop's thread owns all of it.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet_upgrader.h"
#include "forwarded_call.h"
#include "gateway_environment.h"
#include "job_call_handler.h"
#include "job_partitions.h"
#include "job_relay.h"
#include "job_runner.h"
#include "partition_membership.h"
#include "peer_state_poller.h"

namespace carobbank {

// Makes the platform's log over a client on the gateway's loop.
using LogFactory =
    std::function<std::unique_ptr<PartitionedLog>(HttpClient& client)>;

class Gateway {
 public:
  // Binds the ports. Fails with kUnavailable when one is taken.
  static Result<std::unique_ptr<Gateway>> Create(GatewaySettings settings,
                                                 const PlatformDialect& dialect,
                                                 const LogFactory& make_log);
  ~Gateway();

  // Serves until SIGTERM or SIGINT and the drain after it.
  void Run();

 private:
  Gateway(GatewaySettings settings,
          const PlatformDialect& dialect,
          const LogFactory& make_log);
  Result<void> Listen();
  void Follow();
  LogFollowerHandlers OperatorHandlers();
  LogFollowerHandlers ServersHandlers();
  void TakeOperatorRecord(const KeyedLogRecord& record);
  void TakeConfiguration(std::string_view text);
  std::optional<FleetServer> DecodeServer(const KeyedRecord& record);
  void TakeServerRecord(const KeyedLogRecord& record);
  void ReplaceServers(std::span<const KeyedLogRecord> records);
  void NoteReachable(std::string_view what, bool reachable);
  void ServersChanged();

  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void HandleReadiness(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder);
  bool IsReady() const;
  PeerStatePollerHandlers PeerHandlers();
  void HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder);
  void HandleTexts(const HttpRequest& request, HttpResponder& responder);
  // A request about batch jobs, from what this instance knows of the partition.
  void Answer(JobPartition& partition,
              JobRequest asked,
              std::shared_ptr<HttpResponder> responder);

  // The partitions whose jobs this instance runs from now on.
  void TakeOwned(const std::set<std::int64_t>& owned);
  // Follows the partitions that this instance has a part in.
  void ReviewPartitions();
  void Housekeep();
  // Expected output tokens of the latest steps of each model, on average.
  NumberByModel DemandOfModels() const;

  void BeginDrain();
  void ContinueDrain();

  // Construction order is dependency order.
  GatewaySettings settings;
  const PlatformDialect& dialect;
  SystemClock clock;
  Random random;
  MetricRegistry metrics;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  // Calls to the log hold connections for seconds; they have a pool of their
  // own.
  std::unique_ptr<HttpClient> log_client;
  std::unique_ptr<PartitionedLog> log;
  ServerFleet fleet;
  BackendLoads loads;
  std::shared_ptr<const TrafficConfiguration> configuration;
  GatewayEnvironment environment;
  JobPartitions partitions;
  OwnerDirectory owners;
  PartitionMembership membership;
  SampleOutputTransfer handover;
  JobRunner runner;
  JobCallHandler job_calls;
  JobRelay job_relay;
  FleetUpgrader upgrader;
  LogFollower operator_follower;
  LogFollower servers_follower;
  // Newest records as they were read, for peers that have just started.
  std::map<std::string, KeyedLogRecord, std::less<>> operator_records;
  std::map<std::string, KeyedLogRecord, std::less<>> server_records;
  PeerStatePoller peer_exchange;
  std::set<std::shared_ptr<ForwardedCall>> forwarded;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> ready_server;
  // Null without an address for it.
  std::unique_ptr<HttpServer> peer_server;

  std::unique_ptr<Timer> housekeeping;
  bool draining = false;
  MonotonicTime drain_began{};
  std::unique_ptr<Timer> drain_timer;
};

}  // namespace carobbank
