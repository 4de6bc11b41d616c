// Guards against a refusal of a request that may have run, a truncated or
// invalid response that looks complete, and crash reports that list the wrong
// requests, under faults of the backend server, the entry and the control
// state.

#include "work_dispatcher_harness.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(WorkDispatcher){};

TEST(WorkDispatcher, AResponseIsForwardedCompleteAndInOrder) {
  WorkDispatcherHarness harness;
  const auto response = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  CHECK_FALSE(response->complete);
  harness.EndNormally(0, "a1");
  CHECK_TRUE(response->complete);
  STRCMP_EQUAL((WorkDispatcherHarness::ChunkText("a1", 0, 7) +
                WorkDispatcherHarness::LastChunkText("a1") + "data: [DONE]\n\n")
                   .c_str(),
               response->body.c_str());
  CHECK_TRUE(harness.work_dispatcher.Idle());
}

TEST(WorkDispatcher, OnlyTheAttemptHeaderReachesTheBackendServer) {
  WorkDispatcherHarness harness;
  harness.Send({});
  const HttpHeaders& headers = harness.Exchange(0).request.headers;
  CHECK_TRUE(FindHeader(headers, "X-Carobbank-Attempt").has_value());
  CHECK_TRUE(FindHeader(headers, "Accept").has_value());
  CHECK_FALSE(FindHeader(headers, "X-Carobbank-Service").has_value());
  CHECK_FALSE(FindHeader(headers, "X-Carobbank-Versions").has_value());
}

TEST(WorkDispatcher, ASlowEntryPausesItsOwnExchangeOnly) {
  WorkDispatcherHarness harness;
  const auto slow = harness.Send({.attempt = "a1"});
  harness.Send({.attempt = "a2"});
  slow->slow = true;
  harness.Head(0);
  harness.Head(1);
  harness.Chunk(0, "a1", 0);
  harness.Chunk(1, "a2", 0);
  CHECK_TRUE(harness.Exchange(0).paused);
  CHECK_FALSE(harness.Exchange(1).paused);
  slow->CompleteWrite();
  CHECK_FALSE(harness.Exchange(0).paused);
}

TEST(WorkDispatcher, RefusalsBeforeTheQueue) {
  struct Case {
    const char* code;
    TestWork work;
    void (*arrange)(WorkDispatcherHarness&);
  };
  const auto nothing = [](WorkDispatcherHarness&) {};
  const Case cases[] = {
      {"bad_request", {.versions = "9-8"}, nothing},
      {"unknown_service", {.service = "nobody"}, nothing},
      {"no_version", {.versions = "8-"}, nothing},
      {"no_version", {.versions = "-6"}, nothing},
      {"deadline_exceeded", {.budget_ms = 0}, nothing},
      {"deadline_exceeded", {.deadline_ms = 1}, nothing},
      {"quarantined",
       {.digest = "bad"},
       [](WorkDispatcherHarness& harness) {
         harness.work_dispatcher.Quarantine("bad");
       }},
      {"quarantined",
       {.digest = "bad"},
       [](WorkDispatcherHarness& harness) {
         harness.snapshot.quarantine.insert("bad");
         harness.Apply();
       }},
      {"draining",
       {},
       [](WorkDispatcherHarness& harness) {
         harness.work_dispatcher.BeginDrain();
       }},
      {"draining",
       {},
       [](WorkDispatcherHarness& harness) {
         harness.snapshot.leaving = true;
         harness.Apply();
       }},
      {"configuration_behind",
       {},
       [](WorkDispatcherHarness& harness) {
         harness.snapshot.configuration = nullptr;
         harness.Apply();
       }},
      {"no_version",
       {.versions = "7-"},
       [](WorkDispatcherHarness& harness) {
         harness.snapshot.engine.reset();
         harness.Apply();
       }},
      {"not_idle",
       {.exclusive = true},
       [](WorkDispatcherHarness& harness) {
         harness.Send({.attempt = "other"});
       }},
      {"not_idle",
       {.duplicate = true},
       [](WorkDispatcherHarness& harness) {
         harness.Send({.attempt = "b1"});
         harness.Send({.attempt = "b2"});
       }},
  };
  for (const Case& row : cases) {
    WorkDispatcherHarness harness;
    row.arrange(harness);
    const std::size_t sent = harness.client.exchanges.size();
    const auto response = harness.Send(row.work);
    STRCMP_EQUAL(row.code, response->Code().c_str());
    CHECK_TRUE(response->NotRun());
    LONGS_EQUAL(sent, harness.client.exchanges.size());
  }
}

