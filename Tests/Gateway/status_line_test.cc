// The gateway with a backend server whose responses have no valid status line,
// beside a sound one. Guards against such bytes that pass for an answer.

#include "LibHTTP/http.h"
#include "Services/Gateway/forwarded_call.h"
#include "Services/Gateway/job_runner.h"
#include "Support/raw_response_server.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kTimeToFinish{7'000};

std::vector<std::string> StatusLines() {
  return {"HTTP/1.1 000 None",
          "HTTP/1.1 099 Below",
          "HTTP/1.1 42 Short",
          "HTTP/1.1 600 Above",
          "HTTP/1.1 999 Above",
          "HTTP/1.1 200abc",
          "HTTP/1.1 503abc",
          "HTTP/2 200 OK",
          "HTTP/1.1 200 OK\r\nHTTP/1.1 500 x:",
          "HTTP/1.1 101 Switching Protocols"};
}

std::string Response(const std::string& status_line,
                     const std::string& request_id,
                     const std::string& more_headers) {
  return status_line + "\r\nId: " + request_id +
         "\r\nSigned: strange\r\nVersion: 3\r\n"
         "Content-Type: text/event-stream\r\n" +
         more_headers + "Content-Length: 13\r\n\r\ndata: wrong\n\n";
}

// A gateway's parts with a real HTTP client, and a sound server.
struct StatusLineFixture {
  GatewayFixture fixture;
  std::unique_ptr<HttpClient> client =
      HttpClient::Create(this->fixture.runner.loop);
  std::unique_ptr<HttpServer> sound;
  std::size_t served = 0;
  // Whether the server without a valid status line has been in backoff.
  bool set_aside = false;

  StatusLineFixture() {
    auto created = Capture([this] {
      return HttpServer::Create(
          this->fixture.runner.loop, HttpServerOptions(),
          [this](HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) {
            ++this->served;
            responder->Send(SoundResponse(request));
          });
    });
    this->sound = std::move(created.Value());
  }

  static HttpResponse SoundResponse(const HttpRequest& request) {
    HttpResponse response;
    response.status = 200;
    response.headers = {
        {"Id", std::string(FindHeader(request.headers, "Id").value_or(""))},
        {"Signed", "s"},
        {"Version", "3"},
        {"Content-Type", "text/event-stream"}};
    response.body = "data: e1\n\n";
    return response;
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 std::uint16_t port) {
    FleetServer server;
    server.id = id;
    server.service = service;
    server.address = "127.0.0.1:" + std::to_string(port);
    server.data_center = id == "strange" ? "here" : "elsewhere";
    server.slots = 4;
    server.models = {{"m", 3}};
    this->fixture.fleet.Put(server);
  }
  void AddSound(const std::string& service) {
    this->AddServer("sound-" + service, service, this->sound->Port());
  }
  GatewayEnvironment Environment() {
    GatewayFixture& parts = this->fixture;
    return {
        parts.settings,    parts.dialect, parts.clock,         parts.random,
        parts.runner.loop, *this->client, parts.log,           parts.metrics,
        parts.fleet,       parts.loads,   parts.quarantine,    parts.retries,
        parts.limits,      parts.permits, parts.configuration, parts.admission};
  }
  bool RunUntil(RawResponseServer& strange,
                const std::function<bool()>& condition) {
    const MonotonicTime end = std::chrono::steady_clock::now() + kTimeToFinish;
    bool met = false;
    this->fixture.runner.RunUntil([&] {
      strange.Serve();
      met = condition();
      this->set_aside =
          this->set_aside ||
          this->fixture.loads.InBackoff("strange", this->fixture.clock.Now());
      return met || std::chrono::steady_clock::now() > end;
    });
    return met;
  }
  ReceivedResponse Call(RawResponseServer& strange, const std::string& target) {
    GatewayEnvironment environment = this->Environment();
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {
        {"Host", "app.example"}, {"Id", "r1"}, {"Time-Left", "3000"}};
    request.body = "body";
    ReceivedResponse received;
    const auto call = ForwardedCall::Start(
        environment,
        *this->fixture.configuration->routes.Find("app.example", target),
        std::move(request), std::make_shared<FakeResponder>(received),
        [](const std::shared_ptr<ForwardedCall>&) {});
    this->RunUntil(strange, [&call] { return call->Ended(); });
    return received;
  }

