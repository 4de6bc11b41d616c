// Guards against numbers of servers that are ordered by a gateway without the
// lease, from the load of one gateway alone, again and again, or below what a
// holder before has ordered.

#include "Services/Gateway/server_scaler.h"
#include "Services/Gateway/load_publisher.h"
#include "duty_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kLease{700};

TopicPartition LoadsPartition() {
  return {"loads", 0};
}

}  // namespace

TEST_GROUP(ServerScaler) {
  GatewayFixture fixture;
  std::unique_ptr<DutyGateway> holder;
  std::unique_ptr<LoadPublisher> publisher;
  std::unique_ptr<ServerScaler> scaler;
  std::unique_ptr<FakeHttpClient> api;
  std::map<std::string, std::int64_t> unfinished_samples;
  // Bodies and tokens of the calls.
  std::vector<std::string> orders;
  std::vector<std::string> tokens;
  int next_status = 200;

  void setup() override {
    this->fixture.settings.order_lease_ms = kLease.count();
    auto traffic =
        std::make_shared<TrafficConfiguration>(*this->fixture.configuration);
    traffic->services["app"].scale = ScaleLimits{1, 6, Milliseconds(1'000)};
    this->fixture.configuration = traffic;
    this->fixture.AddServer("a1", "app");
    this->fixture.AddServer("a2", "app");
    this->fixture.AddServer("e1", "llm", 1);
    this->api = std::make_unique<FakeHttpClient>(this->fixture.runner.loop);
    this->api->answer = [this](const HttpClientRequest& request) {
      this->orders.push_back(request.body);
      this->tokens.emplace_back(*FindHeader(request.headers, "Token"));
      ScriptedResponse response;
      response.status = std::exchange(this->next_status, 200);
      return response;
    };
    this->Start();
  }
  void teardown() override {
    this->Stop();
  }

  void Start() {
    this->holder = std::make_unique<DutyGateway>(this->fixture, "gateway-1",
                                                 LeasePartition(), *this->api);
    this->publisher = std::make_unique<LoadPublisher>(this->holder->environment,
                                                      LoadsPartition());
    this->scaler = std::make_unique<ServerScaler>(
        this->holder->environment, this->holder->lease, this->holder->calls,
        LoadsPartition(), [this] { return this->unfinished_samples; });
  }
  void Stop() {
    this->scaler.reset();
    this->publisher.reset();
    this->holder.reset();
  }

  void BeginRequests(const std::string& server, int count) {
    for (int i = 0; i < count; ++i) {
      this->fixture.loads.Begin(server);
    }
  }
  bool RunUntilOrders(std::size_t count) {
    return this->fixture.runner.RunUntil(
        [this, count] { return this->orders.size() >= count; });
  }
};

// Servers of the fixture have 4 slots.
TEST(ServerScaler, TheLoadsOfAllGatewaysDetermineTheNumber) {
  this->holder->lease.SetElected(true);
  this->BeginRequests("a1", 4);
  this->fixture.log.Put(
      LoadsPartition(),
      {EncodeServiceLoads("gateway-2", {{{"app", "here"}, 8}})});
  CHECK_TRUE(this->RunUntilOrders(1));
  // The record of the other gateway may be read first: 8 / 0.8 / 4.
  CHECK_TRUE(this->orders[0] == "app/here=3" ||
             this->orders[0] == "app/here=4");
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->orders.back() == "app/here=4"; }));
}

TEST(ServerScaler, WaitingSamplesNeedServers) {
  this->unfinished_samples["app"] = 16;
  this->holder->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilOrders(1));
  STRCMP_EQUAL("app/here=5", this->orders[0].c_str());
}

TEST(ServerScaler, AnOrderIsRepeatedOnlyAfterAFailureOrAChangeOfTheHolder) {
  this->unfinished_samples["app"] = 16;
  this->next_status = 500;
  this->holder->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilOrders(2));
  this->fixture.runner.RunFor(Milliseconds(2'000));
  LONGS_EQUAL(2, this->orders.size());
  this->Stop();
  this->Start();
  this->holder->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilOrders(3));
  STRCMP_EQUAL("app/here=5", this->orders[2].c_str());
  CHECK_FALSE(this->tokens[2] == this->tokens[1]);
}

// The servers that a holder before ordered may still be booting.
TEST(ServerScaler, ANewHolderDoesNotOrderTheServersThatAreReady) {
  this->BeginRequests("a1", 1);
  this->holder->lease.SetElected(true);
  this->fixture.runner.RunFor(Milliseconds(4'000));
  LONGS_EQUAL(0, this->orders.size());
}

TEST(ServerScaler, WithoutTheLeaseOrLimitsNothingIsOrdered) {
  this->unfinished_samples = {{"app", 16}, {"llm", 100}};
  this->fixture.runner.RunFor(Milliseconds(1'500));
  LONGS_EQUAL(0, this->orders.size());
  this->holder->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilOrders(1));
  this->fixture.runner.RunFor(Milliseconds(1'500));
  LONGS_EQUAL(1, this->orders.size());
}

TEST(ServerScaler, AnIdleGatewayAppendsNoLoad) {
  this->fixture.runner.RunFor(Milliseconds(2'500));
  LONGS_EQUAL(0, this->fixture.log.Records(LoadsPartition()).size());
}

TEST(ServerScaler, AnUnchangedLoadIsNotAppendedEachTime) {
  this->BeginRequests("a1", 4);
  this->BeginRequests("e1", 4);
  this->fixture.runner.RunFor(Milliseconds(6'500));
  const auto& records = this->fixture.log.Records(LoadsPartition());
  LONGS_EQUAL(1, records.size());
  CHECK_TRUE(*DecodeServiceLoads(records[0].record.value) ==
             (ServiceLoads{{{"app", "here"}, 4}}));
}

}  // namespace carobbank
