// Tests of PlainCall. They guard against a second execution of a request that
// is not repeatable, and against a truncated response that looks complete, for
// each way in which an attempt can end.

#include "Services/Entry/plain_call.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

using Ending = ScriptedResponse::Ending;

constexpr const char* kToken = "a token";

std::string DocumentText() {
  return "name: dispatch\nteam: desk\nkind: plain\npool: app\nclass: live\n"
         "idempotency: {repeatable: [{method: GET, path_prefix: /}]}\n"
         "callers:\n  - {name: desk, token_sha256: \"" +
         Sha256Hex(kToken) + "\"}\n";
}

std::shared_ptr<const EntryControlSnapshot> MakeSnapshot() {
  auto service = std::make_shared<ServiceInForce>();
  service->document = ParseServiceDocument("test", DocumentText()).value;
  auto configuration = std::make_shared<ConfigurationState>();
  configuration->offset = 0;
  configuration->services["dispatch"] = service;
  // Two servers, because a server that failed is ejected for a while.
  auto servers = std::make_shared<std::vector<KnownServer>>();
  for (const char* id : {"app-1", "app-2"}) {
    KnownServer server;
    server.instance.id = id;
    server.instance.pool = "app";
    server.instance.address = "127.0.0.1:1";
    server.takes_new_work = true;
    servers->push_back(server);
  }
  auto snapshot = std::make_shared<EntryControlSnapshot>();
  snapshot->configuration = configuration;
  snapshot->configuration_known = true;
  snapshot->servers = std::move(servers);
  return snapshot;
}

ScriptedResponse SidecarRefusal() {
  Problem problem;
  problem.status = 503;
  problem.code = "queue_full";
  ScriptedResponse response;
  response.status = 503;
  response.headers = {{"X-Carobbank-Refusal", "queue_full"}};
  response.body = problem.ToResponse().body;
  return response;
}

ScriptedResponse CrashReportOfSidecar() {
  Problem problem;
  problem.status = 502;
  problem.code = "backend_crashed";
  problem.execution = Execution::kMayHaveRun;
  ScriptedResponse response;
  response.status = 502;
  response.headers = {{"X-Carobbank-Refusal", "backend_crashed"}};
  response.body = problem.ToResponse().body;
  return response;
}

// The first attempt's response; later attempts return 200.
struct AttemptCase {
  const char* name;
  const char* method;
  ScriptedResponse first;
  std::size_t sent;
  int status;
};

}  // namespace

TEST_GROUP(PlainCall) {
  LoopRunner runner;
  SystemClock clock;
  FakeLog log{clock};
  Random random{5};
  EventTimeline timeline{clock, {}};
  MetricRegistry metrics{clock};
  PeerProofSigner signer{"a secret"};
  FakeHttpClient client{runner.loop};
  AttemptSender sender{client, clock, signer, timeline};
  EntrySettings settings;
  RoutedPools pools{clock, random, timeline, RouterOptions()};
  ServiceLimiters limiters{clock, random, metrics, 100};
  GenerationEnvironment generation{runner.loop, clock, random,
                                   sender,      pools, limiters};
  GroupCommitterOptions committer{.minimum_interval = Milliseconds(0)};
  RetentionOptions retention;
  IdempotencyKeyService keys{{runner.loop, clock, random, log, timeline,
                              metrics, committer, retention,
                              LongestKeyWindow(retention)}};
  LogWriter versions{
      {runner.loop, clock, random, log, metrics}, "versions", committer};
  std::shared_ptr<const EntryControlSnapshot> control = MakeSnapshot();
  CallEnvironment environment{
      runner.loop, clock,      random,   settings, timeline, metrics, sender,
      pools,       generation, limiters, keys,     versions, nullptr, control};

  void setup() override {
    this->keys.Start();
    CHECK_TRUE(Capture([&]() -> Result<bool> {
                 BOOST_LEAF_CHECK(
                     this->pools.ApplyServers(this->control->servers, {}));
                 return true;
               }).Ok());
  }

  void RespondFirst(const ScriptedResponse& first) {
    this->client.seen.clear();
    this->client.answer = [this, first](const HttpClientRequest&) {
      ScriptedResponse response;
      response.body = "confirmed";
      return this->client.seen.size() == 1 ? first : response;
    };
  }

  void Call(std::string method, HttpHeaders headers, ReceivedResponse & view) {
    HttpRequest request;
    request.method = std::move(method);
    request.headers = std::move(headers);
    SetHeader(request.headers, "Authorization",
              std::string("Bearer ") + kToken);
    PlainCall::Begin(this->environment, std::move(request), "dispatch",
                     "/slots", std::make_shared<FakeResponder>(view));
  }
};

