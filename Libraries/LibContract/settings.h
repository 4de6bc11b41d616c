// The settings of the two programs: where a process stands, what is around it,
// and its limits.

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

// Where the process stands and listens.
struct InstanceSettings {
  std::string instance;
  std::string data_center;
  std::string region;
  std::string address = "127.0.0.1";
  // 0 takes a free port.
  std::int64_t port = 0;
};

// The platform's services; an empty URL means that there is none.
struct PlatformSettings {
  std::string log_url;
  std::string instance_list_url;
  std::string weight_store_url;
  // How long the log keeps a record.
  std::int64_t log_retention_s = 86'400;
};

// Secrets that processes prove to each other. A `_file` member names a file
// whose first line is the secret; settings_file.h resolves it.
struct PeerSettings {
  std::string secret;
  std::string secret_file;
  // Still accepted from peers while a secret is being replaced.
  std::string previous_secret;
  std::string previous_secret_file;
};

struct LogSettings {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  // Time line events kept in memory.
  std::int64_t timeline_events = 16'384;
};

struct TrafficLimits {
  std::int64_t connections = 10'000;
  std::int64_t body_bytes = 8'388'608;
  std::int64_t header_bytes = 32'768;
  std::int64_t streams_per_caller = 1'000;
  std::int64_t read_timeout_ms = 10'000;
  std::int64_t write_timeout_ms = 60'000;
  // A connection with unacknowledged data for longer is given up.
  std::int64_t silent_timeout_ms = 10'000;
};

struct DataCenterSettings {
  std::string name;
  std::string region;
  // One way, from here.
  double latency_ms = 1;
};

struct RoutingSettings {
  RoutingStrategy strategy = RoutingStrategy::kPrefixAffinity;
  // Backend servers of each pool that one entry watches.
  std::int64_t watched_servers = 64;
};

struct TlsSettings {
  // PEM files; both or none.
  std::string certificate_file;
  std::string private_key_file;
};

struct EntrySettings {
  InstanceSettings place;
  PlatformSettings platform;
  PeerSettings peer;
  LogSettings log;
  TrafficLimits limits;
  std::vector<DataCenterSettings> data_centers;
  RoutingSettings routing;
  TlsSettings tls;
  // Bearer token of operators for GET /status and GET /timeline; empty: open.
  std::string operator_token_sha256;
  // This entry's part of the log's append budget.
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
  // Whether the engine refuses orders with an old fencing number.
  bool checks_fencing = false;
};

struct SchedulingSettings {
  SchedulingStrategy strategy = SchedulingStrategy::kFairShare;
  // Attempts at the backend server at once; 0: as many as the engine reports
  // for its batch.
  std::int64_t max_running = 0;
  // Attempts waiting in all queues together.
  std::int64_t queue_length = 10'000;
  // Places at the backend server that training never takes.
  std::int64_t live_headroom = 1;
  // While live work runs, training and background fill the engine's batch only
  // so far that a live token takes at most this many times as long.
  double live_slowdown = 1.15;
};

// The right to issue orders to the engine.
struct LeaseSettings {
  std::int64_t duration_ms = 120'000;
  std::int64_t renew_ms = 80'000;
  // Orders stop this long before the lease ends, for pauses of the process.
  std::int64_t margin_ms = 5'000;
};

struct SidecarSettings {
  InstanceSettings place;
  std::string pool;
  BackendSettings backend;
  PlatformSettings platform;
  PeerSettings peer;
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

// What the platform gives one instance.
struct MachineSettings {
  // Cores, or a share of one.
  double cores = 1;
  double link_mbps = 1'000;
  double memory_mb = 1'024;
};

// An entry that speaks to backend servers directly, on a platform whose dialect
// it is built with.
struct GatewaySettings {
  std::string instance;
  std::string data_center;
  // "10.1.0.10:8161": where callers connect.
  std::string listen;
  // Where the balancer asks for readiness; metrics are served there too.
  std::string ready_listen;
  // The platform's log.
  std::string platform_address;
  // Where other gateways ask; empty for nowhere.
  std::string peer_listen;
  // What the platform gives this instance; owners of partitions are chosen by
  // it.
  MachineSettings machine;
  // "10.1.0.10:8166,10.2.0.40:8166": gateways to ask while the log is lost.
  std::string peers;
  LogSettings log;
  TrafficLimits limits;
  // Partitions of the topic of batch jobs.
  std::int64_t job_partitions = 8;
  // Every instance reads all batch jobs, instead of asking their owners.
  bool follow_all_jobs = false;
  std::int64_t log_record_bytes = 262'144;
  std::int64_t log_append_bytes = 2'097'152;
  // An instance that was silent for so long loses its partitions.
  std::int64_t member_ttl_ms = 1'500;
  // Results stay readable for so long after a job's submission.
  std::int64_t results_kept_s = 120;
  // A new holder gives no order to servers before the one before it, which may
  // be paused, has been silent for so long.
  std::int64_t order_lease_ms = 3'000;
  // Time from SIGTERM until the process is killed.
  std::int64_t shutdown_grace_s = 8;
  // Versions before the newest named one that samples may come from.
  std::int64_t allowed_version_lag = 1;
  // 0: from the operating system.
  std::int64_t seed = 0;
};

// Read and check the text of a settings file; `file` only names it in the
// findings. Secrets in files are not resolved: see settings_file.h.
ValidationResult<EntrySettings> ParseEntrySettings(std::string_view file,
                                                   std::string_view text);
ValidationResult<SidecarSettings> ParseSidecarSettings(std::string_view file,
                                                       std::string_view text);
ValidationResult<GatewaySettings> ParseGatewaySettings(std::string_view file,
                                                       std::string_view text);

}  // namespace carobbank