TEST(WorkDispatcher, InvalidResponsesEndInAnExplicitError) {
  struct Case {
    const char* code;
    std::string bytes;
    TestWork work;
  };
  const Case cases[] = {
      {"crossed_answer", WorkDispatcherHarness::ChunkText("a2", 0, 7), {}},
      {"backend_failed", WorkDispatcherHarness::ChunkText("a1", 1, 7), {}},
      {"backend_failed",
       WorkDispatcherHarness::ChunkText("a1", 0, 7) +
           WorkDispatcherHarness::ChunkText("a1", 0, 7),
       {}},
      {"backend_failed",
       WorkDispatcherHarness::ChunkText("a1", 0, 7),
       {.resumed_tokens = 4}},
      {"version_out_of_bound",
       WorkDispatcherHarness::ChunkText("a1", 0, 8),
       {.versions = "6-7"}},
      {"backend_failed", "data: {\"id\": \"a1\"}\n\n", {}},
      {"backend_failed", "data: nonsense\n\n", {}},
      {"backend_failed", "data: [DONE]\n\n", {}},
  };
  for (const Case& row : cases) {
    WorkDispatcherHarness harness;
    const auto response = harness.Send(row.work);
    harness.Head(0);
    harness.Body(0, row.bytes);
    STRCMP_EQUAL(row.code, response->Code().c_str());
    CHECK_TRUE(response->complete);
    CHECK_FALSE(response->NotRun());
    CHECK_TRUE(response->body.find("[DONE]") == std::string::npos);
    CHECK_TRUE(harness.Exchange(0).dropped);
    LONGS_EQUAL(1, harness.engine.cancelled_attempts.size());
    CHECK_TRUE(harness.work_dispatcher.Idle());
  }
}

TEST(WorkDispatcher, BrokenConnectionsAreDistinguishedFromCrashes) {
  struct Case {
    const char* code;
    SendState send_state;
    bool not_run;
    void (*fault)(FakeEngineControl&);
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
    WorkDispatcherHarness harness;
    const auto response = harness.Send({.digest = "d"});
    row.fault(harness.engine);
    harness.Break(0, row.send_state);
    STRCMP_EQUAL(row.code, response->Code().c_str());
    CHECK_EQUAL(row.not_run, response->NotRun());
    const bool crashed = std::string(row.code) == "backend_crashed";
    LONGS_EQUAL(crashed ? 1 : 0, harness.crash_reports.size());
    CHECK_TRUE(harness.work_dispatcher.Idle());
  }
}

TEST(WorkDispatcher, ATruncatedResponseEndsInAnErrorEvent) {
  WorkDispatcherHarness harness;
  const auto response = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.Exchange(0).handlers.on_done();
  STRCMP_EQUAL("backend_failed", response->Code().c_str());
  CHECK_TRUE(response->body.find("event: error") != std::string::npos);
}

TEST(WorkDispatcher, ASuspectRunsInIsolationAfterACrash) {
  WorkDispatcherHarness harness;
  harness.Send({.digest = "d"});
  harness.engine.Restart(7);
  harness.Break(0, SendState::kMayHaveBeenSent);
  harness.Send({.attempt = "a2"});
  STRCMP_EQUAL("not_idle",
               harness.Send({.attempt = "a3", .digest = "d"})->Code().c_str());
  harness.Head(1);
  harness.Chunk(1, "a2", 0);
  harness.EndNormally(1, "a2");
  harness.Send({.attempt = "a4", .digest = "d"});
  harness.Send({.attempt = "a5"});
  LONGS_EQUAL(3, harness.client.exchanges.size());
}

TEST(WorkDispatcher, ACrashIsReportedOnceWithAllRunningRequests) {
  WorkDispatcherHarness harness;
  harness.Send({.attempt = "a1", .digest = "d1"});
  harness.Send({.attempt = "a2", .digest = "d2"});
  harness.Send({.attempt = "a3", .digest = "queued"});
  harness.engine.outage = true;
  harness.Break(0, SendState::kMayHaveBeenSent);
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crash_reports.size());
  LONGS_EQUAL(2, harness.crash_reports[0].digests.size());
  CHECK_TRUE(harness.crash_reports[0].lists_all_work);
}

TEST(WorkDispatcher, ACrashReportIncludesRequestsThatEndedEarlyShortlyBefore) {
  WorkDispatcherHarness harness;
  harness.Send({.attempt = "a1", .digest = "fatal"});
  harness.Send({.attempt = "a2", .digest = "bystander"});
  harness.clock.Advance(Milliseconds(10));
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.clock.Advance(Milliseconds(100));
  harness.engine.outage = true;
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crash_reports.size());
  const std::vector<std::string>& digests = harness.crash_reports[0].digests;
  LONGS_EQUAL(2, digests.size());
  CHECK_TRUE(std::find(digests.begin(), digests.end(), "fatal") !=
             digests.end());
}

