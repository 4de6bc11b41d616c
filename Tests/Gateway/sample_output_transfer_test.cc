// Tests of transferring partial outputs to a partition's next owner: retries
// until the next owner accepts them, and the end of a transfer without an
// owner.

#include "Services/Gateway/sample_output_transfer.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(SampleOutputTransfer) {
  GatewayFixture fixture;
  std::unique_ptr<OwnerDirectory> owners;
  std::unique_ptr<SampleOutputTransfer> transfer;

  void setup() override {
    this->fixture.settings.peer_listen = "10.0.0.1:1";
    this->owners = std::make_unique<OwnerDirectory>(this->fixture.environment,
                                                    "group", "jobs");
    this->transfer = std::make_unique<SampleOutputTransfer>(
        this->fixture.environment, *this->owners);
  }
  void teardown() override {
    this->transfer.reset();
    this->owners.reset();
  }

  static std::vector<SampleOutput> Outputs() {
    SampleOutput output;
    output.sample_id = "s";
    output.text = "e1\ne2";
    output.events = 2;
    output.last_event_id = "2";
    output.versions = {3, 4};
    return {output};
  }
  void SetOwner(const std::string& address) {
    this->fixture.log.owners = {{{"jobs", 5}, "i@" + address + "#100"}};
  }
};

TEST(SampleOutputTransfer, AnOutputIsTheSameAfterEncodingAndDecoding) {
  const auto outputs = DecodeSampleOutputs(EncodeSampleOutputs(Outputs()));
  LONGS_EQUAL(1, outputs->size());
  STRCMP_EQUAL("e1\ne2", outputs->front().text.c_str());
  LONGS_EQUAL(2, outputs->front().events);
  LONGS_EQUAL(2, outputs->front().versions.size());
  CHECK_FALSE(outputs->front().complete);
  CHECK_FALSE(DecodeSampleOutputs("{}").has_value());
  CHECK_FALSE(DecodeSampleOutputs("[").has_value());
  LONGS_EQUAL(0, DecodeSampleOutputs(R"({"texts":[{"sample":1},7]})")->size());
}

TEST(SampleOutputTransfer, ATransferIsRetriedUntilTheNextOwnerAcceptsIt) {
  // First the log still names this instance; then the next owner responds 421
  // once, because it has not received the partition yet.
  this->SetOwner("10.0.0.1:1");
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response;
    response.status = this->fixture.client.seen.size() == 1 ? 421 : 200;
    STRCMP_EQUAL("http://10.0.0.2:1/peer/texts?partition=5",
                 request.url.c_str());
    return response;
  };
  this->transfer->Send(5, Outputs());
  this->fixture.runner.RunFor(Milliseconds(250));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->SetOwner("10.0.0.2:1");
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->transfer->Idle(); }));
  LONGS_EQUAL(2, this->fixture.client.seen.size());
}

TEST(SampleOutputTransfer, ATransferWithoutANextOwnerTimesOut) {
  this->fixture.log.faults.outage = true;
  this->transfer->Send(5, Outputs());
  CHECK_FALSE(this->transfer->Idle());
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->transfer->Idle(); }));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(SampleOutputTransfer, NothingIsSentWithoutOutputs) {
  this->transfer->Send(5, {});
  CHECK_TRUE(this->transfer->Idle());
}

}  // namespace carobbank