  // The result of the job's only sample, once the job is complete.
  std::optional<JobResult> Run(RawResponseServer& strange,
                               const BatchJob& submitted) {
    GatewayEnvironment environment = this->Environment();
    std::vector<std::unique_ptr<JobPartition>> partitions;
    std::unique_ptr<JobRunner> runner;
    partitions.push_back(std::make_unique<JobPartition>(
        this->fixture.runner.loop, this->fixture.clock, this->fixture.log,
        JobsPartition(), 1'000'000, [&runner] { runner->Reconcile(0); }));
    runner = std::make_unique<JobRunner>(environment, partitions,
                                         JobRunner::OutputTransferCallback());
    partitions[0]->Follow();
    runner->SetOwned({0});
    BatchJob job = submitted;
    job.accepted_at = this->fixture.clock.WallNow();
    job.model = "m";
    job.min_version = 3;
    job.samples[0].tokens = 100;
    std::vector<KeyedRecord> records;
    for (const KeyedRecord& record : EncodeJob(job, 262'144)) {
      records.push_back(record);
    }
    this->fixture.log.Put(JobsPartition(), records);
    std::optional<JobResult> result;
    this->RunUntil(strange, [&] {
      const JobState* const state = partitions[0]->Fold().Find(job.id);
      if (state != nullptr && state->Complete()) {
        result = state->results[0];
      }
      return result.has_value();
    });
    runner.reset();
    return result;
  }
};

}  // namespace

TEST_GROUP(StatusLine){};

TEST(StatusLine, ACallIsAnsweredWithBytesThatAreNoAnswer) {
  const struct {
    const char* target;
    const char* headers;
    int status;
    std::size_t served;
  } cases[] = {
      {"/app/x", "", 200, 1},
      {"/app/x", "Not-Run: 1\r\n", 200, 1},
      {"/once/x", "", 502, 0},
      // A mark in such bytes is no promise.
      {"/once/x", "Not-Run: 1\r\n", 502, 0},
      {"/stream/x", "", 502, 0},
      {"/resumable/x", "", 200, 1},
  };
  std::string wrong;
  for (const std::string& status_line : StatusLines()) {
    for (const auto& example : cases) {
      StatusLineFixture gateway;
      RawResponseServer strange(Response(status_line, "r1", example.headers));
      gateway.AddServer("strange", "app", strange.Port());
      gateway.AddSound("app");
      const ReceivedResponse received = gateway.Call(strange, example.target);
      const bool from_sound = received.body == "data: e1\n\n";
      if (strange.Requests() != 1 || received.status != example.status ||
          gateway.served != example.served ||
          from_sound != (example.status == 200) ||
          FindHeader(received.headers, "Not-Run") || !gateway.set_aside) {
        wrong += status_line + " " + example.headers + example.target + " -> " +
                 std::to_string(received.status) + " served " +
                 std::to_string(gateway.served) +
                 (gateway.set_aside ? "" : " not set aside") + "\n";
      }
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(StatusLine, ASampleIsMadeOfBytesThatAreNoAnswer) {
  std::string wrong;
  for (const std::string& status_line : StatusLines()) {
    StatusLineFixture gateway;
    RawResponseServer strange(Response(status_line, "j-0", ""));
    gateway.AddServer("strange", "llm", strange.Port());
    gateway.AddSound("llm");
    const auto result = gateway.Run(strange, MakeJob("j", 1));
    if (!result || !result->completed || result->output != "e1" ||
        strange.Requests() == 0) {
      wrong += status_line + " -> " + (result ? result->output : "none") + "\n";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(StatusLine, AScoreIsMadeOfBytesThatAreNoAnswer) {
  std::string wrong;
  for (const std::string& status_line : StatusLines()) {
    StatusLineFixture gateway;
    RawResponseServer strange(Response(status_line, "reward-0", ""));
    gateway.AddServer("strange", "app", strange.Port());
    gateway.AddSound("app");
    gateway.AddSound("llm");
    BatchJob job = MakeJob("j", 1);
    RewardCall reward;
    reward.id = "reward-0";
    reward.host = "app.example";
    reward.path = "/app/score";
    reward.body_base64 = EncodeBase64("score");
    job.samples[0].reward = reward;
    const auto result = gateway.Run(strange, job);
    if (!result || !result->completed || result->score != "s" ||
        strange.Requests() == 0 || !gateway.set_aside) {
      wrong += status_line + " -> " + (result ? result->score : "none") +
               (gateway.set_aside ? "" : " not set aside") + "\n";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

}  // namespace carobbank
