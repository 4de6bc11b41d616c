// The environment of the gateway's parts in tests: a minimal dialect, a fake
// log and fake servers.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Services/Gateway/gateway_environment.h"
#include "Services/Gateway/plain_call_admission.h"
#include "Services/Gateway/request_quarantine.h"
#include "Services/Gateway/retry_budgets.h"
#include "Services/Gateway/send_permits.h"
#include "Services/Gateway/server_limits.h"
#include "Services/Gateway/shutdown_window.h"
#include "Support/fake_http.h"
#include "Support/fake_partitioned_log.h"
#include "Support/loop_runner.h"
#include "Support/sample_jobs.h"

namespace carobbank {

inline TopicPartition JobsPartition() {
  return {"jobs", 0};
}

inline TopicPartition LeasePartition() {
  return {"orders", 0};
}

inline TopicPartition CrashesPartition() {
  return {"crashes", 0};
}

class FakeDialect : public PlatformDialect {
 public:
  const WireHeaderNames& HeaderNames() const override {
    static constexpr WireHeaderNames kHeaderNames = {
        .request_id = "Id",
        .deadline = "Time-Left",
        .expected_server = "For-Server",
        .signature = "Signed",
        .not_run = "Not-Run",
        .weight_version = "Version",
        .weight_version_field = "version",
        .last_event_id = "After-Event",
        .resumes = "Goes-On",
        .wait = "Wait",
        .leaving = "Leaving",
        .server_id = "Server-Id",
        .request_limit = "Limit",
        .authorization = "Pass",
        .key_scheme = "Key",
        .workspace = "Party"};
    return kHeaderNames;
  }
  std::string_view ReadinessPath() const override { return "/ready"; }
  TopicPartition OperatorPartition() const override { return {"operator", 0}; }
  TopicPartition ServersPartition() const override { return {"servers", 0}; }
  std::string_view ConfigurationKey() const override { return "config"; }
  Outcome<TrafficConfiguration> DecodeConfiguration(
      std::string_view /*text*/) const override {
    return TrafficConfiguration();
  }
  std::string WithoutKeys(std::string_view text) const override {
    return std::string(text);
  }
  std::optional<AnnouncedVersion> DecodeAnnouncedVersion(
      std::string_view /*key*/,
      std::string_view /*text*/) const override {
    return std::nullopt;
  }
  Outcome<FleetServer> DecodeServer(std::string_view id,
                                    std::string_view /*text*/) const override {
    FleetServer server;
    server.id = id;
    return server;
  }
  std::optional<JobCall> RecognizeJobCall(
      const HttpRequest& /*request*/) const override {
    return std::nullopt;
  }
  Outcome<BatchJob> DecodeSubmission(
      const HttpRequest& /*request*/) const override {
    return BatchJob();
  }
  std::string WithoutSampleIdentities(std::string_view body) const override {
    return std::string(body);
  }
  std::string EncodeResults(const ResultPage& page) const override {
    std::string text = std::to_string(page.next_position) + "/" +
                       std::to_string(page.total) + ":";
    for (const JobResult& result : page.results) {
      text += result.completed ? result.output + ";" : "lost;";
    }
    return text;
  }
  HttpClientRequest HealthRequest(std::string_view address,
                                  std::string_view /*server_id*/,
                                  std::string_view health_path) const override {
    HttpClientRequest request;
    request.url = "http://" + std::string(address) + std::string(health_path);
    return request;
  }
  HttpClientRequest StatusRequest(const FleetServer& server) const override {
    HttpClientRequest request;
    request.url = "http://" + server.address + "/status";
    return request;
  }
  // "<model version> <orders accepted> [<start>] [busy]"
  Outcome<EngineStatus> DecodeStatus(std::string_view text) const override {
    EngineStatus status;
    char* rest = nullptr;
    const std::string copy(text);
    const auto version = std::strtoll(copy.c_str(), &rest, 10);
    status.models = {{"m", version}};
    status.orders_accepted = std::strtoll(rest, &rest, 10);
    status.started_at = std::strtoll(rest, &rest, 10);
    status.busy = copy.ends_with("busy");
    return status;
  }
  HttpClientRequest OrderRequest(
      const FleetServer& server,
      const UpgradeOrder& order,
      const OrderPreconditions& preconditions) const override {
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + server.address + "/order";
    request.body = std::to_string(order.version) + " token " +
                   std::to_string(preconditions.fencing_token) + " after " +
                   std::to_string(preconditions.expected_orders_accepted);
    return request;
  }
  // "<window>:<workspace>=<count>,"
  HttpClientRequest UsageReportRequest(
      const UsageReport& report,
      const DutyCaller& caller) const override {
    std::string body = std::to_string(report.window) + ":";
    for (const auto& [workspace, count] : report.counts) {
      body += workspace + "=" + std::to_string(count) + ",";
    }
    return DutyRequest("/usage", std::move(body), caller);
  }
  // "<service>/<data center>=<servers>"
  HttpClientRequest ServerCountRequest(
      const ServerCountOrder& order,
      const DutyCaller& caller) const override {
    return DutyRequest("/scale",
                       order.service + "/" + order.data_center + "=" +
                           std::to_string(order.servers),
                       caller);
  }

