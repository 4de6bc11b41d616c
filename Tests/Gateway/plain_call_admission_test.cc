// Guards against a plain call that waits although its service has capacity,
// against one that waits beyond its deadline or in the wrong order, and against
// a refusal of a call that a server may have run.

#include "Services/Gateway/plain_call_admission.h"

#include "Services/Gateway/forwarded_call.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// Holds each request until the test responds to it.
class HoldingClient final : public HttpClient {
 public:
  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    auto alive = std::make_shared<bool>(true);
    this->sent.push_back({std::move(request), std::move(handlers), alive});
    return std::make_unique<Exchange>(std::move(alive));
  }

  void Respond(std::size_t index, const ScriptedResponse& response) {
    const Sent& held = this->sent[index];
    if (held.alive.expired()) {
      return;
    }
    held.handlers.on_headers(response.status, response.headers);
    held.handlers.on_body(response.body);
    held.handlers.on_done();
  }
  void Answer(std::size_t index) {
    this->Respond(
        index, GatewayFixture::Respond(this->sent[index].request, 200, "fine"));
  }
  void Refuse(std::size_t index) {
    this->Respond(index, GatewayFixture::NotRun(this->sent[index].request));
  }
  std::string Target(std::size_t index) const {
    const std::string& url = this->sent[index].request.url;
    return url.substr(url.find(":1/") + 2);
  }
  std::size_t Size() const { return this->sent.size(); }

 private:
  class Exchange final : public HttpExchange {
   public:
    explicit Exchange(std::shared_ptr<bool> alive) : alive(std::move(alive)) {}
    void Pause() override {}
    void Resume() override {}

   private:
    std::shared_ptr<bool> alive;
  };
  struct Sent {
    HttpClientRequest request;
    HttpClientHandlers handlers;
    std::weak_ptr<bool> alive;
  };
  std::vector<Sent> sent;
};

struct AdmissionFixture {
  AdmissionFixture() {
    this->parts.settings.admission = true;
    for (const char* id : {"a", "b", "c"}) {
      this->parts.AddServer(id, "app");
    }
  }

  struct Caller {
    ReceivedResponse received;
    std::shared_ptr<ForwardedCall> call;
  };

  Caller& Send(const std::string& target,
               std::int64_t priority = 0,
               int time_left_ms = 5'000) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "app.example"},
                       {"Id", "r" + std::to_string(this->callers.size())},
                       {"Time-Left", std::to_string(time_left_ms)}};
    HostRoute route =
        *this->parts.configuration->routes.Find("app.example", target);
    route.priority = priority;
    auto caller = std::make_unique<Caller>();
    caller->call =
        ForwardedCall::Start(this->environment, route, request,
                             std::make_shared<FakeResponder>(caller->received),
                             [](const std::shared_ptr<ForwardedCall>&) {});
    this->callers.push_back(std::move(caller));
    return *this->callers.back();
  }
  // Three times the slots of all servers.
  void FillWindow() {
    for (std::size_t index = 0; index < kWindow; ++index) {
      this->Send("/app/first");
    }
    LONGS_EQUAL(kWindow, this->client.Size());
  }
  void RunLoop() { this->parts.runner.RunFor(Milliseconds(5)); }
  std::uint64_t Count(const std::string& outcome) {
    return this->parts.metrics
        .GetCounter(metrics::kAdmissionCalls,
                    {{"service", "app"}, {"outcome", outcome}})
        .Value();
  }

  static constexpr std::size_t kWindow = 36;

  GatewayFixture parts;
  HoldingClient client;
  GatewayEnvironment environment{
      parts.settings,    parts.dialect, parts.clock,         parts.random,
      parts.runner.loop, client,        parts.log,           parts.metrics,
      parts.fleet,       parts.loads,   parts.quarantine,    parts.retries,
      parts.limits,      parts.permits, parts.configuration, admission};
  PlainCallAdmission admission{environment};
  std::vector<std::unique_ptr<Caller>> callers;
};

}  // namespace

TEST_GROUP(PlainCallAdmission) {
  AdmissionFixture fixture;
};

TEST(PlainCallAdmission, CallsAreSentAtOnceWhileTheServiceHasCapacity) {
  this->fixture.FillWindow();
  LONGS_EQUAL(0, this->fixture.admission.Queued());
}

TEST(PlainCallAdmission, AWaitingCallIsSentOnceAnotherEnds) {
  this->fixture.FillWindow();
  this->fixture.Send("/app/second");
  LONGS_EQUAL(AdmissionFixture::kWindow, this->fixture.client.Size());
  LONGS_EQUAL(1, this->fixture.admission.Queued());
  this->fixture.client.Answer(0);
  this->fixture.RunLoop();
  LONGS_EQUAL(AdmissionFixture::kWindow + 1, this->fixture.client.Size());
  this->fixture.client.Answer(AdmissionFixture::kWindow);
  LONGS_EQUAL(200, this->fixture.callers.back()->received.status);
  LONGS_EQUAL(1, this->fixture.Count("waited"));
}

TEST(PlainCallAdmission, AnUrgentCallGoesBeforeEarlierOnes) {
  this->fixture.FillWindow();
  this->fixture.Send("/app/later", 2);
  this->fixture.Send("/app/urgent", 0);
  this->fixture.client.Answer(0);
  this->fixture.RunLoop();
  STRCMP_EQUAL("/app/urgent",
               this->fixture.client.Target(AdmissionFixture::kWindow).c_str());
}

