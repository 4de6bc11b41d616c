// Guards against loads of engines that other owners never hear of, and against
// malformed messages of peers.

#include "Services/Gateway/weight_loads.h"
#include "Services/Gateway/owner_directory.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(WeightLoads) {
  GatewayFixture fixture;
  std::unique_ptr<OwnerDirectory> owners;
  std::unique_ptr<WeightLoads> loads;
  int ended = 0;

  void setup() override {
    this->fixture.AddServer("a", "llm", 3);
    this->owners = std::make_unique<OwnerDirectory>(this->fixture.environment,
                                                    "group", "jobs");
    this->loads = std::make_unique<WeightLoads>(
        this->fixture.environment, *this->owners, [this] { ++this->ended; });
  }
  void teardown() override {
    this->loads.reset();
    this->owners.reset();
  }
  bool IsLoading() {
    return this->fixture.fleet.Find("a")->IsLoading(
        "m", this->fixture.clock.BootNow());
  }
  HttpRequest MessageOf(std::string body) {
    HttpRequest request;
    request.body = std::move(body);
    return request;
  }
};

TEST(WeightLoads, ALoadIsNotKnownAtThePeerThatHearsOfIt) {
  const WeightLoad begun{"a", "m", 4, Milliseconds(5'000)};
  LONGS_EQUAL(200, this->loads
                       ->HandlePeer(this->MessageOf(EncodeWeightLoads(
                           std::span<const WeightLoad>(&begun, 1))))
                       .status);
  CHECK_TRUE(this->IsLoading());
  const WeightLoad over{"a", "m", 4, Milliseconds(0)};
  this->loads->HandlePeer(this->MessageOf(
      EncodeWeightLoads(std::span<const WeightLoad>(&over, 1))));
  CHECK_FALSE(this->IsLoading());
  LONGS_EQUAL(1, this->ended);
}

TEST(WeightLoads, AServerStaysLoadingThoughItServesTheVersion) {
  this->loads->Announce({"a", "m", 4, Milliseconds(5'000)});
  CHECK_TRUE(this->IsLoading());
  this->fixture.fleet.ObserveVersion("a", "m", 4);
  CHECK_FALSE(this->IsLoading());
}

TEST(WeightLoads, AMalformedMessageIsApplied) {
  LONGS_EQUAL(400, this->loads->HandlePeer(this->MessageOf("[")).status);
  LONGS_EQUAL(400, this->loads->HandlePeer(this->MessageOf("{}")).status);
  LONGS_EQUAL(200,
              this->loads
                  ->HandlePeer(this->MessageOf(
                      R"({"loads":[1,{"server":"a"},{"server":"a","model":"m",)"
                      R"("version":4,"remaining_ms":"soon"}]})"))
                  .status);
  CHECK_FALSE(this->IsLoading());
}

TEST(WeightLoads, APeerAnnouncesALoadWithoutEnd) {
  const WeightLoad endless{"a", "m", 4, Milliseconds(1'000'000'000)};
  const auto decoded = DecodeWeightLoads(
      EncodeWeightLoads(std::span<const WeightLoad>(&endless, 1)));
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->front().remaining <= Milliseconds(10'000));
}

}  // namespace carobbank
