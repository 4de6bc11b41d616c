// Texts in progress find the next owner, and are given up when there is none.

#include "Services/Gateway/text_handover.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(TextHandover) {
  GatewayFixture fixture;
  std::unique_ptr<OwnerDirectory> owners;
  std::unique_ptr<TextHandover> handover;

  void setup() override {
    this->fixture.settings.peer_listen = "10.0.0.1:1";
    this->owners = std::make_unique<OwnerDirectory>(this->fixture.environment,
                                                    "group", "jobs");
    this->handover = std::make_unique<TextHandover>(this->fixture.environment,
                                                    *this->owners);
  }
  void teardown() override {
    this->handover.reset();
    this->owners.reset();
  }

  static std::vector<SampleText> Texts() {
    SampleText text;
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

TEST(TextHandover, ATextSurvivesItsCodec) {
  const auto texts = DecodeSampleTexts(EncodeSampleTexts(Texts()));
  LONGS_EQUAL(1, texts->size());
  STRCMP_EQUAL("e1\ne2", texts->front().text.c_str());
  LONGS_EQUAL(2, texts->front().events);
  LONGS_EQUAL(2, texts->front().versions.size());
  CHECK_FALSE(texts->front().whole);
  CHECK_FALSE(DecodeSampleTexts("{}").has_value());
  CHECK_FALSE(DecodeSampleTexts("[").has_value());
  LONGS_EQUAL(0, DecodeSampleTexts(R"({"texts":[{"sample":1},7]})")->size());
}

TEST(TextHandover, TheNextOwnerIsWaitedFor) {
  // Still this instance; then one that has not learned of it yet.
  this->SetOwner("10.0.0.1:1");
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedAnswer answer;
    answer.status = this->fixture.client.seen.size() == 1 ? 421 : 200;
    STRCMP_EQUAL("http://10.0.0.2:1/peer/texts?partition=5",
                 request.url.c_str());
    return answer;
  };
  this->handover->Give(5, Texts());
  this->fixture.runner.RunFor(Milliseconds(250));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->SetOwner("10.0.0.2:1");
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->handover->Idle(); }));
  LONGS_EQUAL(2, this->fixture.client.seen.size());
}

TEST(TextHandover, WithoutAnOwnerTheTextsAreGivenUp) {
  this->fixture.log.faults.outage = true;
  this->handover->Give(5, Texts());
  CHECK_FALSE(this->handover->Idle());
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->handover->Idle(); }));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(TextHandover, NothingIsSentWithoutTexts) {
  this->handover->Give(5, {});
  CHECK_TRUE(this->handover->Idle());
}

}  // namespace carobbank
