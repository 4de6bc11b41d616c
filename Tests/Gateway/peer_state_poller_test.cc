// What a gateway without the log concludes from its peers' answers.

#include "Services/Gateway/peer_state_poller.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

enum class Peer { kReaches, kLost, kSilent };

}  // namespace

TEST_GROUP(PeerStatePoller) {
  GatewayFixture fixture;
  std::vector<Peer> peers;
  std::unique_ptr<PeerStatePoller> exchange;
  bool wants_records = false;
  std::size_t learned = 0;
  std::vector<bool> standings;

  void Start(std::vector<Peer> answers) {
    this->peers = std::move(answers);
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      return this->Answer(request);
    };
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < this->peers.size(); ++i) {
      addresses.push_back(std::to_string(i) + ":1");
    }
    PeerStatePollerHandlers handlers;
    handlers.on_cut_off_changed = [this](bool cut_off) {
      this->standings.push_back(cut_off);
    };
    handlers.on_records = [this](const PeerState& state) {
      this->learned += state.operator_records.size();
      this->wants_records = false;
    };
    handlers.wants_records = [this] { return this->wants_records; };
    this->exchange = std::make_unique<PeerStatePoller>(
        this->fixture.environment, addresses, std::move(handlers));
    this->exchange->SetLogUnreachable(true);
  }

  ScriptedResponse Answer(const HttpClientRequest& request) {
    const auto index =
        static_cast<std::size_t>(request.url[sizeof("http://") - 1] - '0');
    ScriptedResponse answer;
    if (this->peers[index] == Peer::kSilent) {
      answer.ending = ScriptedResponse::Ending::kNotSent;
      return answer;
    }
    PeerState state;
    state.reaches_log = this->peers[index] == Peer::kReaches;
    if (request.url.ends_with("records=1")) {
      state.operator_records = {{7, {"config", "text"}}};
    }
    answer.body = EncodePeerState(state);
    return answer;
  }

  void RunRounds(std::size_t rounds) {
    const std::size_t wanted = rounds * this->peers.size();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&] { return this->fixture.client.seen.size() >= wanted; }));
    this->fixture.runner.RunFor(Milliseconds(20));
  }
};

TEST(PeerStatePoller, AnswersOfTwoRoundsDecide) {
  const struct {
    const char* name;
    std::vector<Peer> peers;
    bool cut_off;
  } cases[] = {
      {"one reaches the log", {Peer::kLost, Peer::kReaches}, true},
      {"nobody reaches it", {Peer::kLost, Peer::kLost}, false},
      {"one has lost it, one is down", {Peer::kLost, Peer::kSilent}, false},
      {"nobody answers", {Peer::kSilent, Peer::kSilent}, true},
  };
  for (const auto& example : cases) {
    this->fixture.client.seen.clear();
    this->Start(example.peers);
    this->RunRounds(1);
    CHECK_FALSE_TEXT(this->exchange->CutOff(), example.name);
    this->RunRounds(2);
    CHECK_EQUAL_TEXT(example.cut_off, this->exchange->CutOff(), example.name);
  }
}

TEST(PeerStatePoller, TheLogsReturnEndsTheStandingAndTheQuestions) {
  this->Start({Peer::kReaches});
  this->RunRounds(2);
  this->exchange->SetLogUnreachable(false);
  CHECK_FALSE(this->exchange->CutOff());
  LONGS_EQUAL(2, this->standings.size());
  const std::size_t asked = this->fixture.client.seen.size();
  this->fixture.runner.RunFor(Milliseconds(700));
  LONGS_EQUAL(asked, this->fixture.client.seen.size());
}

TEST(PeerStatePoller, OneThatKnowsNothingTakesAPeersRecords) {
  this->wants_records = true;
  this->Start({Peer::kLost, Peer::kLost});
  this->RunRounds(1);
  LONGS_EQUAL(1, this->learned);
}

TEST(PeerStatePoller, AStateSurvivesItsEncodingAndOthersAreRefused) {
  PeerState state;
  state.reaches_log = true;
  state.server_records = {{3, {"i-1", std::string("\0x\n", 3)}}};
  const auto decoded = DecodePeerState(EncodePeerState(state));
  CHECK_TRUE(decoded->reaches_log);
  LONGS_EQUAL(3, decoded->server_records[0].offset);
  CHECK_TRUE(decoded->server_records[0].record.value ==
             std::string("\0x\n", 3));
  for (const char* text : {"", "[]", "{}", "{\"reaches_log\":1}"}) {
    CHECK_FALSE(DecodePeerState(text).has_value());
  }
}

}  // namespace carobbank
