// Several gateways, one log and one fleet of backend servers, against requests
// that crash every server that begins to run them: calls, streams, samples and
// reward calls, sent again at any gateway.

#include <algorithm>

#include "Services/Gateway/forwarded_call.h"
#include "Services/Gateway/job_runner.h"
#include "Support/fake_servers.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// The rule of the platform: a request that crashed three servers reaches
// servers in at most three retries more.
constexpr std::size_t kMostCrashes = 6;
constexpr std::size_t kGateways = 3;

std::string Events(int count) {
  std::string text;
  for (int id = 1; id <= count; ++id) {
    text +=
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

// A server's valid response to plain and reward calls, and to samples.
HttpResponse SoundAnswer(const HttpClientRequest& request) {
  HttpResponse response;
  response.status = 200;
  response.headers = {
      {"Id", std::string(FindHeader(request.headers, "Id").value_or(""))},
      {"Signed", "signature"},
      {"Version", "3"}};
  response.body =
      request.url.find("/train/") == std::string::npos ? "fine" : Events(2);
  return response;
}

HttpRequest CallTo(const std::string& target,
                   const std::string& body,
                   const std::string& id) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers = {
      {"Host", "app.example"}, {"Id", id}, {"Time-Left", "5000"}};
  request.body = body;
  return request;
}

}  // namespace

// One gateway's parts; the log, the loop and the servers are shared.
struct GatewayParts {
  GatewayParts(GatewayFixture& fixture,
               FakeServers& servers,
               const std::string& name)
      : settings(fixture.settings),
        client(servers.Client()),
        environment{this->settings, fixture.dialect,      fixture.clock,
                    fixture.random, fixture.runner.loop,  *this->client,
                    fixture.log,    fixture.metrics,      this->fleet,
                    this->loads,    fixture.configuration} {
    this->settings.instance = name;
    servers.fleets.push_back(&this->fleet);
    this->partitions.push_back(std::make_unique<JobPartition>(
        fixture.runner.loop, fixture.clock, fixture.log, JobsPartition(),
        1'000'000, [this] { this->runner->Reconcile(0); }));
    this->runner =
        std::make_unique<JobRunner>(this->environment, this->partitions,
                                    JobRunner::OutputTransferCallback());
    this->partitions[0]->Follow();
  }

  GatewaySettings settings;
  ServerFleet fleet;
  BackendLoads loads;
  std::unique_ptr<HttpClient> client;
  GatewayEnvironment environment;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::unique_ptr<JobRunner> runner;
};

