// The gate under faults: every refusal true, every answer whole or ended by an
// explicit error.

#include "gate_harness.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(WorkGate){};

TEST(WorkGate, AnAnswerIsPassedOnWholeAndInOrder) {
  GateHarness harness;
  const auto answer = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  CHECK_FALSE(answer->whole);
  harness.EndWell(0, "a1");
  CHECK_TRUE(answer->whole);
  STRCMP_EQUAL((GateHarness::ChunkText("a1", 0, 7) +
                GateHarness::LastChunkText("a1") + "data: [DONE]\n\n")
                   .c_str(),
               answer->body.c_str());
  CHECK_TRUE(harness.gate.Idle());
}

TEST(WorkGate, OnlyTheAttemptHeaderReachesTheBackendServer) {
  GateHarness harness;
  harness.Send({});
  const HttpHeaders& headers = harness.Exchange(0).request.headers;
  CHECK_TRUE(FindHeader(headers, "X-Carobbank-Attempt").has_value());
  CHECK_TRUE(FindHeader(headers, "Accept").has_value());
  CHECK_FALSE(FindHeader(headers, "X-Carobbank-Service").has_value());
  CHECK_FALSE(FindHeader(headers, "X-Carobbank-Versions").has_value());
}

TEST(WorkGate, ASlowEntryPausesItsOwnExchangeOnly) {
  GateHarness harness;
  const auto slow = harness.Send({.attempt = "a1"});
  harness.Send({.attempt = "a2"});
  slow->slow = true;
  harness.Head(0);
  harness.Head(1);
  harness.Chunk(0, "a1", 0);
  harness.Chunk(1, "a2", 0);
  CHECK_TRUE(harness.Exchange(0).paused);
  CHECK_FALSE(harness.Exchange(1).paused);
  slow->Take();
  CHECK_FALSE(harness.Exchange(0).paused);
}

TEST(WorkGate, RefusalsBeforeTheQueue) {
  struct Case {
    const char* code;
    TestWork work;
    void (*arrange)(GateHarness&);
  };
  const auto nothing = [](GateHarness&) {};
  const Case cases[] = {
      {"bad_request", {.versions = "9-8"}, nothing},
      {"unknown_service", {.service = "nobody"}, nothing},
      {"no_version", {.versions = "8-"}, nothing},
      {"no_version", {.versions = "-6"}, nothing},
      {"deadline_exceeded", {.budget_ms = 0}, nothing},
      {"deadline_exceeded", {.deadline_ms = 1}, nothing},
      {"quarantined",
       {.digest = "bad"},
       [](GateHarness& harness) { harness.gate.Quarantine("bad"); }},
      {"quarantined",
       {.digest = "bad"},
       [](GateHarness& harness) {
         harness.snapshot.quarantine.insert("bad");
         harness.Apply();
       }},
      {"draining", {}, [](GateHarness& harness) { harness.gate.BeginDrain(); }},
      {"draining",
       {},
       [](GateHarness& harness) {
         harness.snapshot.leaving = true;
         harness.Apply();
       }},
      {"configuration_behind",
       {},
       [](GateHarness& harness) {
         harness.snapshot.configuration = nullptr;
         harness.Apply();
       }},
      {"no_version",
       {.versions = "7-"},
       [](GateHarness& harness) {
         harness.snapshot.engine.reset();
         harness.Apply();
       }},
      {"not_idle",
       {.alone = true},
       [](GateHarness& harness) { harness.Send({.attempt = "other"}); }},
      {"not_idle",
       {.duplicate = true},
       [](GateHarness& harness) {
         harness.Send({.attempt = "b1"});
         harness.Send({.attempt = "b2"});
       }},
  };
  for (const Case& row : cases) {
    GateHarness harness;
    row.arrange(harness);
    const std::size_t sent = harness.client.exchanges.size();
    const auto answer = harness.Send(row.work);
    STRCMP_EQUAL(row.code, answer->Code().c_str());
    CHECK_TRUE(answer->NotRun());
    LONGS_EQUAL(sent, harness.client.exchanges.size());
  }
}

