// Guards against two instances that order engines at the same time, and against
// an order that is repeated after a lost response: the order lease, its fencing
// token, and the preconditions of an order.

#include "Services/Gateway/fleet_upgrader.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kLease{900};

}  // namespace

TEST_GROUP(FleetUpgrader) {
  GatewayFixture fixture;
  std::unique_ptr<FleetUpgrader> upgrader;
  // State of the fake engine.
  std::int64_t version = 1;
  int orders_accepted = 0;
  std::vector<std::string> orders;
  // Number of orders that the fake engine carries out without a complete
  // response.
  int orders_without_response = 0;
  int next_status = 0;
  // The fake engine says in its responses that it leaves.
  bool leaving = false;

  void setup() override {
    this->fixture.settings.order_lease_ms = kLease.count();
    this->fixture.AddServer("a", "llm", 1);
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      return this->Serve(request);
    };
    this->upgrader = std::make_unique<FleetUpgrader>(this->fixture.environment,
                                                     LeasePartition());
  }
  void teardown() override {
    this->upgrader.reset();
  }

  ScriptedResponse Serve(const HttpClientRequest& request) {
    ScriptedResponse response;
    if (request.url.ends_with("/status")) {
      response.body = std::to_string(this->version) + " " +
                      std::to_string(this->orders_accepted);
      if (this->leaving) {
        response.headers = {{"Leaving", "1"}};
      }
      return response;
    }
    this->orders.push_back(request.body);
    if (this->next_status != 0) {
      response.status = std::exchange(this->next_status, 0);
      return response;
    }
    response.status = 202;
    this->version = std::strtoll(request.body.c_str(), nullptr, 10);
    ++this->orders_accepted;
    if (this->orders_without_response > 0) {
      --this->orders_without_response;
      response.ending = ScriptedResponse::Ending::kTruncated;
    }
    return response;
  }

  bool RunUntilVersion(std::int64_t wanted) {
    return this->fixture.runner.RunUntil([this, wanted] {
      return this->fixture.fleet.Find("a")->VersionOf("m") >= wanted;
    });
  }
};

TEST(FleetUpgrader, ALoadIsAnnouncedAfterItsOrderOrNeverEnds) {
  std::vector<WeightLoad> loads;
  std::vector<std::size_t> orders_before;
  this->upgrader->SetLoadListener([&](const WeightLoad& load) {
    loads.push_back(load);
    orders_before.push_back(this->orders.size());
  });
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  CHECK_TRUE(
      this->fixture.runner.RunUntil([&loads] { return loads.size() == 2; }));
  STRCMP_EQUAL("a", loads[0].server_id.c_str());
  LONGS_EQUAL(3, loads[0].version);
  CHECK_TRUE(loads[0].remaining.count() > 0);
  LONGS_EQUAL(0, orders_before[0]);
  LONGS_EQUAL(0, loads[1].remaining.count());
}

TEST(FleetUpgrader, AnAnnouncedVersionIsOrderedOnceWithTheLeasesToken) {
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  LONGS_EQUAL(1, this->orders.size());
  STRCMP_EQUAL("3 token 1 after 0", this->orders[0].c_str());
}

TEST(FleetUpgrader, AnEngineThatLeavesIsOrderedToLoadAVersion) {
  this->leaving = true;
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->fixture.fleet.Find("a")->Leaves(); }));
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->orders.size());
}

TEST(FleetUpgrader, WithoutElectionNoLeaseIsAcquiredAndNoOrderSent) {
  this->upgrader->OnVersionAnnounced({"m", 3});
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->orders.size());
  LONGS_EQUAL(0, this->fixture.log.Records(LeasePartition()).size());
}

TEST(FleetUpgrader, AnOrderWithoutAResponseIsNotRepeatedWhenItTookEffect) {
  this->orders_without_response = 1;
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  LONGS_EQUAL(1, this->orders.size());
}

TEST(FleetUpgrader,
     ANewHolderWaitsForThePreviousLeaseToExpireAndUsesAHigherToken) {
  this->fixture.log.Put(LeasePartition(), {{"holder", "gateway-0"}});
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  this->fixture.runner.RunFor(kLease / 3);
  LONGS_EQUAL(0, this->orders.size());
  CHECK_TRUE(this->RunUntilVersion(3));
  STRCMP_EQUAL("3 token 2 after 0", this->orders[0].c_str());
}

TEST(FleetUpgrader, AHolderRenewsItsLeaseWithTheSameToken) {
  this->upgrader->SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->fixture.log.Records(LeasePartition()).size() == 3;
  }));
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  STRCMP_EQUAL("3 token 1 after 0", this->orders[0].c_str());
}

TEST(FleetUpgrader, AHolderKeepsItsLeaseWhenAnotherInstanceIsElected) {
  this->upgrader->SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->upgrader->HoldsLease(); }));
  this->upgrader->SetElected(false);
  this->fixture.runner.RunFor(2 * kLease);
  CHECK_TRUE(this->upgrader->HoldsLease());
}

TEST(FleetUpgrader, WithoutRenewalsAHolderStopsOrderingBeforeItsLeaseExpires) {
  this->upgrader->SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->upgrader->HoldsLease(); }));
  this->fixture.log.faults.outage = true;
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return !this->upgrader->HoldsLease(); }));
  this->upgrader->OnVersionAnnounced({"m", 3});
  this->fixture.runner.RunFor(kLease);
  LONGS_EQUAL(0, this->orders.size());
}

TEST(FleetUpgrader, AHolderThatShutsDownStopsRenewing) {
  this->upgrader->SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->upgrader->HoldsLease(); }));
  this->upgrader->Shutdown();
  CHECK_FALSE(this->upgrader->HoldsLease());
  const std::size_t lease_records =
      this->fixture.log.Records(LeasePartition()).size();
  this->fixture.runner.RunFor(kLease);
  LONGS_EQUAL(lease_records,
              this->fixture.log.Records(LeasePartition()).size());
}

TEST(FleetUpgrader, ALeaseOfAnotherInstanceEndsTheOwnOne) {
  this->upgrader->SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->upgrader->HoldsLease(); }));
  this->fixture.log.Put(LeasePartition(), {{"holder", "gateway-2"}});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return !this->upgrader->HoldsLease(); }));
  this->upgrader->OnVersionAnnounced({"m", 3});
  this->fixture.runner.RunFor(kLease / 3);
  LONGS_EQUAL(0, this->orders.size());
}

TEST(FleetUpgrader, AFencedHolderAcquiresANewLeaseBeforeItOrders) {
  this->next_status = 412;
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  LONGS_EQUAL(2, this->orders.size());
  STRCMP_EQUAL("3 token 1 after 0", this->orders[0].c_str());
  CHECK_FALSE(this->orders[1] == this->orders[0]);
}

TEST(FleetUpgrader, ABusyServerIsOrderedLater) {
  this->next_status = 409;
  this->upgrader->SetElected(true);
  this->upgrader->OnVersionAnnounced({"m", 3});
  CHECK_TRUE(this->RunUntilVersion(3));
  LONGS_EQUAL(2, this->orders.size());
}

}  // namespace carobbank
