// Guards against a gateway that keeps job partitions although only it has lost
// the log, and against one that releases them although no peer reaches the log
// either.

#include "Services/Gateway/peer_state_poller.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

enum class Peer { kReachesLog, kLogUnreachable, kUnresponsive };

}  // namespace

TEST_GROUP(PeerStatePoller) {
  GatewayFixture fixture;
  std::vector<Peer> peers;
  std::unique_ptr<PeerStatePoller> poller;
  bool wants_records = false;
  std::size_t records_received = 0;
  // Of this gateway's configuration; nothing if it wants no newer one.
  std::optional<std::uint64_t> configuration_offset;
  // Of the configurations that peers have.
  std::uint64_t peers_offset = 7;
  std::vector<std::uint64_t> newer_configurations;
  std::vector<bool> cut_off_changes;

  void Start(std::vector<Peer> responses) {
    this->peers = std::move(responses);
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      return this->Respond(request);
    };
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < this->peers.size(); ++i) {
      addresses.push_back(std::to_string(i) + ":1");
    }
    PeerStatePollerHandlers handlers;
    handlers.on_cut_off_changed = [this](bool cut_off) {
      this->cut_off_changes.push_back(cut_off);
    };
    handlers.on_records = [this](const PeerState& state) {
      this->records_received += state.operator_records.size();
      this->wants_records = false;
    };
    handlers.wants_records = [this] { return this->wants_records; };
    handlers.configuration_offset = [this] {
      return this->configuration_offset;
    };
    handlers.on_newer_configuration = [this](const KeyedLogRecord& record) {
      this->newer_configurations.push_back(record.offset);
      this->configuration_offset = record.offset;
    };
    this->poller = std::make_unique<PeerStatePoller>(
        this->fixture.environment, addresses, std::move(handlers));
    this->poller->SetLogUnreachable(true);
  }

  ScriptedResponse Respond(const HttpClientRequest& request) {
    const auto index =
        static_cast<std::size_t>(request.url[sizeof("http://") - 1] - '0');
    ScriptedResponse response;
    if (this->peers[index] == Peer::kUnresponsive) {
      response.ending = ScriptedResponse::Ending::kNotSent;
      return response;
    }
    PeerState state;
    state.reaches_log = this->peers[index] == Peer::kReachesLog;
    // Sent whatever its offset: the receiver compares, too.
    if (request.url.find('?') != std::string::npos) {
      state.operator_records = {{this->peers_offset, {"config", "text"}}};
    }
    response.body = EncodePeerState(state);
    return response;
  }

  void RunRounds(std::size_t rounds) {
    const std::size_t wanted = rounds * this->peers.size();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&] { return this->fixture.client.seen.size() >= wanted; }));
    this->fixture.runner.RunFor(Milliseconds(20));
  }
};

TEST(PeerStatePoller, TwoRoundsOfResponsesDecideWhetherItIsCutOff) {
  const struct {
    const char* name;
    std::vector<Peer> peers;
    bool cut_off;
  } cases[] = {
      {"one reaches the log", {Peer::kLogUnreachable, Peer::kReachesLog}, true},
      {"no peer reaches it",
       {Peer::kLogUnreachable, Peer::kLogUnreachable},
       false},
      {"one can't reach it, one is down",
       {Peer::kLogUnreachable, Peer::kUnresponsive},
       false},
      {"no peer responds", {Peer::kUnresponsive, Peer::kUnresponsive}, true},
  };
  for (const auto& example : cases) {
    this->fixture.client.seen.clear();
    this->Start(example.peers);
    this->RunRounds(1);
    CHECK_FALSE_TEXT(this->poller->CutOff(), example.name);
    this->RunRounds(2);
    CHECK_EQUAL_TEXT(example.cut_off, this->poller->CutOff(), example.name);
  }
}

TEST(PeerStatePoller, AReachableLogEndsTheCutOffAndThePolling) {
  this->Start({Peer::kReachesLog});
  this->RunRounds(2);
  this->poller->SetLogUnreachable(false);
  CHECK_FALSE(this->poller->CutOff());
  LONGS_EQUAL(2, this->cut_off_changes.size());
  const std::size_t polled = this->fixture.client.seen.size();
  this->fixture.runner.RunFor(Milliseconds(700));
  LONGS_EQUAL(polled, this->fixture.client.seen.size());
}

TEST(PeerStatePoller, AGatewayWithoutAConfigurationReceivesAPeersRecords) {
  this->wants_records = true;
  this->Start({Peer::kLogUnreachable, Peer::kLogUnreachable});
  this->RunRounds(1);
  LONGS_EQUAL(1, this->records_received);
}

// Guards against a gateway that keeps refusing a key because only it has lost
// the log, and against one that returns to an older configuration.
TEST(PeerStatePoller, OnlyANewerConfigurationOfAPeerIsReceivedAndOnce) {
  this->configuration_offset = 6;
  this->Start({Peer::kReachesLog, Peer::kReachesLog});
  this->RunRounds(1);
  CHECK_TRUE(
      this->fixture.client.seen[0].url.ends_with("?configuration_after=6"));
  this->RunRounds(2);
  LONGS_EQUAL(1, this->newer_configurations.size());
  this->peers_offset = 5;
  this->RunRounds(3);
  LONGS_EQUAL(1, this->newer_configurations.size());
  this->peers_offset = 9;
  this->RunRounds(4);
  LONGS_EQUAL(2, this->newer_configurations.size());
  LONGS_EQUAL(9, this->newer_configurations[1]);
}

// Guards against a gateway that has started after a configuration with errors
// was published, and has none for as long as it reaches the log.
TEST(PeerStatePoller, ConfigurationsAreRequestedWhileTheLogIsReachable) {
  this->Start({Peer::kReachesLog, Peer::kUnresponsive});
  this->poller->SetLogUnreachable(false);
  this->fixture.client.seen.clear();
  this->poller->RequestConfigurations();
  this->RunRounds(1);
  LONGS_EQUAL(1, this->newer_configurations.size());
  LONGS_EQUAL(7, this->newer_configurations[0]);
  LONGS_EQUAL(0, this->records_received);
  LONGS_EQUAL(0, this->cut_off_changes.size());
}

TEST(PeerStatePoller, AGatewayWithoutWorkspacesRequestsNoConfiguration) {
  this->Start({Peer::kReachesLog});
  this->RunRounds(2);
  CHECK_TRUE(this->fixture.client.seen[1].url.ends_with("/peer/state"));
  LONGS_EQUAL(0, this->newer_configurations.size());
}

TEST(PeerStatePoller,
     AnEncodedStateDecodesToTheSameStateAndMalformedOnesAreRejected) {
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
