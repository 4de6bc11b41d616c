// The settings of the programs entry, sidecar and gateway: the location of the
// process, the services around it, and its limits.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/validation.h"

namespace carobbank {

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class RoutingStrategy {
  kLeastLoadedOfTwo,
  kPrefixAffinity,
  kLeastConnections,
  kRoundRobin,
  kRandom,
};
std::string_view RoutingStrategyName(RoutingStrategy strategy);

enum class SchedulingStrategy { kFairShare, kFifo };
std::string_view SchedulingStrategyName(SchedulingStrategy strategy);

enum class BackendKind { kEngine, kPlain };

// Identity, location and listen address of this instance.
struct InstanceSettings {
  std::string instance;
  std::string data_center;
  std::string region;
  std::string address = "127.0.0.1";
  // 0: any free port.
  std::int64_t port = 0;
};

// The platform's services; an empty URL means that the service is absent.
struct PlatformSettings {
  std::string log_url;
  std::string instance_list_url;
  std::string weight_store_url;
  // How long the log retains a record.
  std::int64_t log_retention_s = 86'400;
};

// Shared secrets with which processes authenticate to each other. A `_file`
// member names a file whose first line is the secret; the Load functions of
// settings_file.h read that file.
struct PeerSecretSettings {
  std::string secret;
  std::string secret_file;
  // Still accepted from peers during a rotation of the secret.
  std::string previous_secret;
  std::string previous_secret_file;
};

struct LogSettings {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  // Timeline events retained in memory.
  std::int64_t timeline_events = 16'384;
};

struct TrafficLimits {
  std::int64_t connections = 10'000;
  std::int64_t body_bytes = 8'388'608;
  std::int64_t header_bytes = 32'768;
  std::int64_t streams_per_caller = 1'000;
  std::int64_t read_timeout_ms = 10'000;
  std::int64_t write_timeout_ms = 60'000;
  // A connection whose data stays unacknowledged for longer is closed.
  std::int64_t silent_timeout_ms = 10'000;
};

struct DataCenterSettings {
  std::string name;
  std::string region;
  // One-way latency from this instance.
  double latency_ms = 1;
};

struct RoutingSettings {
  RoutingStrategy strategy = RoutingStrategy::kPrefixAffinity;
  // Backend servers of each pool that one entry watches.
  std::int64_t watched_servers = 64;
};

struct TlsSettings {
  // PEM files; both are set or neither is.
  std::string certificate_file;
  std::string private_key_file;
};

struct EntrySettings {
  InstanceSettings place;
  PlatformSettings platform;
  PeerSecretSettings peer;
  LogSettings log;
  TrafficLimits limits;
  std::vector<DataCenterSettings> data_centers;
  RoutingSettings routing;
  TlsSettings tls;
  // Bearer token of operators for GET /status and GET /timeline; empty: open.
  std::string operator_token_sha256;
  // This entry's share of the log's append budget.
  std::int64_t log_append_share_per_s = 50;
  std::int64_t drain_deadline_s = 120;
  // 0: from the operating system.
  std::int64_t seed = 0;
};

struct BackendSettings {
  std::string url;
  BackendKind kind = BackendKind::kEngine;
  // The model that the engine serves.
  std::string model;
  // Whether the engine rejects orders with an outdated fencing token.
  bool checks_fencing = false;
};

struct SchedulingSettings {
  SchedulingStrategy strategy = SchedulingStrategy::kFairShare;
  // Concurrent attempts at the backend server; 0: the batch size that the
  // engine reports.
  std::int64_t max_running = 0;
  // Attempts waiting, summed over all queues.
  std::int64_t queue_length = 10'000;
  // Slots at the backend server that training never uses.
  std::int64_t live_headroom = 1;
  // Upper bound on the slowdown of live tokens by shared batches: while live
  // work runs, training and background work are admitted to the engine's batch
  // only as long as a live token takes at most this many times as long.
  double live_slowdown = 1.15;
};

// The lease on issuing orders to the engine.
struct LeaseSettings {
  std::int64_t duration_ms = 120'000;
  std::int64_t renew_ms = 80'000;
  // Orders stop this long before the lease ends, to allow for pauses of the
  // process.
  std::int64_t margin_ms = 5'000;
};

struct SidecarSettings {
  InstanceSettings place;
  std::string pool;
  BackendSettings backend;
  PlatformSettings platform;
  PeerSecretSettings peer;
  LogSettings log;
  TrafficLimits limits;
  SchedulingSettings scheduling;
  LeaseSettings lease;
  // Bearer token of operators for GET /status and GET /timeline; empty: open.
  std::string operator_token_sha256;
  std::int64_t drain_deadline_s = 120;
  // 0: from the operating system.
  std::int64_t seed = 0;
};

// The resources that the platform gives one instance.
struct MachineSettings {
  // CPU cores; may be a fraction.
  double cores = 1;
  double link_mbps = 1'000;
  double memory_mb = 1'024;
};

// A gateway: an entry that sends requests directly to backend servers, in the
// platform's dialect that the program is built with.
// How the server of a sample is chosen.
enum class SamplePlacementMode {
  // The server with the fewest requests relative to its slots.
  kLeastRequests,
  // The server where the sample ends early enough for its job.
  kExpectedEnd,
  // By expected end for services whose servers differ in speed.
  kAuto,
};

struct GatewaySettings {
  std::string instance;
  std::string data_center;
  // Address for callers, such as "10.1.0.10:8161".
  std::string listen;
  // Address of the load balancer's readiness check and of metrics.
  std::string ready_listen;
  // The platform's log.
  std::string platform_address;
  // Address for requests of other gateways; empty: none.
  std::string peer_listen;
  // This instance's resources; the owners of partitions are chosen by capacity.
  MachineSettings machine;
  // Gateways to query while the log is unreachable, such as
  // "10.1.0.10:8166,10.2.0.40:8166".
  std::string peers;
  LogSettings log;
  TrafficLimits limits;
  // Partitions of the batch jobs' topic.
  std::int64_t job_partitions = 8;
  // Whether every instance follows all partitions of batch jobs instead of
  // querying their owners.
  bool follow_all_jobs = false;
  std::int64_t log_record_bytes = 262'144;
  std::int64_t log_append_bytes = 2'097'152;
  // An instance that is unresponsive for this long loses its partitions.
  std::int64_t member_ttl_ms = 1'500;
  // Results stay readable for this long after a job's submission.
  std::int64_t results_kept_s = 120;
  // A new lease holder issues no orders to servers until the previous holder,
  // which may be paused, has been unresponsive for this long.
  std::int64_t order_lease_ms = 3'000;
  // Time from SIGTERM to SIGKILL.
  std::int64_t shutdown_grace_s = 8;
  // How many versions before the newest announced one a sample may come from.
  std::int64_t allowed_version_lag = 1;
  SamplePlacementMode placement = SamplePlacementMode::kAuto;
  // 0: from the operating system.
  std::int64_t seed = 0;
};

// Parse and validate the text of a settings file; `file` only names it in the
// issues. Secret files are not read: see settings_file.h.
ValidationResult<EntrySettings> ParseEntrySettings(std::string_view file,
                                                   std::string_view text);
ValidationResult<SidecarSettings> ParseSidecarSettings(std::string_view file,
                                                       std::string_view text);
ValidationResult<GatewaySettings> ParseGatewaySettings(std::string_view file,
                                                       std::string_view text);

}  // namespace carobbank
