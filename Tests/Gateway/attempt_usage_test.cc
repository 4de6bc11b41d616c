// Guards against requests that count twice because they were retried, or count
// although no server ran them.

#include "Services/Gateway/usage_recorder.h"

#include "Services/Gateway/forwarded_call.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

class FakeUsageRecorder final : public UsageRecorder {
 public:
  void RecordBegun(std::string_view workspace, WallMilliseconds at) override {
    this->begun.emplace(workspace, at);
  }
  void RecordNotRun(std::string_view workspace, WallMilliseconds at) override {
    const auto found = this->begun.find({std::string(workspace), at});
    CHECK_TRUE(found != this->begun.end());
    this->begun.erase(found);
  }

  // Workspace and time of the counted requests.
  std::multiset<std::pair<std::string, WallMilliseconds>> begun;
};

}  // namespace

TEST_GROUP(AttemptUsage) {
  FakeUsageRecorder recorder;
  AttemptUsage usage{&recorder, "a"};
};

TEST(AttemptUsage, AHedgedRequestCountsOnceAtItsFirstSend) {
  this->usage.OnSent("s1", 10);
  this->usage.OnSent("s2", 20);
  LONGS_EQUAL(1, this->recorder.begun.size());
  CHECK_EQUAL(10, this->recorder.begun.begin()->second);
}

TEST(AttemptUsage, ARefusedSendCountsAtTheNextOne) {
  this->usage.OnSent("s1", 10);
  this->usage.OnNotRun("s1");
  LONGS_EQUAL(0, this->recorder.begun.size());
  this->usage.OnSent("s2", 20);
  this->usage.OnSent("s3", 30);
  this->usage.OnNotRun("s2");
  LONGS_EQUAL(1, this->recorder.begun.size());
  CHECK_EQUAL(30, this->recorder.begun.begin()->second);
}

TEST(AttemptUsage, AStreamCountsAtItsFirstEvent) {
  this->usage.OnFirstEvent(10);
  this->usage.OnFirstEvent(20);
  this->usage.OnNotRun("s1");
  LONGS_EQUAL(1, this->recorder.begun.size());
}

TEST(AttemptUsage, NothingCountsWithoutAWorkspaceOrARecorder) {
  AttemptUsage without_workspace(&this->recorder, "");
  without_workspace.OnSent("s1", 10);
  without_workspace.OnFirstEvent(10);
  AttemptUsage without_recorder(nullptr, "a");
  without_recorder.OnSent("s1", 10);
  without_recorder.OnFirstEvent(10);
  LONGS_EQUAL(0, this->recorder.begun.size());
}

TEST_GROUP(UsageOfCalls) {
  GatewayFixture fixture;
  FakeUsageRecorder recorder;
  ReceivedResponse caller;
  // The first sends that servers refuse without running them.
  int refusals = 0;
  ScriptedResponse answer;

  void setup() override {
    this->fixture.environment.usage = &this->recorder;
    this->fixture.AddServer("s1", "app");
    this->fixture.AddServer("s2", "app");
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      if (this->refusals > 0) {
        --this->refusals;
        return GatewayFixture::NotRun(request);
      }
      return GatewayFixture::Respond(request, 200, this->answer.body);
    };
  }

  void Run(const std::string& target) {
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", "app.example"}, {"Id", "r1"}};
    const HostRoute* const route =
        this->fixture.configuration->routes.Find("app.example", target);
    const auto call = ForwardedCall::Start(
        this->fixture.environment, *route, request,
        std::make_shared<FakeResponder>(this->caller),
        [](const std::shared_ptr<ForwardedCall>&) {}, "a");
    CHECK_TRUE(this->fixture.runner.RunUntil([&] { return call->Ended(); }));
  }
};

TEST(UsageOfCalls, APlainCallCountsOnceAfterARefusal) {
  this->refusals = 1;
  this->Run("/app/x");
  LONGS_EQUAL(200, this->caller.status);
  LONGS_EQUAL(1, this->recorder.begun.size());
}

TEST(UsageOfCalls, ACallThatAllServersRefusedDoesNotCount) {
  this->refusals = 1'000;
  this->Run("/app/x");
  LONGS_EQUAL(503, this->caller.status);
  LONGS_EQUAL(0, this->recorder.begun.size());
}

TEST(UsageOfCalls, AStreamWithEventsCountsOnce) {
  this->answer.body = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  this->Run("/stream/x");
  LONGS_EQUAL(1, this->recorder.begun.size());
}

TEST(UsageOfCalls, AStreamWithoutAnEventDoesNotCount) {
  this->Run("/stream/x");
  LONGS_EQUAL(0, this->recorder.begun.size());
}

}  // namespace carobbank
