// Several gateways in one process that share a log and a fleet of fake backend
// servers, for tests of what they do together.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Services/Gateway/forwarded_call.h"
#include "Services/Gateway/job_runner.h"
#include "Services/Gateway/peer_state_poller.h"
#include "Services/Gateway/plain_call_admission.h"
#include "Services/Gateway/server_restarts.h"
#include "Support/fake_servers.h"
#include "Support/gated_log.h"
#include "gateway_fixture.h"

namespace carobbank {

inline std::string Events(int count) {
  std::string text;
  for (int id = 1; id <= count; ++id) {
    text +=
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

// `count` events after the one that the request names as its last.
inline std::string EventsAfter(const HttpClientRequest& request, int count) {
  const int last = ParseInteger<int>(
                       FindHeader(request.headers, "After-Event").value_or("0"))
                       .value_or(0);
  std::string text;
  for (int id = last + 1; id <= last + count; ++id) {
    text +=
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

// A server's valid response to plain and reward calls, and to samples.
inline HttpResponse SoundAnswer(const HttpClientRequest& request) {
  HttpResponse response;
  response.status = 200;
  response.headers = {
      {"Id", std::string(FindHeader(request.headers, "Id").value_or(""))},
      {"Signed", "signature"},
      {"Version", "3"},
      {"Content-Type", "text/event-stream"}};
  response.body =
      request.url.find("/train/") == std::string::npos ? "fine" : Events(2);
  return response;
}

inline HttpRequest CallTo(const std::string& target,
                          const std::string& body,
                          const std::string& id) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers = {
      {"Host", "app.example"}, {"Id", id}, {"Time-Left", "1500"}};
  request.body = body;
  return request;
}

// One gateway's parts; the log, the loop and the servers are shared.
struct GatewayParts {
  GatewayParts(GatewayFixture& fixture,
               FakeServers& servers,
               const std::string& name)
      : settings(SettingsOf(fixture, name)),
        servers(servers),
        client(servers.Client(name)),
        log(fixture.runner.loop, fixture.log),
        retries(fixture.metrics, fixture.random),
        environment{this->settings, fixture.dialect,     fixture.clock,
                    fixture.random, fixture.runner.loop, *this->client,
                    this->log,      fixture.metrics,     this->fleet,
                    this->loads,    this->quarantine,    this->retries,
                    this->limits,   this->permits,       fixture.configuration,
                    this->admission},
        quarantine(this->environment, CrashesPartition(), OtherPeers(name)),
        peer_poller(this->environment, OtherPeers(name), this->PeerHandlers()),
        operator_follower(fixture.runner.loop,
                          fixture.clock,
                          this->log,
                          fixture.dialect.OperatorPartition(),
                          {},
                          this->OperatorHandlers()) {
    servers.peers[Address(name)] = [this](const HttpClientRequest& request) {
      return this->HandlePeer(request);
    };
    servers.registries[this] = [this](const FleetServer& server) {
      ObserveRestart(this->environment, server);
      this->quarantine.OnServerRegistered(server);
      this->fleet.Put(server);
    };
    this->partitions.push_back(std::make_unique<JobPartition>(
        fixture.runner.loop, fixture.clock, fixture.log, JobsPartition(),
        1'000'000, [this] { this->runner->Reconcile(0); }));
    this->runner =
        std::make_unique<JobRunner>(this->environment, this->partitions,
                                    JobRunner::OutputTransferCallback());
    this->partitions[0]->Follow();
    this->quarantine.Start();
    this->operator_follower.Start();
  }
  ~GatewayParts() {
    this->servers.registries.erase(this);
    this->servers.peers.erase(Address(this->settings.instance));
  }
  GatewayParts(const GatewayParts&) = delete;
  GatewayParts& operator=(const GatewayParts&) = delete;

  static GatewaySettings SettingsOf(const GatewayFixture& fixture,
                                    const std::string& name) {
    GatewaySettings settings = fixture.settings;
    settings.instance = name;
    return settings;
  }
  static std::string Address(const std::string& name) { return name + ":9"; }
  // Two gateways are peers of all others.
  static std::vector<std::string> OtherPeers(const std::string& name) {
    std::vector<std::string> peers;
    for (const char* const peer : {"gateway-0", "gateway-1"}) {
      if (peer != name) {
        peers.push_back(Address(peer));
      }
    }
    return peers;
  }

  // As Gateway does after a change of its servers or its configuration.
  void OnServersChanged() {
    this->fleet.RecordSoftware(this->environment.clock.BootNow());
    this->quarantine.UpdateStreams();
  }

  HttpResponse HandlePeer(const HttpClientRequest& request) {
    if (request.url.ends_with(SendPermits::kPath)) {
      HttpRequest received;
      received.body = request.body;
      return this->permits.HandlePeer(received);
    }
    if (request.url.ends_with(RequestRecordLog::kPath)) {
      this->quarantine.Log().ReceiveFromPeer(
          RequestRecordLog::Decode(request.body));
      return {200, {}, ""};
    }
    PeerState state;
    state.known_records = this->quarantine.KnownRecords();
    state.unconfirmed_records = this->quarantine.Log().Unconfirmed();
    return {200, {}, EncodePeerState(state)};
  }
  PermitHomes Homes() {
    PermitHomes homes;
    homes.find = [this](std::string_view /*server_id*/) {
      PermitHomeLocation location;
      if (this->settings.instance == this->servers.permit_home) {
        location.own_since = this->home_since;
      } else {
        location.address = Address(this->servers.permit_home);
      }
      return location;
    };
    homes.on_silent = [] {};
    return homes;
  }
  PeerStatePollerHandlers PeerHandlers() {
    PeerStatePollerHandlers handlers;
    handlers.on_cut_off_changed = [](bool) {};
    handlers.wants_records = [] { return false; };
    handlers.on_request_records = [this](const PeerState& state) {
      this->quarantine.Log().ReceiveFromPeer(state.unconfirmed_records);
      this->quarantine.Log().ApplyConfirmed(state.known_records);
    };
    return handlers;
  }
  LogFollowerHandlers OperatorHandlers() {
    LogFollowerHandlers handlers;
    handlers.on_record = [](const KeyedLogRecord&) {};
    handlers.on_reachable = [this](bool reachable) {
      this->peer_poller.SetLogUnreachable(!reachable);
    };
    return handlers;
  }

  GatewaySettings settings;
  FakeServers& servers;
  // When this gateway became the home of all servers, if it is.
  MonotonicTime home_since{};
  ServerFleet fleet;
  BackendLoads loads;
  std::unique_ptr<HttpClient> client;
  // This gateway's connection to the log that all share.
  GatedLog log;
  RetryBudgets retries;
  GatewayEnvironment environment;
  RequestQuarantine quarantine;
  ServerLimits limits{environment};
  PlainCallAdmission admission{environment};
  SendPermits permits{environment, this->Homes(),
                      [this] { this->runner->ScheduleDispatch(); }};
  PeerStatePoller peer_poller;
  LogFollower operator_follower;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::unique_ptr<JobRunner> runner;
};

class GatewayFleet {
 public:
  explicit GatewayFleet(std::size_t gateway_count,
                        std::size_t servers_per_service = 8) {
    this->servers.answer = &SoundAnswer;
    for (std::size_t index = 0; index < gateway_count; ++index) {
      this->StartGateway();
    }
    for (std::size_t index = 0; index < servers_per_service; ++index) {
      this->AddServer("app-" + std::to_string(index), "app");
      this->AddServer("llm-" + std::to_string(index), "llm");
    }
  }

  GatewayFixture fixture;
  FakeServers servers{fixture.runner.loop};
  std::vector<std::unique_ptr<GatewayParts>> gateways;

  GatewayParts& StartGateway() {
    this->gateways.push_back(std::make_unique<GatewayParts>(
        this->fixture, this->servers,
        "gateway-" + std::to_string(this->started++)));
    return this->ShowServers(*this->gateways.back());
  }
  // Ends the gateway and starts it again under its name, without its state.
  GatewayParts& RestartGateway(std::size_t index) {
    const std::string name = this->gateways[index]->settings.instance;
    this->gateways[index].reset();
    this->gateways[index] =
        std::make_unique<GatewayParts>(this->fixture, this->servers, name);
    return this->ShowServers(*this->gateways[index]);
  }

  // Starts one client attempt. `received` must outlive the call.
  std::shared_ptr<ForwardedCall> StartCall(GatewayParts& gateway,
                                           const std::string& target,
                                           const std::string& body,
                                           ReceivedResponse& received) {
    const HostRoute* const route =
        this->fixture.configuration->routes.Find("app.example", target);
    return ForwardedCall::Start(
        gateway.environment, *route,
        CallTo(target, body, "r" + std::to_string(++this->requests)),
        std::make_shared<FakeResponder>(received),
        [](const std::shared_ptr<ForwardedCall>&) {});
  }
  // Runs one client attempt and returns its response.
  ReceivedResponse Call(GatewayParts& gateway,
                        const std::string& target,
                        const std::string& body) {
    ReceivedResponse received;
    const auto call = this->StartCall(gateway, target, body, received);
    this->fixture.runner.RunUntil([&call] { return call->Ended(); });
    return received;
  }

  BatchJob Job(const std::string& id, std::size_t samples) const {
    BatchJob job = MakeJob(id, samples);
    job.accepted_at = this->fixture.clock.WallNow();
    job.model = "m";
    job.min_version = 3;
    return job;
  }
  void PutJob(const BatchJob& job) {
    std::vector<KeyedRecord> records;
    for (const KeyedRecord& record : EncodeJob(job, 262'144)) {
      records.push_back({record.key, record.value});
    }
    this->fixture.log.Put(JobsPartition(), records);
  }
  static std::size_t Results(const GatewayParts& gateway,
                             const std::string& job) {
    const JobState* const state = gateway.partitions[0]->Fold().Find(job);
    return state == nullptr ? 0 : state->results.size();
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return this->fixture.runner.RunUntil(condition);
  }
  void RunFor(Milliseconds time) { this->fixture.runner.RunFor(time); }

 private:
  GatewayParts& ShowServers(GatewayParts& gateway) const {
    for (const FleetServer& server : this->servers.Registered()) {
      gateway.fleet.Put(server);
    }
    return gateway;
  }

  void AddServer(const std::string& id, const std::string& service) {
    FleetServer server;
    server.id = id;
    server.service = service;
    server.data_center = "here";
    server.slots = 4;
    server.software_version = "v1";
    if (service == "llm") {
      server.models = {{"m", 3}};
    }
    this->servers.Add(std::move(server));
  }

  std::size_t requests = 0;
  std::size_t started = 0;
};

}  // namespace carobbank
