// Translation between the gateway's types and a platform's messages, with one
// stateless implementation per platform. An implementation makes no decisions.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibHTTP/http.h"
#include "LibLedger/ledger.h"
#include "LibMembership/membership.h"
#include "LibPlatform/platform.h"
#include "LibRouting/routing.h"
#include "LibScheduling/scheduling.h"
#include "LibVersions/versions.h"
#include "caller.h"

namespace carobbank {

struct ServiceTraits {
  std::string name;
  // Connections that one server of the service accepts from all callers
  // together.
  std::int64_t max_connections = 0;
  // The servers of the service generate text.
  bool is_engine = false;
  // Path of the servers' health check.
  std::string health_path = "/";
  // Limits per data center of the number of servers; empty when the number is
  // fixed.
  std::optional<ScaleLimits> scale{};
};

// The complete configuration that the operator published.
struct TrafficConfiguration {
  std::int64_t version = 0;
  HostRoutes routes;
  std::map<std::string, ServiceTraits, std::less<>> services;
  // Nothing when the configuration has no workspaces: callers need no key. With
  // an empty list nobody has a key.
  std::optional<Workspaces> workspaces;
};

// Names of header fields.
struct WireHeaderNames {
  std::string_view request_id;
  // Milliseconds that remain until the request's deadline.
  std::string_view deadline;
  // The id of the only server that may run the request.
  std::string_view expected_server;
  // A server's signature of its response.
  std::string_view signature;
  // Present when the server confirms that the request was not run.
  std::string_view not_run;
  // The version of the weights at the start of a response; in lower case also
  // the field of an event at which the version changes.
  std::string_view weight_version;
  std::string_view weight_version_field;
  // Id of the last event that was received; a resumed stream starts after that
  // event.
  std::string_view last_event_id;
  // In a request that takes up a stream: the id of the client attempt that
  // brought its first event.
  std::string_view resumes;
  // Milliseconds that a read may wait for new results.
  std::string_view wait;
  // Present when the server that responds leaves.
  std::string_view leaving;
  // The id of the server that responds, if it states one.
  std::string_view server_id;
  // Requests per second that the server that responds takes from all callers
  // together; absent when it has no limit.
  std::string_view request_limit;
  // The caller's key, after `key_scheme` and a space. Never sent to a server.
  std::string_view authorization;
  std::string_view key_scheme;
  // The name of the workspace for which a server runs the request.
  std::string_view workspace;
};

// Calls that the gateway handles itself, unlike requests that it forwards.
enum class JobCallKind { kReadResults, kReadBody, kEnd };

struct JobCall {
  JobCallKind kind = JobCallKind::kReadResults;
  std::string job_id;
  // kReadResults: the first requested position.
  std::size_t position = 0;
  Milliseconds wait{0};
  // kReadBody
  std::string sample_id;
  // Set by the gateway that authenticated the call.
  Caller caller;
};

// A request about batch jobs: a submitted job, or a call about one.
using JobRequest = std::variant<BatchJob, JobCall>;

// One response to a read of results.
struct ResultPage {
  std::size_t total = 0;
  // The position after the last result in `results`.
  std::size_t next_position = 0;
  std::span<const JobResult> results;
};

struct AnnouncedVersion {
  std::string model;
  std::int64_t version = 0;
};

// What an engine reports in response to a status request.
struct EngineStatus {
  std::vector<ServedVersion> models;
  // The engine is carrying out an order.
  bool busy = false;
  // Orders accepted since the engine's start.
  std::int64_t orders_accepted = 0;
  // Start time of the server; zero if the report names none.
  WallMilliseconds started_at = 0;
};

// The sender of an order, and the conditions under which the order is valid.
struct OrderPreconditions {
  std::string holder;
  // Increases with each change of the lease holder.
  std::uint64_t fencing_token = 0;
  // The order is void unless the server has accepted exactly this number of
  // orders.
  std::int64_t expected_orders_accepted = 0;
};

// The sender of a duty's call.
struct DutyCaller {
  // "10.200.0.28:8247"
  std::string address;
  std::string holder;
  // Increases with each change of the lease holder.
  std::uint64_t fencing_token = 0;
};

// The number of servers that a service should have in a data center.
struct ServerCountOrder {
  std::string service;
  std::string data_center;
  std::int64_t servers = 0;

  auto operator<=>(const ServerCountOrder&) const = default;
};

class PlatformDialect {
 public:
  virtual ~PlatformDialect() = default;

  virtual const WireHeaderNames& HeaderNames() const = 0;
  virtual std::string_view ReadinessPath() const = 0;

  // Partitions that hold what the operator and the trainers publish, and what
  // the servers report about themselves.
  virtual TopicPartition OperatorPartition() const = 0;
  virtual TopicPartition ServersPartition() const = 0;
  // The key of the configuration in the operator's partition.
  virtual std::string_view ConfigurationKey() const = 0;

  // Errors: kInvalidArgument names the field.
  virtual Outcome<TrafficConfiguration> DecodeConfiguration(
      std::string_view text) const = 0;
  // The text with a digest in place of each key, for a peer.
  // DecodeConfiguration() reads it like `text`, which must be valid.
  virtual std::string WithoutKeys(std::string_view text) const = 0;
  // Empty when the key belongs to no announced version or the text is
  // malformed.
  virtual std::optional<AnnouncedVersion> DecodeAnnouncedVersion(
      std::string_view key,
      std::string_view text) const = 0;
  // Errors: kInvalidArgument names the field; such an entry describes no usable
  // server.
  virtual Outcome<FleetServer> DecodeServer(std::string_view id,
                                            std::string_view text) const = 0;

  // Empty when the request is to be forwarded or submits a job.
  virtual std::optional<JobCall> RecognizeJobCall(
      const HttpRequest& request) const = 0;
  // Errors: kInvalidArgument names the field.
  virtual Outcome<BatchJob> DecodeSubmission(
      const HttpRequest& request) const = 0;
  // The submission's body without keys and workspaces in the samples' headers.
  // `body` must be valid.
  virtual std::string WithoutSampleIdentities(std::string_view body) const = 0;
  virtual std::string EncodeResults(const ResultPage& page) const = 0;

  virtual HttpClientRequest HealthRequest(
      std::string_view address,
      std::string_view server_id,
      std::string_view health_path) const = 0;
  virtual HttpClientRequest StatusRequest(const FleetServer& server) const = 0;
  virtual Outcome<EngineStatus> DecodeStatus(std::string_view text) const = 0;
  virtual HttpClientRequest OrderRequest(
      const FleetServer& server,
      const UpgradeOrder& order,
      const OrderPreconditions& preconditions) const = 0;

  // Calls of duties: their responses have status 200 when the call was carried
  // out, 409 when a higher fencing token was seen.
  virtual HttpClientRequest UsageReportRequest(
      const UsageReport& report,
      const DutyCaller& caller) const = 0;
  virtual HttpClientRequest ServerCountRequest(
      const ServerCountOrder& order,
      const DutyCaller& caller) const = 0;
};

}  // namespace carobbank
