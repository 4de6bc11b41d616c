// How a platform words what the gateway hears and says. One implementation per
// platform translates; it decides nothing and keeps nothing.

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
#include "LibVersions/versions.h"

namespace carobbank {

struct ServiceTraits {
  std::string name;
  // Connections that one of its servers accepts from all callers together.
  std::int64_t max_connections = 0;
  // Its servers generate text.
  bool is_engine = false;
};

// What the operator published, whole.
struct TrafficConfiguration {
  std::int64_t version = 0;
  HostRoutes routes;
  std::map<std::string, ServiceTraits, std::less<>> services;
};

// Names of header fields.
struct WireHeaderNames {
  std::string_view request_id;
  // Milliseconds that are left for the request.
  std::string_view deadline;
  // The id of the only server that may run the request.
  std::string_view expected_server;
  // A server's signature under its answer.
  std::string_view signature;
  // Present when the server vouches that the request was not run.
  std::string_view not_run;
  // The version of the weights at the start of an answer; in lower case also
  // the field of an event at which it changes.
  std::string_view weight_version;
  std::string_view weight_version_field;
  // The first event that a resumed stream leaves out.
  std::string_view last_event_id;
  // Milliseconds that a read may wait for news.
  std::string_view wait;
};

// Calls of the gateway's own, besides requests that it forwards.
enum class JobCallKind { kReadResults, kReadBody, kEnd };

struct JobCall {
  JobCallKind kind = JobCallKind::kReadResults;
  std::string job_id;
  // kReadResults: the first position wanted.
  std::size_t position = 0;
  Milliseconds wait{0};
  // kReadBody
  std::string sample_id;
};

// A request about batch jobs: a job that is submitted, or a call about one.
using JobRequest = std::variant<BatchJob, JobCall>;

// One answer to a read of results.
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

// What an engine says of itself when asked.
struct EngineStatus {
  std::vector<ServedVersion> models;
  // An order is being carried out.
  bool busy = false;
  // Orders accepted since its start.
  std::int64_t orders_accepted = 0;
};

// Who gives an order, and under which conditions it holds.
struct OrderPreconditions {
  std::string holder;
  // Grows with each change of the holder.
  std::uint64_t fencing_token = 0;
  // The order is void unless the server has accepted exactly so many.
  std::int64_t expected_orders_accepted = 0;
};

class PlatformDialect {
 public:
  virtual ~PlatformDialect() = default;

  virtual const WireHeaderNames& HeaderNames() const = 0;
  virtual std::string_view ReadinessPath() const = 0;

  // Where the platform keeps what the operator and the trainers publish, and
  // what the servers say of themselves.
  virtual TopicPartition OperatorPartition() const = 0;
  virtual TopicPartition ServersPartition() const = 0;
  // The key of the configuration in the operator's partition.
  virtual std::string_view ConfigurationKey() const = 0;

  // Errors: kInvalidArgument names the field.
  virtual Outcome<TrafficConfiguration> DecodeConfiguration(
      std::string_view text) const = 0;
  // Nothing when the key names no version or the text can't be read.
  virtual std::optional<AnnouncedVersion> DecodeAnnouncedVersion(
      std::string_view key,
      std::string_view text) const = 0;
  // Errors: kInvalidArgument names the field; such an entry names no server.
  virtual Outcome<FleetServer> DecodeServer(std::string_view id,
                                            std::string_view text) const = 0;

  // Nothing when the request is one to be forwarded or a job's submission.
  virtual std::optional<JobCall> RecognizeJobCall(
      const HttpRequest& request) const = 0;
  // Errors: kInvalidArgument names the field.
  virtual Outcome<BatchJob> DecodeSubmission(
      const HttpRequest& request) const = 0;
  virtual std::string EncodeResults(const ResultPage& page) const = 0;

  virtual HttpClientRequest StatusRequest(const FleetServer& server) const = 0;
  virtual Outcome<EngineStatus> DecodeStatus(std::string_view text) const = 0;
  virtual HttpClientRequest OrderRequest(
      const FleetServer& server,
      const UpgradeOrder& order,
      const OrderPreconditions& terms) const = 0;
};

}  // namespace carobbank
