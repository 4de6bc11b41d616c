// Guards against a received configuration that goes back to an older one after
// a stale or invalid response, and against an engine that stays below the
// announced version after a lost order, a lost response or an outage.

#include "LibContract/contract.h"
#include "Sidecar/configuration_poll.h"
#include "Sidecar/crash_reporter.h"
#include "Sidecar/engine_upgrader.h"
#include "Sidecar/instance_watch.h"
#include "Support/fake_engine_control.h"
#include "Support/fake_instance_list.h"
#include "Support/fake_log.h"
#include "Support/manual_clock.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::string_view kTokenDigest =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

std::string DocumentText(std::string_view swap, int share) {
  return "name: s\nteam: t\nkind: model\npool: pool\nmodel: m\n"
         "class: training\nshare: " +
         std::to_string(share) + "\nswap: " + std::string(swap) +
         "\ncallers: [{name: c, token_sha256: " + std::string(kTokenDigest) +
         "}]\n";
}

// The response of an entry that has applied `records` documents of service s.
Json::Value EntryResponse(int records, std::string_view swap = "interrupt") {
  ConfigurationFold fold;
  for (int offset = 0; offset < records; ++offset) {
    const ConfigurationEntry entry =
        PublishEntry{"s", offset - 1, DocumentText(swap, offset + 1), "ana",
                     "p" + std::to_string(offset)};
    fold.Apply(offset, 1'000, WriteConfigurationRecord({&entry, 1}));
  }
  Json::Value response = ConfigurationExportToJson(fold.Export());
  response["fingerprint"] = std::to_string(records);
  response["quarantine"] = Json::arrayValue;
  response["versions"]["m"] = records;
  return response;
}

struct PollFixture {
  PollFixture() {
    this->poll.SetEntries({{"e1", "1"}, {"e2", "2"}, {"e3", "3"}});
  }

  void Respond(std::size_t call, const Outcome<Json::Value>& response) {
    // The callback may make further calls, which reallocates `calls`.
    const auto callback = this->peers.calls.at(call).callback;
    callback(response);
  }

  FakeTimers timers;
  FakePeers peers;
  int changes = 0;
  ConfigurationPoll poll{this->timers, this->peers, "server-1", "m",
                         [this] { ++this->changes; }};
};

Error Unreachable() {
  return Error{ErrorKind::kUnavailable, "down", "ask again"};
}

}  // namespace

TEST_GROUP(ControlParts){};

TEST(ControlParts, TwoEntriesArePolledAtATime) {
  PollFixture fixture;
  LONGS_EQUAL(2, fixture.peers.calls.size());
  CHECK_TRUE(fixture.peers.calls[0].address != fixture.peers.calls[1].address);
}

TEST(ControlParts, TheConfigurationNeverGoesBack) {
  PollFixture fixture;
  fixture.Respond(0, EntryResponse(3));
  LONGS_EQUAL(2, fixture.poll.Received().state->offset);
  fixture.Respond(1, EntryResponse(1));
  LONGS_EQUAL(2, fixture.poll.Received().state->offset);
  LONGS_EQUAL(3, *fixture.poll.Received().version);
  LONGS_EQUAL(1, fixture.changes);
}

TEST(ControlParts, InvalidResponsesFromAnEntryChangeNothing) {
  Json::Value damaged = EntryResponse(3);
  damaged["digest"] = "0";
  Json::Value mistyped = EntryResponse(3);
  mistyped["documents"] = "none";
  for (const Json::Value& response :
       {damaged, mistyped, Json::Value(7), Json::Value(Json::arrayValue)}) {
    PollFixture fixture;
    fixture.Respond(0, response);
    CHECK_TRUE(fixture.poll.Received().state == nullptr);
    LONGS_EQUAL(1, fixture.poll.Malformed());
    fixture.timers.RunAll();
    LONGS_EQUAL(3, fixture.peers.calls.size());
  }
}

TEST(ControlParts, AnEntryThatDoesNotRespondIsSkipped) {
  PollFixture fixture;
  const std::string unresponsive = fixture.peers.calls[0].address;
  fixture.Respond(0, Unreachable());
  fixture.timers.RunAll();
  fixture.Respond(2, Unreachable());
  fixture.timers.RunAll();
  LONGS_EQUAL(4, fixture.peers.calls.size());
  CHECK_TRUE(fixture.peers.calls[3].address != unresponsive);
}

TEST(ControlParts, TheNextPollStatesTheLastFingerprintAndOffset) {
  PollFixture fixture;
  fixture.Respond(0, EntryResponse(2));
  fixture.timers.RunAll();
  const Json::Value& parameters = fixture.peers.calls.at(2).parameters;
  STRCMP_EQUAL("2", parameters["seen"].asCString());
  LONGS_EQUAL(1, parameters["after_offset"].asInt64());
}