TEST(WorkGate, WrongAnswersEndInAnExplicitError) {
  struct Case {
    const char* code;
    std::string bytes;
    TestWork work;
  };
  const Case cases[] = {
      {"crossed_answer", GateHarness::ChunkText("a2", 0, 7), {}},
      {"backend_failed", GateHarness::ChunkText("a1", 1, 7), {}},
      {"backend_failed",
       GateHarness::ChunkText("a1", 0, 7) + GateHarness::ChunkText("a1", 0, 7),
       {}},
      {"backend_failed",
       GateHarness::ChunkText("a1", 0, 7),
       {.resumed_tokens = 4}},
      {"version_out_of_bound",
       GateHarness::ChunkText("a1", 0, 8),
       {.versions = "6-7"}},
      {"backend_failed", "data: {\"id\": \"a1\"}\n\n", {}},
      {"backend_failed", "data: nonsense\n\n", {}},
      {"backend_failed", "data: [DONE]\n\n", {}},
  };
  for (const Case& row : cases) {
    GateHarness harness;
    const auto answer = harness.Send(row.work);
    harness.Head(0);
    harness.Body(0, row.bytes);
    STRCMP_EQUAL(row.code, answer->Code().c_str());
    CHECK_TRUE(answer->whole);
    CHECK_FALSE(answer->NotRun());
    CHECK_TRUE(answer->body.find("[DONE]") == std::string::npos);
    CHECK_TRUE(harness.Exchange(0).dropped);
    LONGS_EQUAL(1, harness.engine.cancelled_attempts.size());
    CHECK_TRUE(harness.gate.Idle());
  }
}

TEST(WorkGate, BrokenConnectionsAreToldFromCrashes) {
  struct Case {
    const char* code;
    SendState send_state;
    bool not_run;
    void (*fate)(FakeEngineControl&);
  };
  const Case cases[] = {
      {"backend_failed", SendState::kNotSent, true, [](FakeEngineControl&) {}},
      {"backend_failed", SendState::kMayHaveBeenSent, false,
       [](FakeEngineControl&) {}},
      {"backend_crashed", SendState::kMayHaveBeenSent, false,
       [](FakeEngineControl& engine) { engine.outage = true; }},
      {"backend_crashed", SendState::kMayHaveBeenSent, false,
       [](FakeEngineControl& engine) { engine.Restart(7); }},
  };
  for (const Case& row : cases) {
    GateHarness harness;
    const auto answer = harness.Send({.digest = "d"});
    row.fate(harness.engine);
    harness.Break(0, row.send_state);
    STRCMP_EQUAL(row.code, answer->Code().c_str());
    CHECK_EQUAL(row.not_run, answer->NotRun());
    const bool crashed = std::string(row.code) == "backend_crashed";
    LONGS_EQUAL(crashed ? 1 : 0, harness.crashed.size());
    CHECK_TRUE(harness.gate.Idle());
  }
}

TEST(WorkGate, ATruncatedAnswerEndsInAnErrorEvent) {
  GateHarness harness;
  const auto answer = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.Exchange(0).handlers.on_done();
  STRCMP_EQUAL("backend_failed", answer->Code().c_str());
  CHECK_TRUE(answer->body.find("event: error") != std::string::npos);
}

TEST(WorkGate, ASuspectRunsAloneAfterACrash) {
  GateHarness harness;
  harness.Send({.digest = "d"});
  harness.engine.Restart(7);
  harness.Break(0, SendState::kMayHaveBeenSent);
  harness.Send({.attempt = "a2"});
  STRCMP_EQUAL("not_idle",
               harness.Send({.attempt = "a3", .digest = "d"})->Code().c_str());
  harness.Head(1);
  harness.Chunk(1, "a2", 0);
  harness.EndWell(1, "a2");
  harness.Send({.attempt = "a4", .digest = "d"});
  harness.Send({.attempt = "a5"});
  LONGS_EQUAL(3, harness.client.exchanges.size());
}

TEST(WorkGate, ACrashBlamesAllThatRanOnce) {
  GateHarness harness;
  harness.Send({.attempt = "a1", .digest = "d1"});
  harness.Send({.attempt = "a2", .digest = "d2"});
  harness.Send({.attempt = "a3", .digest = "queued"});
  harness.engine.outage = true;
  harness.Break(0, SendState::kMayHaveBeenSent);
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crashed.size());
  LONGS_EQUAL(2, harness.crashed[0].digests.size());
  CHECK_TRUE(harness.crashed[0].lists_all_work);
}