TEST(WorkDispatcher, ACrashReportExcludesRequestsThatEndedBeforeTheRunBegan) {
  WorkDispatcherHarness harness;
  harness.Send({.attempt = "a1", .digest = "bystander"});
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.Send({.attempt = "a2", .digest = "fatal", .exclusive = true});
  harness.clock.Advance(Milliseconds(50));
  harness.engine.outage = true;
  harness.Break(1, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crash_reports.size());
  LONGS_EQUAL(1, harness.crash_reports[0].digests.size());
  STRCMP_EQUAL("fatal", harness.crash_reports[0].digests[0].c_str());
}

TEST(WorkDispatcher,
     ACrashReportExcludesRequestsThatEndedLongBeforeOrNormally) {
  WorkDispatcherHarness harness;
  harness.Send({.attempt = "a1", .digest = "long ago"});
  harness.Head(0);
  harness.Chunk(0, "another-attempt", 0);
  harness.clock.Advance(Milliseconds(5'000));
  harness.Send({.attempt = "a2", .digest = "whole"});
  harness.Head(1);
  harness.Chunk(1, "a2", 0);
  harness.EndNormally(1, "a2");
  harness.Send({.attempt = "a3", .digest = "fatal"});
  harness.engine.outage = true;
  harness.Break(2, SendState::kMayHaveBeenSent);
  LONGS_EQUAL(1, harness.crash_reports.size());
  LONGS_EQUAL(1, harness.crash_reports[0].digests.size());
  STRCMP_EQUAL("fatal", harness.crash_reports[0].digests[0].c_str());
}

TEST(WorkDispatcher, NoRequestStartsBesideAnExclusiveOne) {
  WorkDispatcherHarness harness;
  harness.Send({.attempt = "a1", .exclusive = true});
  const auto waiting = harness.Send({.attempt = "a2"});
  LONGS_EQUAL(1, harness.client.exchanges.size());
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.EndNormally(0, "a1");
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkDispatcher, DrainRefusesQueuedRequestsAndFinishesRunningOnes) {
  WorkDispatcherHarness harness(1);
  const auto running = harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2"});
  harness.work_dispatcher.BeginDrain();
  STRCMP_EQUAL("draining", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
  CHECK_FALSE(running->complete);
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.EndNormally(0, "a1");
  CHECK_TRUE(running->complete);
  STRCMP_EQUAL("", running->Code().c_str());
  CHECK_TRUE(harness.work_dispatcher.Idle());
}

TEST(WorkDispatcher, TheDrainDeadlineEndsInAnExplicitError) {
  WorkDispatcherHarness harness;
  const auto response = harness.Send({});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.work_dispatcher.BeginDrain();
  harness.work_dispatcher.EndDrain();
  STRCMP_EQUAL("draining", response->Code().c_str());
  CHECK_FALSE(response->NotRun());
  CHECK_TRUE(harness.work_dispatcher.Idle());
}

TEST(WorkDispatcher, ALiveRequestPreemptsTraining) {
  WorkDispatcherHarness harness(1);
  const auto training = harness.Send({.attempt = "a1"});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.Send({.service = "live", .attempt = "a2"});
  STRCMP_EQUAL("preempted", training->Code().c_str());
  CHECK_TRUE(
      training->body.starts_with(WorkDispatcherHarness::ChunkText("a1", 0, 7)));
  STRCMP_EQUAL("a1", harness.engine.cancelled_attempts.at(0).c_str());
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkDispatcher, ARequestThatExpiresInTheQueueIsRefusedAtOnce) {
  WorkDispatcherHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2", .budget_ms = 500});
  CHECK_TRUE(harness.wake == harness.clock.Now() + Milliseconds(500));
  harness.clock.Advance(Milliseconds(500));
  harness.work_dispatcher.Tick();
  STRCMP_EQUAL("deadline_exceeded", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkDispatcher, AProcessThatWakesPastTheDeadlineSendsNothing) {
  WorkDispatcherHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2", .budget_ms = 500});
  harness.Head(0);
  harness.Chunk(0, "a1", 0);
  harness.clock.Advance(Milliseconds(60'000));
  // The first event after the suspension is the end of the running request.
  harness.EndNormally(0, "a1");
  STRCMP_EQUAL("deadline_exceeded", queued->Code().c_str());
  LONGS_EQUAL(1, harness.client.exchanges.size());
}

TEST(WorkDispatcher, AVersionPastTheBoundEndsQueuedAndRunningRequests) {
  WorkDispatcherHarness harness(1);
  const auto running = harness.Send({.attempt = "a1", .versions = "6-7"});
  const auto queued = harness.Send({.attempt = "a2", .versions = "6-7"});
  harness.snapshot.engine->version = 8;
  harness.Apply();
  STRCMP_EQUAL("version_out_of_bound", running->Code().c_str());
  STRCMP_EQUAL("no_version", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkDispatcher, AnEntryThatDisconnectsFreesTheSlotAndTheEngine) {
  WorkDispatcherHarness harness(1);
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

TEST(WorkDispatcher, CommentsKeepAQueuedStreamAliveAndARefusalStaysNotRun) {
  WorkDispatcherHarness harness(1);
  harness.Send({.attempt = "a1"});
  const auto queued = harness.Send({.attempt = "a2"});
  for (int second = 0; second < 5; ++second) {
    harness.work_dispatcher.Tick();
    harness.clock.Advance(Milliseconds(1'000));
  }
  STRCMP_EQUAL(": waiting\n\n", queued->body.c_str());
  harness.work_dispatcher.BeginDrain();
  STRCMP_EQUAL("draining", queued->Code().c_str());
  CHECK_TRUE(queued->NotRun());
}

TEST(WorkDispatcher, AStreamWithoutDataIsEndedUnlessTheEntryIsSlow) {
  for (const bool slow_entry : {false, true}) {
    WorkDispatcherHarness harness;
    const auto response = harness.Send({});
    response->slow = slow_entry;
    harness.Head(0);
    harness.Chunk(0, "a1", 0);
    for (int second = 0; second < 32; ++second) {
      harness.work_dispatcher.Tick();
      harness.clock.Advance(Milliseconds(1'000));
    }
    CHECK_EQUAL(!slow_entry, harness.work_dispatcher.Idle());
    STRCMP_EQUAL(slow_entry ? "" : "backend_failed", response->Code().c_str());
  }
}

TEST(WorkDispatcher, APlainRequestWithoutAResponseIsAbortedAfterTheDeadline) {
  WorkDispatcherHarness harness(2, false);
  const auto response = harness.Send({.budget_ms = 2'000});
  LONGS_EQUAL(1, harness.client.exchanges.size());
  harness.clock.Advance(Milliseconds(2'500));
  harness.work_dispatcher.Tick();
  CHECK_FALSE(harness.work_dispatcher.Idle());
  harness.clock.Advance(Milliseconds(1'000));
  harness.work_dispatcher.Tick();
  CHECK_TRUE(harness.work_dispatcher.Idle());
  STRCMP_EQUAL("backend_failed", response->Code().c_str());
  CHECK_FALSE(response->NotRun());
}

TEST(WorkDispatcher, TheEnginesMemoryLimitsRunningRequests) {
  WorkDispatcherHarness harness(4);
  harness.snapshot.load.emplace();
  harness.snapshot.load->cache_tokens_total = 150;
  harness.Apply();
  for (const char* attempt : {"a1", "a2", "a3"}) {
    harness.Send({.attempt = attempt});
  }
  LONGS_EQUAL(2, harness.client.exchanges.size());
}

TEST(WorkDispatcher, PlainResponsesAreForwardedUnchanged) {
  struct Case {
    int status;
    bool complete;
  };
  for (const Case& row : {Case{200, true}, Case{409, true}, Case{200, false}}) {
    WorkDispatcherHarness harness(2, false);
    const auto response = harness.Send({});
    CHECK_TRUE(harness.Exchange(0).request.fresh_connection);
    harness.Exchange(0).handlers.on_headers(
        row.status, {{"X-Slot", "4"}, {"Content-Length", "9"}});
    harness.Body(0, "confirmed");
    if (row.complete) {
      harness.Exchange(0).handlers.on_done();
    } else {
      harness.Break(0, SendState::kMayHaveBeenSent);
      harness.Exchange(1).handlers.on_headers(200, {});
      harness.Exchange(1).handlers.on_done();
    }
    LONGS_EQUAL(row.status, response->status);
    CHECK_EQUAL(row.complete, response->complete);
    CHECK_EQUAL(!row.complete, response->aborted);
    STRCMP_EQUAL("confirmed", response->body.c_str());
    CHECK_TRUE(FindHeader(response->headers, "X-Slot") == "4");
    CHECK_FALSE(FindHeader(response->headers, "Content-Length").has_value());
  }
}

}  // namespace carobbank
