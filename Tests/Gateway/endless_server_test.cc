// The gateway with a backend server that sends bytes without end, beside a
// sound one. Guards against slots and memory that such a server holds, and
// against requests that are not sent to another server.

#include "Support/endless_server.h"
#include "LibHTTP/http.h"
#include "Services/Gateway/forwarded_call.h"
#include "Services/Gateway/job_runner.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kBytesAtOnce = 64 * 1024;
// The longest wait for the first event of a sample, and a repeat.
constexpr Milliseconds kTimeToFinish{7'000};
constexpr Milliseconds kTimeToAnswer{1'400};
// Of a sample's response that brings no event: 1 MiB, and what the buffers of
// two sockets hold.
constexpr std::size_t kMostBytesRead = 8 * 1024 * 1024;

constexpr const char* kStream =
    "HTTP/1.1 200 OK\r\nId: j-0\r\nSigned: s\r\nVersion: 3\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessResponse> EndlessSamples() {
  const std::string stream = kStream;
  return {
      {"head", "HTTP/1.1 200 OK\r\n", "X-Header: aaaaaaaa\r\n"},
      {"comments", stream, "8\r\n: aaaaa\n\r\n"},
      {"one event", stream + "6\r\ndata: \r\n", "8\r\naaaaaaaa\r\n"},
      {"fields of one event", stream, "8\r\nx: aaaa\n\r\n"},
      {"events", stream, "d\r\ndata: aaaaa\n\n\r\n"},
      {"failure",
       "HTTP/1.1 500 Error\r\nId: j-0\r\nTransfer-Encoding: chunked\r\n\r\n",
       "8\r\naaaaaaaa\r\n"},
  };
}

std::vector<EndlessResponse> EndlessAnswers() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
  return {
      {"head", "HTTP/1.1 200 OK\r\n", "X-Header: aaaaaaaa\r\n"},
      {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"},
      {"body", head, "8\r\naaaaaaaa\r\n"},
      {"trailers", head + "2\r\nok\r\n0\r\n", "X-Trailer: aaaaaaaa\r\n"},
      {"chunk extension", head + "2;x=", "aaaaaaaa"},
  };
}

// A gateway's parts with a real HTTP client, and a sound server.
struct EndlessFixture {
  GatewayFixture fixture;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<HttpServer> sound;
  std::size_t served = 0;

  EndlessFixture() {
    HttpClientOptions options;
    options.max_buffered_bytes = 8 * 1024 * 1024;
    this->client = HttpClient::Create(this->fixture.runner.loop, options);
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

  // Both servers; the endless one is nearer.
  void AddServers(const EndlessServer& endless, const std::string& service) {
    for (const bool is_endless : {true, false}) {
      FleetServer server;
      server.id = is_endless ? "endless" : "sound";
      server.service = service;
      server.address =
          "127.0.0.1:" +
          std::to_string(is_endless ? endless.Port() : this->sound->Port());
      server.data_center = is_endless ? "here" : "elsewhere";
      server.slots = 4;
      server.models = {{"m", 3}};
      this->fixture.fleet.Put(server);
    }
  }
  GatewayEnvironment Environment() {
    GatewayFixture& parts = this->fixture;
    return {
        parts.settings,    parts.dialect, parts.clock,         parts.random,
        parts.runner.loop, *this->client, parts.log,           parts.metrics,
        parts.fleet,       parts.loads,   parts.quarantine,    parts.retries,
        parts.limits,      parts.permits, parts.configuration, parts.admission};
  }
  bool RunUntil(EndlessServer& endless,
                Milliseconds limit,
                const std::function<bool()>& condition) {
    const MonotonicTime end = std::chrono::steady_clock::now() + limit;
    bool met = false;
    this->fixture.runner.RunUntil([&] {
      endless.Serve();
      met = condition();
      return met || std::chrono::steady_clock::now() > end;
    });
    return met;
  }
};

}  // namespace

TEST_GROUP(EndlessServer){};

TEST(EndlessServer, ASampleStaysAtAServerThatSendsWithoutEnd) {
  for (const EndlessResponse& response : EndlessSamples()) {
    EndlessFixture gateway;
    EndlessServer endless(response, kBytesAtOnce);
    gateway.AddServers(endless, "llm");
    GatewayEnvironment environment = gateway.Environment();
    std::vector<std::unique_ptr<JobPartition>> partitions;
    std::unique_ptr<JobRunner> runner;
    partitions.push_back(std::make_unique<JobPartition>(
        gateway.fixture.runner.loop, gateway.fixture.clock, gateway.fixture.log,
        JobsPartition(), 1'000'000, [&runner] { runner->Reconcile(0); }));
    runner = std::make_unique<JobRunner>(environment, partitions,
                                         JobRunner::OutputTransferCallback());
    partitions[0]->Follow();
    runner->SetOwned({0});
    BatchJob job = MakeJob("j", 1);
    job.accepted_at = gateway.fixture.clock.WallNow();
    job.model = "m";
    job.min_version = 3;
    job.samples[0].tokens = 100;
    std::vector<KeyedRecord> records;
    for (const KeyedRecord& record : EncodeJob(job, 262'144)) {
      records.push_back(record);
    }
    gateway.fixture.log.Put(JobsPartition(), records);
    const auto complete = [&] {
      const JobState* const state = partitions[0]->Fold().Find("j");
      return state != nullptr && state->Complete();
    };
    CHECK_TRUE_TEXT(gateway.RunUntil(endless, kTimeToFinish, complete),
                    response.name);
    CHECK_TRUE_TEXT(endless.Connections() > 0, response.name);
    STRCMP_EQUAL_TEXT(
        "e1", partitions[0]->Fold().Find("j")->results[0].output.c_str(),
        response.name);
    CHECK_TRUE_TEXT(gateway.RunUntil(endless, kTimeToFinish,
                                     [&] { return endless.AllClosed(); }),
                    response.name);
    LONGS_EQUAL_TEXT(0, gateway.fixture.loads.InFlight("endless"),
                     response.name);
    // Others wait while the gateway reads.
    CHECK_TRUE_TEXT(endless.Sent() <= kMostBytesRead, response.name);
    // The server was set aside.
    CHECK_TRUE_TEXT(gateway.served > 0, response.name);
    runner.reset();
  }
}

TEST(EndlessServer, ACallStaysAtAServerThatSendsWithoutEnd) {
  for (const EndlessResponse& response : EndlessAnswers()) {
    EndlessFixture gateway;
    EndlessServer endless(response, kBytesAtOnce);
    gateway.AddServers(endless, "app");
    GatewayEnvironment environment = gateway.Environment();
    HttpRequest request;
    request.method = "POST";
    request.target = "/app/x";
    request.headers = {
        {"Host", "app.example"}, {"Id", "r1"}, {"Time-Left", "1500"}};
    request.body = "body";
    ReceivedResponse received;
    const auto call = ForwardedCall::Start(
        environment,
        *gateway.fixture.configuration->routes.Find("app.example", "/app/x"),
        std::move(request), std::make_shared<FakeResponder>(received),
        [](const std::shared_ptr<ForwardedCall>&) {});
    CHECK_TRUE_TEXT(gateway.RunUntil(endless, kTimeToAnswer,
                                     [&call] { return call->Ended(); }),
                    response.name);
    LONGS_EQUAL_TEXT(200, received.status, response.name);
    CHECK_TRUE_TEXT(endless.Connections() > 0, response.name);
    CHECK_TRUE_TEXT(gateway.RunUntil(endless, kTimeToFinish,
                                     [&] { return endless.AllClosed(); }),
                    response.name);
    LONGS_EQUAL_TEXT(0, gateway.fixture.loads.InFlight("endless"),
                     response.name);
    CHECK_TRUE_TEXT(
        gateway.fixture.loads.InBackoff("endless", gateway.fixture.clock.Now()),
        response.name);
    LONGS_EQUAL_TEXT(0, gateway.client->Budget()->Used(), response.name);
  }
}

}  // namespace carobbank