TEST(WorkGate, ACrashBlamesWhatBrokeOffShortlyBefore) {
  GateHarness harness;
  harness.Send({.attempt = "a1", .digest = "fatal"});
  harness.Send({.attempt = "a2", .digest = "bystander"});
  harness.clock.Advance(Milliseconds(10));
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.clock.Advance(Milliseconds(100));
  harness.engine.outage = true;
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crashed.size());
  const std::vector<std::string>& digests = harness.crashed[0].digests;
  LONGS_EQUAL(2, digests.size());
  CHECK_TRUE(std::find(digests.begin(), digests.end(), "fatal") !=
             digests.end());
}

TEST(WorkGate, ACrashBlamesNothingThatEndedBeforeTheRunBegan) {
  GateHarness harness;
  harness.Send({.attempt = "a1", .digest = "bystander"});
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.Send({.attempt = "a2", .digest = "fatal", .alone = true});
  harness.clock.Advance(Milliseconds(50));
  harness.engine.outage = true;
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crashed.size());
  LONGS_EQUAL(1, harness.crashed[0].digests.size());
  STRCMP_EQUAL("fatal", harness.crashed[0].digests[0].c_str());
}

TEST(WorkGate, ACrashBlamesNothingThatEndedLongBeforeOrWell) {
  GateHarness harness;
  harness.Send({.attempt = "a1", .digest = "long ago"});
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.clock.Advance(Milliseconds(5'000));
  harness.Send({.attempt = "a2", .digest = "whole"});
  harness.Head(1);
  harness.Chunk(1, "a2", 0);
  harness.EndWell(1, "a2");
  harness.Send({.attempt = "a3", .digest = "fatal"});
  harness.engine.outage = true;
  harness.Break(2, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crashed.size());
  LONGS_EQUAL(1, harness.crashed[0].digests.size());
  STRCMP_EQUAL("fatal", harness.crashed[0].digests[0].c_str());
}

TEST(WorkGate, NothingStartsBesideAWorkThatRunsAlone) {
  GateHarness harness;
  harness.Send({.attempt = "a1", .alone = true});
  const auto waiting = harness.Send({.attempt = "a2"});
  LONGS_EQUAL(1, harness.client.exchanges.size());
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.EndWell(0, "a1");
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkGate, DrainRefusesTheQueueAndFinishesWhatRuns) {
  GateHarness harness(1);
  const auto running = harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2"});
  harness.gate.BeginDrain();
  STRCMP_EQUAL("draining", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
  CHECK_FALSE(running->whole);
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.EndWell(0, "a1");
  CHECK_TRUE(running->whole);
  STRCMP_EQUAL("", running->Code().c_str());
  CHECK_TRUE(harness.gate.Idle());
}

TEST(WorkGate, TheDrainDeadlineEndsInAnExplicitError) {
  GateHarness harness;
  const auto answer = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.gate.BeginDrain();
  harness.gate.EndDrain();
  STRCMP_EQUAL("draining", answer->Code().c_str());
  CHECK_FALSE(answer->NotRun());
  CHECK_TRUE(harness.gate.Idle());
}

TEST(WorkGate, LiveWorkTakesThePlaceOfTraining) {
  GateHarness harness(1);
  const auto training = harness.Send({.attempt = "a1"});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.Send({.service = "live", .attempt = "a2"});
  STRCMP_EQUAL("preempted", training->Code().c_str());
  CHECK_TRUE(training->body.starts_with(GateHarness::ChunkText("a1", 0, 7)));
  STRCMP_EQUAL("a1", harness.engine.cancelled_attempts.at(0).c_str());
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkGate, AWorkThatExpiresInTheQueueIsRefusedAtOnce) {
  GateHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2", .budget_ms = 500});
  CHECK_TRUE(harness.wake == harness.clock.Now() + Milliseconds(500));
  harness.clock.Advance(Milliseconds(500));
  harness.gate.Tick();
  STRCMP_EQUAL("deadline_exceeded", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkGate, AProcessThatWakesPastTheDeadlineSendsNothing) {
  GateHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2", .budget_ms = 500});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.clock.Advance(Milliseconds(60'000));
  // The first thing after the pause is the end of the running work.
  harness.EndWell(0, "a1");
  STRCMP_EQUAL("deadline_exceeded", queued->Code().c_str());
  LONGS_EQUAL(1, harness.client.exchanges.size());
}

TEST(WorkGate, AVersionPastTheBoundEndsQueuedAndRunningWork) {
  GateHarness harness(1);
  const auto running = harness.Send({.attempt = "a1", .versions = "6-7"});
  const auto queued = harness.Send({.attempt = "a2", .versions = "6-7"});
  harness.snapshot.engine->version = 8;
  harness.Apply();
  STRCMP_EQUAL("version_out_of_bound", running->Code().c_str());
  STRCMP_EQUAL("no_version", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkGate, AnEntryThatGoesAwayFreesThePlaceAndTheEngine) {
  GateHarness harness(1);
  const auto running = harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2"});
  harness.Send({.attempt = "a3"});
  queued->closed();
  running->closed();
  STRCMP_EQUAL("a1", harness.engine.cancelled_attempts.at(0).c_str());
  LONGS_EQUAL(2, harness.client.exchanges.size());
  const auto attempt =
      FindHeader(harness.Exchange(1).request.headers, "X-Carobbank-Attempt");
  CHECK_TRUE(attempt == "a3");
}

TEST(WorkGate, CommentsKeepAWaitingStreamAliveAndARefusalStaysTrue) {
  GateHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2"});
  for (int second = 0; second < 5; ++second) {
    harness.gate.Tick();
    harness.clock.Advance(Milliseconds(1'000));
  }
  STRCMP_EQUAL(": waiting\n\n", queued->body.c_str());
  harness.gate.BeginDrain();
  STRCMP_EQUAL("draining", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkGate, ASilentStreamIsEndedAndASlowEntryIsNot) {
  for (const bool slow_entry : {false, true}) {
    GateHarness harness;
    const auto answer = harness.Send({});
    answer->slow = slow_entry;
    harness.Head(0);
    harness.Chunk(0, "a1", 0);
    for (int second = 0; second < 32; ++second) {
      harness.gate.Tick();
      harness.clock.Advance(Milliseconds(1'000));
    }
    CHECK_EQUAL(!slow_entry, harness.gate.Idle());
    STRCMP_EQUAL(slow_entry ? "" : "backend_failed", answer->Code().c_str());
  }
}

TEST(WorkGate, APlainServiceThatNeverAnswersIsGivenUpAfterTheDeadline) {
  GateHarness harness(2, false);
  const auto answer = harness.Send({.budget_ms = 2'000});
  LONGS_EQUAL(1, harness.client.exchanges.size());
  harness.clock.Advance(Milliseconds(2'500));
  harness.gate.Tick();
  CHECK_FALSE(harness.gate.Idle());
  harness.clock.Advance(Milliseconds(1'000));
  harness.gate.Tick();
  CHECK_TRUE(harness.gate.Idle());
  STRCMP_EQUAL("backend_failed", answer->Code().c_str());
  CHECK_FALSE(answer->NotRun());
}

TEST(WorkGate, TheEnginesMemoryBoundsWhatRuns) {
  GateHarness harness(4);
  harness.snapshot.load.emplace();
  harness.snapshot.load->cache_tokens_total = 150;
  harness.Apply();
  for (const char* attempt : {"a1", "a2", "a3"}) {
    harness.Send({.attempt = attempt});
  }
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkGate, PlainAnswersPassAsTheyAre) {
  struct Case {
    int status;
    bool whole;
  };
  for (const Case& row : {Case{200, true}, Case{409, true}, Case{200, false}}) {
    GateHarness harness(2, false);
    const auto answer = harness.Send({});
    CHECK_TRUE(harness.Exchange(0).request.fresh_connection);
    harness.Exchange(0).handlers.on_headers(
        row.status, {{"X-Slot", "4"}, {"Content-Length", "9"}});
    harness.Body(0, "confirmed");
    if (row.whole) {
      harness.Exchange(0).handlers.on_done();
    } else {
      harness.Break(0, SendState::kMayHaveBeenSent);
      harness.Exchange(1).handlers.on_headers(200, {});
      harness.Exchange(1).handlers.on_done();
    }
    LONGS_EQUAL(row.status, answer->status);
    CHECK_EQUAL(row.whole, answer->whole);
    CHECK_EQUAL(!row.whole, answer->aborted);
    STRCMP_EQUAL("confirmed", answer->body.c_str());
    CHECK_TRUE(FindHeader(answer->headers, "X-Slot") == "4");
    CHECK_FALSE(FindHeader(answer->headers, "Content-Length").has_value());
  }
}

}  // namespace carobbank