 private:
  static HttpClientRequest DutyRequest(const std::string& path,
                                       std::string body,
                                       const DutyCaller& caller) {
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + caller.address + path;
    request.headers = {{"Holder", caller.holder},
                       {"Token", std::to_string(caller.fencing_token)}};
    request.body = std::move(body);
    return request;
  }
};

struct GatewayFixture {
  GatewayFixture() {
    this->settings.instance = "gateway-1";
    this->settings.data_center = "here";
    this->settings.order_lease_ms = 20;
    auto traffic = std::make_shared<TrafficConfiguration>();
    traffic->version = 1;
    HostRoute plain;
    plain.host = "app.example";
    plain.path_prefix = "/app/";
    plain.use = RouteUse::kRepeatable;
    plain.max_attempts = 2;
    plain.objective = Milliseconds(60'000);
    plain.services = {{"app", 1}};
    HostRoute once = plain;
    once.path_prefix = "/once/";
    once.use = RouteUse::kOnce;
    HostRoute stream = once;
    stream.path_prefix = "/stream/";
    stream.streaming = true;
    HostRoute resumable = plain;
    resumable.path_prefix = "/resumable/";
    resumable.streaming = true;
    resumable.resumable = true;
    HostRoute jobs = plain;
    jobs.host = "trainer.example";
    jobs.path_prefix = "/train/";
    jobs.use = RouteUse::kBatchJobs;
    jobs.max_attempts = 3;
    jobs.services = {{"llm", 1}};
    traffic->routes = HostRoutes({plain, once, stream, resumable, jobs});
    traffic->services["llm"] = {"llm", 100, true, "/health"};
    traffic->services["app"] = {"app", 100, false, "/health"};
    this->configuration = traffic;
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 std::int64_t version = 0) {
    FleetServer server;
    server.id = id;
    server.service = service;
    server.address = id + ":1";
    server.data_center = "here";
    server.slots = 4;
    server.software_version = "v1";
    if (version > 0) {
      server.models = {{"m", version}};
    }
    this->fleet.Put(server);
  }

  // A server's valid response to `request`.
  static ScriptedResponse Respond(const HttpClientRequest& request,
                                  int status,
                                  std::string body) {
    ScriptedResponse response;
    response.status = status;
    response.headers = {
        {"Id", std::string(FindHeader(request.headers, "Id").value_or(""))},
        {"Signed", "signature"},
        {"Version", "3"},
        {"Content-Type",
         body.starts_with("id: ") ? "text/event-stream" : "text/plain"}};
    response.body = std::move(body);
    return response;
  }
  static ScriptedResponse NotRun(const HttpClientRequest& request) {
    ScriptedResponse response = Respond(request, 503, "");
    response.headers = {{"Not-Run", "1"}};
    return response;
  }

  LoopRunner runner;
  SystemClock clock;
  Random random{11};
  MetricRegistry metrics{clock};
  GatewaySettings settings;
  FakeDialect dialect;
  FakeHttpClient client{runner.loop};
  FakePartitionedLog log{runner.loop};
  ServerFleet fleet;
  BackendLoads loads;
  std::shared_ptr<const TrafficConfiguration> configuration;
  RetryBudgets retries{metrics, random};
  ShutdownWindow shutdown{Milliseconds(8'000)};
  GatewayEnvironment environment{
      settings, dialect, clock,         random,    runner.loop, client,
      log,      metrics, fleet,         loads,     quarantine,  retries,
      limits,   permits, configuration, admission, nullptr,     &shutdown};
  // Not started: shares nothing until a test starts it.
  RequestQuarantine quarantine{environment, CrashesPartition(), {}};
  ServerLimits limits{environment};
  PlainCallAdmission admission{environment};
  // The home of all servers.
  SendPermits permits{environment,
                      {[](std::string_view) {
                         return PermitHomeLocation{MonotonicTime(), ""};
                       },
                       [] {}},
                      [] {}};
};

}  // namespace carobbank