TEST(PlainCallAdmission, ACallThatCannotBeServedInTimeIsRefusedAtOnce) {
  this->fixture.FillWindow();
  const AdmissionFixture::Caller& caller =
      this->fixture.Send("/app/second", 0, 20);
  LONGS_EQUAL(503, caller.received.status);
  CHECK_TRUE(caller.received.body.find("overloaded") != std::string::npos);
  CHECK_TRUE(FindHeader(caller.received.headers, "Retry-After") == "0.050");
  LONGS_EQUAL(AdmissionFixture::kWindow, this->fixture.client.Size());
  LONGS_EQUAL(1, this->fixture.Count("too_late"));
}

TEST(PlainCallAdmission, ACallerThatComesBackGoesBeforeLaterOnes) {
  this->fixture.FillWindow();
  LONGS_EQUAL(503, this->fixture.Send("/app/back", 0, 20).received.status);
  this->fixture.RunLoop();
  this->fixture.Send("/app/later");
  this->fixture.RunLoop();
  this->fixture.Send("/app/back");
  this->fixture.client.Answer(0);
  this->fixture.RunLoop();
  STRCMP_EQUAL("/app/back",
               this->fixture.client.Target(AdmissionFixture::kWindow).c_str());
}

TEST(PlainCallAdmission, AnAdmittedCallThatAllServersRefuseIsNotGivenUp) {
  const AdmissionFixture::Caller& caller = this->fixture.Send("/app/x");
  // Three servers, in more rounds than without admission.
  constexpr std::size_t kRefusals = 12;
  for (std::size_t index = 0; index < kRefusals; ++index) {
    CHECK_TRUE(this->fixture.parts.runner.RunUntil(
        [&] { return this->fixture.client.Size() > index; }));
    this->fixture.client.Refuse(index);
  }
  CHECK_TRUE(this->fixture.parts.runner.RunUntil(
      [&] { return this->fixture.client.Size() > kRefusals; }));
  this->fixture.client.Answer(kRefusals);
  LONGS_EQUAL(200, caller.received.status);
}

TEST(PlainCallAdmission, AWaitingCallIsRefusedWhenItsTimeRunsOut) {
  this->fixture.FillWindow();
  const AdmissionFixture::Caller& caller =
      this->fixture.Send("/app/second", 0, 100);
  LONGS_EQUAL(0, caller.received.status);
  CHECK_TRUE(this->fixture.parts.runner.RunUntil(
      [&] { return caller.received.complete; }));
  LONGS_EQUAL(503, caller.received.status);
  LONGS_EQUAL(1, this->fixture.Count("expired"));
  this->fixture.client.Answer(0);
  this->fixture.RunLoop();
  LONGS_EQUAL(AdmissionFixture::kWindow, this->fixture.client.Size());
}

TEST(PlainCallAdmission, ACallerThatLeavesWhileItWaitsIsNeverServed) {
  this->fixture.FillWindow();
  AdmissionFixture::Caller& caller = this->fixture.Send("/app/second");
  caller.received.close();
  LONGS_EQUAL(0, this->fixture.admission.Queued());
  LONGS_EQUAL(1, this->fixture.Count("withdrawn"));
  this->fixture.client.Answer(0);
  this->fixture.RunLoop();
  LONGS_EQUAL(AdmissionFixture::kWindow, this->fixture.client.Size());
}

TEST(PlainCallAdmission, ACallThatMayHaveRunIsNotRefusedAsNotRun) {
  const AdmissionFixture::Caller& caller =
      this->fixture.Send("/once/x", 0, 100);
  CHECK_TRUE(this->fixture.parts.runner.RunUntil(
      [&] { return caller.received.complete; }));
  LONGS_EQUAL(504, caller.received.status);
}

TEST(PlainCallAdmission, RefusalsOfFullServersReduceWhatIsInFlight) {
  this->fixture.FillWindow();
  this->fixture.client.Refuse(0);
  for (std::size_t index = 1; index < AdmissionFixture::kWindow; ++index) {
    this->fixture.client.Answer(index);
  }
  this->fixture.RunLoop();
  const std::size_t before = this->fixture.client.Size();
  for (std::size_t index = 0; index < AdmissionFixture::kWindow; ++index) {
    this->fixture.Send("/app/second");
  }
  CHECK_TRUE(this->fixture.client.Size() < before + AdmissionFixture::kWindow);
  CHECK_TRUE(this->fixture.admission.Queued() > 0);
}

TEST(PlainCallAdmission, WithoutTheSettingCallsAreNeverHeldBack) {
  this->fixture.parts.settings.admission = false;
  this->fixture.FillWindow();
  const AdmissionFixture::Caller& caller =
      this->fixture.Send("/app/second", 0, 5'000);
  LONGS_EQUAL(0, this->fixture.admission.Queued());
  // All servers are at this gateway's limit: two rounds, then a refusal.
  CHECK_TRUE(this->fixture.parts.runner.RunUntil(
      [&] { return caller.received.complete; }));
  CHECK_TRUE(FindHeader(caller.received.headers, "Retry-After") == "0.250");
}

}  // namespace carobbank