TEST(ControlParts, EvidenceOfACrashWaitsForTheLog) {
  ManualClock clock;
  FakeTimers timers;
  FakeLog log(clock);
  std::vector<std::string> sent;
  CrashReporter reporter(timers, log, "server-1", 1,
                         [&sent](const CrashEvidence& evidence) {
                           sent.push_back(evidence.digests.front());
                         });
  log.faults.append_outage = true;
  reporter.Report({{"a"}, true});
  reporter.Report({{"b"}, true});
  timers.RunAll();
  LONGS_EQUAL(2, sent.size());
  STRCMP_EQUAL("a", sent[0].c_str());
  timers.RunAll();
  LONGS_EQUAL(2, sent.size());
  log.faults.append_outage = false;
  timers.RunAll();
  LONGS_EQUAL(0, reporter.Waiting());
  // The log is enough while it responds.
  reporter.Report({{"c"}, true});
  timers.RunAll();
  LONGS_EQUAL(2, sent.size());
}

TEST(ControlParts, TheInstanceListStatesEntriesPoolAndLeaving) {
  FakeTimers timers;
  FakeInstanceList list;
  InstanceListView seen;
  int changes = 0;
  InstanceWatch watch(timers, list, "server-1", "pool",
                      [&](const InstanceListView& next) {
                        seen = next;
                        ++changes;
                      });
  list.outage = true;
  watch.Start();
  LONGS_EQUAL(0, changes);
  list.outage = false;
  list.Set(
      {"e1", InstanceRole::kEntry, InstanceState::kLive, "dc", "", "1", 1});
  list.Set(
      {"e2", InstanceRole::kEntry, InstanceState::kLeaving, "dc", "", "2", 1});
  for (const char* id : {"server-1", "server-2"}) {
    list.Set({id, InstanceRole::kBackendServer, InstanceState::kLive, "dc",
              "pool", "3", 1});
  }
  timers.RunAll();
  LONGS_EQUAL(1, seen.entries.size());
  LONGS_EQUAL(2, seen.pool.size());
  CHECK_FALSE(seen.leaving);
  timers.RunAll();
  LONGS_EQUAL(1, changes);
  list.SetState("server-1", InstanceState::kLeaving);
  timers.RunAll();
  CHECK_TRUE(seen.leaving);
  list.outage = true;
  timers.RunAll();
  CHECK_TRUE(seen.leaving);
}

TEST(ControlParts, TheMostCarefulSwapOfTheDocumentsIsUsed) {
  struct Case {
    const char* swap;
    SwapMode mode;
    SwapPace pace;
  };
  const Case cases[] = {
      {"interrupt", SwapMode::kInterrupt, SwapPace::kAtOnce},
      {"wait", SwapMode::kWait, SwapPace::kAtOnce},
      {"rolling", SwapMode::kWait, SwapPace::kRolling},
  };
  for (const Case& row : cases) {
    PollFixture fixture;
    fixture.Respond(0, EntryResponse(1, row.swap));
    const ConfigurationState& state = *fixture.poll.Received().state;
    const SwapRules rules = SwapRulesOf(state, "pool", "m");
    CHECK_TRUE(rules.mode == row.mode);
    CHECK_TRUE(rules.plan.pace == row.pace);
    CHECK_TRUE(SwapRulesOf(state, "other", "m").mode == SwapMode::kInterrupt);
  }
}

TEST(ControlParts, TheEngineReachesTheTargetVersionDespiteFaults) {
  struct Case {
    const char* name;
    void (*fault)(FakeEngineControl&);
    // Orders that the engine accepted until it reached the target version.
    std::size_t orders;
  };
  const Case cases[] = {
      {"none", [](FakeEngineControl&) {}, 1},
      {"lost response",
       [](FakeEngineControl& engine) { engine.lost_answers = 1; }, 1},
      {"lost order",
       [](FakeEngineControl& engine) { engine.lost_requests = 1; }, 1},
      {"outage", [](FakeEngineControl& engine) { engine.outage = true; }, 1},
  };
  for (const Case& row : cases) {
    ManualClock clock;
    FakeEngineControl engine;
    EventTimeline timeline(clock, TimelineOptions());
    MetricRegistry registry(clock);
    engine.state.version = 1;
    EngineUpgrader upgrader(clock, engine, timeline, registry, "server-1", "m",
                            [] {});
    OrderAuthority authority;
    authority.fencing_token = 3;
    upgrader.SetAuthority(authority);
    upgrader.SetTarget(2, SwapRules(), {"server-1"});
    row.fault(engine);
    for (int round = 0; round < 40; ++round) {
      upgrader.OnReport(engine.state);
      clock.Advance(Milliseconds(250));
      engine.FinishOrder();
      engine.outage = false;
    }
    CHECK_TRUE_TEXT(engine.state.version == 2, row.name);
    CHECK_TRUE_TEXT(upgrader.State() == OrderState::kConfirmed, row.name);
    LONGS_EQUAL(row.orders, engine.taken_orders.size());
  }
}

}  // namespace carobbank
