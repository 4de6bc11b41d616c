// Texts in progress find the next owner, and are given up when there is none.

#include "Services/Gateway/sample_output_transfer.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(SampleOutputTransfer) {
  GatewayFixture fixture;
  std::unique_ptr<OwnerDirectory> owners;
  std::unique_ptr<SampleOutputTransfer> handover;

  void setup() override {
    this->fixture.settings.peer_listen = "10.0.0.1:1";
    this->owners = std::make_unique<OwnerDirectory>(this->fixture.environment,
                                                    "group", "jobs");
    this->handover = std::make_unique<SampleOutputTransfer>(
        this->fixture.environment, *this->owners);
  }
  void teardown() override {
    this->handover.reset();
    this->owners.reset();
  }

  static std::vector<SampleOutput> Texts() {
    SampleOutput text;
    text.sample_id = "s";
    text.text = "e1\ne2";
    text.events = 2;
    text.last_event_id = "2";
    text.versions = {3, 4};
    return {text};
  }
  void SetOwner(const std::string& address) {
    this->fixture.log.owners = {{{"jobs", 5}, "i@" + address + "#100"}};
  }
};

TEST(SampleOutputTransfer, ATextSurvivesItsCodec) {
  const auto texts = DecodeSampleOutputs(EncodeSampleOutputs(Texts()));
  LONGS_EQUAL(1, texts->size());
  STRCMP_EQUAL("e1\ne2", texts->front().text.c_str());
  LONGS_EQUAL(2, texts->front().events);
  LONGS_EQUAL(2, texts->front().versions.size());
  CHECK_FALSE(texts->front().complete);
  CHECK_FALSE(DecodeSampleOutputs("{}").has_value());
  CHECK_FALSE(DecodeSampleOutputs("[").has_value());
  LONGS_EQUAL(0, DecodeSampleOutputs(R"({"texts":[{"sample":1},7]})")->size());
}

TEST(SampleOutputTransfer, TheNextOwnerIsWaitedFor) {
  // Still this instance; then one that has not learned of it yet.
  this->SetOwner("10.0.0.1:1");
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse answer;
    answer.status = this->fixture.client.seen.size() == 1 ? 421 : 200;
    STRCMP_EQUAL("http://10.0.0.2:1/peer/texts?partition=5",
                 request.url.c_str());
    return answer;
  };
  this->handover->Send(5, Texts());
  this->fixture.runner.RunFor(Milliseconds(250));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->SetOwner("10.0.0.2:1");
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->handover->Idle(); }));
  LONGS_EQUAL(2, this->fixture.client.seen.size());
}

TEST(SampleOutputTransfer, WithoutAnOwnerTheTextsAreGivenUp) {
  this->fixture.log.faults.outage = true;
  this->handover->Send(5, Texts());
  CHECK_FALSE(this->handover->Idle());
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->handover->Idle(); }));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(SampleOutputTransfer, NothingIsSentWithoutTexts) {
  this->handover->Send(5, {});
  CHECK_TRUE(this->handover->Idle());
}

}  // namespace carobbank