TEST(PlainCall, RequestsAreRetriedOnlyWhereThatIsHarmless) {
  const AttemptCase cases[] = {
      {"not sent, repeatable", "GET", {200, {}, "", Ending::kNotSent}, 2, 200},
      {"not sent, not repeatable",
       "POST",
       {200, {}, "", Ending::kNotSent},
       2,
       200},
      {"refused as not run", "POST", SidecarRefusal(), 2, 200},
      {"complete", "POST", {201, {}, "made", Ending::kComplete}, 1, 201},
  };
  for (const AttemptCase& each : cases) {
    this->RespondFirst(each.first);
    ReceivedResponse view;
    this->Call(each.method, {}, view);
    CHECK_TRUE_TEXT(this->runner.RunUntil([&] { return view.complete; }),
                    each.name);
    LONGS_EQUAL_TEXT(each.sent, this->client.seen.size(), each.name);
    LONGS_EQUAL_TEXT(each.status, view.status, each.name);
    // Wait until both servers accept requests again for the next case.
    this->runner.RunFor(Milliseconds(510));
    this->setup();
  }
}

TEST(PlainCall, ATruncatedResponseIsAbortedAndNotRetried) {
  this->RespondFirst({200, {}, "half", Ending::kTruncated});
  ReceivedResponse view;
  this->Call("POST", {}, view);
  CHECK_TRUE(this->runner.RunUntil([&] { return view.aborted; }));
  CHECK_FALSE(view.complete);
  LONGS_EQUAL(1, this->client.seen.size());
}

TEST(PlainCall, ARequestThatCrashedTwoServersIsSentToAThird) {
  this->client.answer = [](const HttpClientRequest&) {
    return CrashReportOfSidecar();
  };
  ReceivedResponse view;
  for (int sending = 0; sending < 3; ++sending) {
    view = ReceivedResponse();
    this->Call("GET", {}, view);
    CHECK_TRUE(this->runner.RunUntil([&] { return view.complete; }));
    // Wait until both servers accept requests again.
    this->runner.RunFor(Milliseconds(1'010));
    this->setup();
  }
  LONGS_EQUAL(2, this->client.seen.size());
  CHECK_TRUE(FindHeader(this->client.seen[1].headers, "X-Carobbank-Alone") ==
             "1");
  LONGS_EQUAL(422, view.status);
}

TEST(PlainCall, BytesAfterTheCallerDisconnectsAreDropped) {
  ScriptedResponse response{200, {}, "first", Ending::kComplete, "late"};
  this->RespondFirst(response);
  ReceivedResponse view;
  view.leaves = true;
  this->Call("GET", {}, view);
  this->runner.RunFor(Milliseconds(5));
  STRCMP_EQUAL("first", view.body.c_str());
  CHECK_FALSE(view.complete);
}

TEST(PlainCall, AKeyedRequestIsSentOnceAndItsResponseReplayed) {
  this->RespondFirst({200, {}, "slot b2", Ending::kComplete});
  const HttpHeaders headers = {
      {"Idempotency-Key", "key-1"},
      {"Idempotency-Key-Issued", std::to_string(this->clock.WallNow())}};
  for (int sending = 0; sending < 2; ++sending) {
    ReceivedResponse view;
    this->Call("POST", headers, view);
    CHECK_TRUE(this->runner.RunUntil([&] { return view.complete; }));
    LONGS_EQUAL(200, view.status);
    STRCMP_EQUAL("slot b2", view.body.c_str());
  }
  LONGS_EQUAL(1, this->client.seen.size());
}

}  // namespace carobbank