TEST_GROUP(FatalRequest) {
  GatewayFixture fixture;
  FakeServers servers{fixture.runner.loop};
  std::vector<std::unique_ptr<GatewayParts>> gateways;
  std::vector<std::shared_ptr<ForwardedCall>> calls;
  std::size_t requests = 0;

  void setup() override {
    this->servers.answer = &SoundAnswer;
    for (std::size_t index = 0; index < kGateways; ++index) {
      this->StartGateway();
    }
    for (int index = 0; index < 8; ++index) {
      this->AddServer("app-" + std::to_string(index), "app");
      this->AddServer("llm-" + std::to_string(index), "llm");
    }
  }
  void teardown() override {
    this->calls.clear();
    this->servers.fleets.clear();
    this->gateways.clear();
  }

  void AddServer(const std::string& id, const std::string& service) {
    FleetServer server;
    server.id = id;
    server.service = service;
    server.data_center = "here";
    server.slots = 4;
    if (service == "llm") {
      server.models = {{"m", 3}};
    }
    this->servers.Add(std::move(server));
  }

  void StartGateway() {
    this->gateways.push_back(std::make_unique<GatewayParts>(
        this->fixture, this->servers,
        "gateway-" + std::to_string(this->gateways.size())));
  }

  // Sends one client attempt and returns its response.
  ReceivedResponse Call(GatewayParts & gateway, const std::string& target,
                        const std::string& body) {
    ReceivedResponse received;
    const auto call = this->Start(gateway, target, body, received);
    CHECK_TRUE(
        this->fixture.runner.RunUntil([&call] { return call->Ended(); }));
    return received;
  }

  std::shared_ptr<ForwardedCall> Start(
      GatewayParts & gateway, const std::string& target,
      const std::string& body, ReceivedResponse& received) {
    const HostRoute* const route =
        this->fixture.configuration->routes.Find("app.example", target);
    return ForwardedCall::Start(
        gateway.environment, *route,
        CallTo(target, body, "r" + std::to_string(++this->requests)),
        std::make_shared<FakeResponder>(received),
        [](const std::shared_ptr<ForwardedCall>&) {});
  }

  // A caller that sends the same request again and again, at each gateway in
  // turn.
  void RepeatCall(const std::string& target) {
    constexpr std::size_t kRepeats = 18;
    for (std::size_t index = 0; index < kRepeats; ++index) {
      this->Call(*this->gateways[index % kGateways], target, "fatal body");
    }
  }

  BatchJob Job(const std::string& id, std::size_t samples) {
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

  void CheckCrashes() {
    const std::size_t count = this->servers.fatal_crashes.size();
    std::string text = std::to_string(count) + " servers crashed:";
    for (const std::string& id : this->servers.fatal_crashes) {
      text += " " + id;
    }
    CHECK_TRUE_TEXT(count <= kMostCrashes, text.c_str());
  }

  std::size_t Results(const GatewayParts& gateway, const std::string& job) {
    const JobState* const state = gateway.partitions[0]->Fold().Find(job);
    return state == nullptr ? 0 : state->results.size();
  }
};

TEST(FatalRequest, ACallThatCrashedThreeServersIsSentToMore) {
  this->RepeatCall("/app/x");
  this->CheckCrashes();
}

TEST(FatalRequest, AStreamThatCrashedThreeServersIsSentToMore) {
  this->RepeatCall("/once/x");
  this->CheckCrashes();
}

TEST(FatalRequest, ASampleThatCrashedThreeServersIsSentToMore) {
  BatchJob job = this->Job("j", 20);
  job.samples[7].body_base64 = EncodeBase64("fatal body");
  this->PutJob(job);
  this->gateways[0]->runner->SetOwned({0});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->Results(*this->gateways[0], "j") == 19; }));
  this->fixture.runner.RunFor(Milliseconds(1'500));
  this->CheckCrashes();
}

TEST(FatalRequest, ASampleIsSentToMoreServersByThePartitionsNextOwner) {
  BatchJob job = this->Job("j", 4);
  job.samples[1].body_base64 = EncodeBase64("fatal body");
  this->PutJob(job);
  // Each owner is lost soon after a crash.
  for (std::size_t owner = 0; owner < 8; ++owner) {
    const std::size_t crashes = this->servers.fatal_crashes.size();
    this->StartGateway();
    GatewayParts& gateway = *this->gateways.back();
    for (int index = 0; index < 8; ++index) {
      gateway.fleet.Put(
          *this->gateways[0]->fleet.Find("llm-" + std::to_string(index)));
    }
    gateway.runner->SetOwned({0});
    std::size_t ticks = 0;
    this->fixture.runner.RunUntil([&] {
      return this->servers.fatal_crashes.size() > crashes || ++ticks > 400;
    });
    this->fixture.runner.RunFor(Milliseconds(40));
    this->servers.fleets.pop_back();
    this->gateways.pop_back();
  }
  this->CheckCrashes();
}

TEST(FatalRequest, ARewardCallThatCrashedThreeServersIsSentToMore) {
  BatchJob job = this->Job("j", 12);
  for (JobSample& sample : job.samples) {
    sample.reward = RewardCall{"reward-" + sample.id, "app.example",
                               "/app/reward", EncodeBase64("of " + sample.id)};
  }
  job.samples[3].reward->body_base64 = EncodeBase64("fatal reward");
  this->PutJob(job);
  this->gateways[0]->runner->SetOwned({0});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->Results(*this->gateways[0], "j") == 11; }));
  this->fixture.runner.RunFor(Milliseconds(1'500));
  this->CheckCrashes();
}

}  // namespace carobbank
