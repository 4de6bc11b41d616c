// Tests of Generation. They guard against lost, repeated or reordered tokens
// and tokens from versions that are not allowed, when attempts fail in any way:
// the caller receives each token once and in order, or an explicit failure.

#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kMinuteMs = 60'000;

// One event of the sidecar's response. "$" stands for the id of the attempt.
std::string Chunk(std::uint64_t from,
                  std::uint64_t to,
                  std::int64_t version,
                  std::string_view finish = "",
                  std::string_view id = "$") {
  std::string text;
  for (std::uint64_t token = from; token < to; ++token) {
    text += " " + std::to_string(token);
  }
  Json::Value choice;
  choice["text"] = text;
  choice["finish_reason"] =
      finish.empty() ? Json::Value() : Json::Value(std::string(finish));
  Json::Value value;
  value["id"] = std::string(id);
  value["choices"].append(choice);
  value["token_from"] = Json::UInt64(from);
  value["token_to"] = Json::UInt64(to);
  if (version > 0) {
    value["weight_version"] = Json::Int64(version);
  }
  return "data: " + WriteJson(value) + "\n\n";
}

constexpr const char* kDone = "data: [DONE]\n\n";

std::string ErrorEvent(std::string_view code) {
  Problem problem;
  problem.code = std::string(code);
  problem.execution = Execution::kMayHaveRun;
  return "event: error\ndata: " + WriteJson(problem.ToJson()) + "\n\n";
}

ScriptedResponse Refusal(std::string_view code) {
  Problem problem;
  problem.status = 503;
  problem.code = std::string(code);
  ScriptedResponse response;
  response.status = 503;
  response.headers = {{"X-Carobbank-Refusal", std::string(code)}};
  response.body = problem.ToResponse().body;
  return response;
}

std::string WithAttempt(std::string body, const HttpClientRequest& request) {
  const std::string id(*FindHeader(request.headers, "X-Carobbank-Attempt"));
  for (std::size_t at = body.find("\"$\""); at != std::string::npos;
       at = body.find("\"$\"")) {
    body.replace(at + 1, 1, id);
  }
  return body;
}

using Ending = ScriptedResponse::Ending;

// The first attempt's response; later attempts complete the output.
struct FaultCase {
  const char* name;
  ScriptedResponse first;
  // Number of tokens behind which the second attempt must resume.
  std::uint64_t resumed_from;
  AttemptOutcome first_outcome;
};

}  // namespace

TEST_GROUP(Generation) {
  LoopRunner runner;
  ManualClock clock;
  Random random{7};
  EventTimeline timeline{clock, {}};
  PeerProofSigner signer{"a secret"};
  FakeHttpClient client{runner.loop};
  AttemptSender sender{client, clock, signer, timeline};
  FakeSelector selector;
  FakeRetryController retries;
  GenerationEnvironment environment{runner.loop, clock,    random,
                                    sender,      selector, retries};
  std::string received;
  std::optional<GenerationOutput> done;
  std::optional<Problem> failed;

  std::unique_ptr<Generation> Start(VersionRange versions = {},
                                    const std::string& sample_id = "") {
    GenerationRequest request;
    request.service = "scorer";
    request.model = "scorer";
    request.sample_id = sample_id;
    request.prompt = "a prompt";
    request.max_tokens = 10;
    request.versions = versions;
    request.deadline_ms = this->clock.WallNow() + kMinuteMs;
    GenerationHandlers handlers;
    handlers.on_chunk = [this](const GenerationChunk& chunk) {
      this->received += chunk.text;
    };
    handlers.on_done = [this](const GenerationOutput& output) {
      this->done = output;
    };
    handlers.on_failure = [this](const Problem& problem) {
      this->failed = problem;
    };
    auto generation = std::make_unique<Generation>(
        this->environment, std::move(request), std::move(handlers));
    generation->Start();
    CHECK_TRUE(this->runner.RunUntil(
        [this] { return this->done.has_value() || this->failed.has_value(); }));
    return generation;
  }

  // Sends `first` as the first response; later responses complete the output of
  // four tokens.
  void RespondFirst(ScriptedResponse first) {
    this->client.answer = [this, first](const HttpClientRequest& request) {
      ScriptedResponse response;
      if (this->client.seen.size() == 1) {
        response = first;
        response.body = WithAttempt(response.body, request);
        return response;
      }
      const auto body = Capture([&] { return ParseJson(request.body); });
      const auto from = static_cast<std::uint64_t>(
          JsonInteger(body.Value()["resume"], "tokens"));
      response.body = WithAttempt(Chunk(from, 4, 3, "stop"), request) + kDone;
      return response;
    };
  }
};

TEST(Generation, EveryFaultIsResumedWithoutLosingOrRepeatingAToken) {
  const FaultCase cases[] = {
      {"truncated",
       {200, {}, Chunk(0, 2, 3), Ending::kTruncated},
       2,
       AttemptOutcome::kLinkFailed},
      {"not sent",
       {200, {}, "", Ending::kNotSent},
       0,
       AttemptOutcome::kLinkFailed},
      {"no [DONE]",
       {200, {}, Chunk(0, 4, 3, "stop"), Ending::kComplete},
       4,
       AttemptOutcome::kRefused},
      {"[DONE] without finish reason",
       {200, {}, Chunk(0, 1, 3) + kDone, Ending::kComplete},
       1,
       AttemptOutcome::kRefused},
      {"crossed",
       {200,
        {},
        Chunk(0, 2, 3) + Chunk(2, 3, 3, "", "other"),
        Ending::kComplete},
       2,
       AttemptOutcome::kRefused},
      {"repeated tokens",
       {200, {}, Chunk(0, 2, 3) + Chunk(1, 3, 3), Ending::kComplete},
       2,
       AttemptOutcome::kRefused},
      {"missing tokens",
       {200, {}, Chunk(0, 1, 3) + Chunk(2, 3, 3), Ending::kComplete},
       1,
       AttemptOutcome::kRefused},
      {"no version",
       {200, {}, Chunk(0, 1, 3) + Chunk(1, 2, 0), Ending::kComplete},
       1,
       AttemptOutcome::kRefused},
      {"older than allowed",
       {200, {}, Chunk(0, 1, 3) + Chunk(1, 2, 1), Ending::kComplete},
       1,
       AttemptOutcome::kRefused},
      {"more tokens than asked",
       {200, {}, Chunk(0, 3, 3) + Chunk(3, 11, 3), Ending::kComplete},
       3,
       AttemptOutcome::kRefused},
      {"not an event",
       {200, {}, "data: nonsense\n\n", Ending::kComplete},
       0,
       AttemptOutcome::kRefused},
      {"preempted",
       {200, {}, Chunk(0, 3, 3) + ErrorEvent("preempted"), Ending::kComplete},
       3,
       AttemptOutcome::kRefused},
      {"crash",
       {200,
        {},
        Chunk(0, 1, 3) + ErrorEvent("backend_crashed"),
        Ending::kComplete},
       1,
       AttemptOutcome::kBackendCrashed},
      {"draining", Refusal("draining"), 0, AttemptOutcome::kDraining},
  };
  for (const FaultCase& fault : cases) {
    this->client.seen.clear();
    this->selector = FakeSelector();
    this->retries = FakeRetryController();
    this->received.clear();
    this->done.reset();
    this->RespondFirst(fault.first);
    const auto generation = this->Start({2, UINT64_MAX});
    CHECK_TEXT(this->done.has_value(), fault.name);
    STRCMP_EQUAL_TEXT(" 0 1 2 3", this->done->text.c_str(), fault.name);
    STRCMP_EQUAL_TEXT(" 0 1 2 3", this->received.c_str(), fault.name);
    CHECK_TEXT(this->selector.outcomes.front() == fault.first_outcome,
               fault.name);
    LONGS_EQUAL_TEXT(0, this->selector.open, fault.name);
    const auto second =
        Capture([&] { return ParseJson(this->client.seen.at(1).body); });
    LONGS_EQUAL_TEXT(fault.resumed_from,
                     JsonInteger(second.Value()["resume"], "tokens"),
                     fault.name);
  }
}

TEST(Generation, SpansCoverAllTokensOverAVersionChange) {
  this->client.answer = [](const HttpClientRequest& request) {
    ScriptedResponse response;
    response.body = WithAttempt(
        Chunk(0, 2, 3) + Chunk(2, 3, 3) + Chunk(3, 4, 4, "stop"), request);
    response.body += kDone;
    return response;
  };
  const auto generation = this->Start();
  CHECK_TRUE(this->done.has_value());
  LONGS_EQUAL(2, this->done->spans.size());
  CHECK_TRUE((this->done->spans[0] == TokenSpan{0, 3, 3}));
  CHECK_TRUE((this->done->spans[1] == TokenSpan{3, 4, 4}));
}

TEST(Generation, ADigestThatCrashedTwoServersIsNotSentToAThird) {
  this->client.answer = [](const HttpClientRequest&) {
    ScriptedResponse response;
    response.body = ErrorEvent("backend_crashed");
    return response;
  };
  const auto generation = this->Start();
  CHECK_TRUE(this->failed.has_value());
  STRCMP_EQUAL("quarantined", this->failed->code.c_str());
  LONGS_EQUAL(2, this->client.seen.size());
  CHECK_TRUE(this->selector.requests.at(1).exclusive);
}

TEST(Generation, ASampleUnderWhichServersCrashedIsRefusedOrIsolated) {
  this->selector.crashes = kCrashesBeforeQuarantine;
  ScriptedResponse first;
  first.body = Chunk(0, 1, 3) + ErrorEvent("backend_crashed");
  this->RespondFirst(first);
  const auto generation = this->Start({}, "a sample");
  CHECK_TRUE(this->done.has_value());
  LONGS_EQUAL(2, this->selector.requests.size());
  for (const SelectionRequest& request : this->selector.requests) {
    CHECK_FALSE(request.exclusive);
    CHECK_TRUE(request.digest.empty());
  }
  LONGS_EQUAL(1, generation->Crashes());
}

TEST(Generation, AFailureWithoutAllowedRetryIsReportedAtOnce) {
  this->retries.allowed = 0;
  this->RespondFirst(Refusal("queue_full"));
  const auto generation = this->Start();
  CHECK_TRUE(this->failed.has_value());
  STRCMP_EQUAL("queue_full", this->failed->code.c_str());
  CHECK_TRUE(this->failed->execution == Execution::kNotRun);
  LONGS_EQUAL(1, this->client.seen.size());
}

TEST(Generation, NoHandlerIsCalledAfterStop) {
  // The handler stops the generation at the first chunk; the second chunk has
  // already been read.
  std::unique_ptr<Generation> generation;
  int chunks = 0;
  this->client.answer = [](const HttpClientRequest& request) {
    ScriptedResponse response;
    response.body = WithAttempt(Chunk(0, 1, 3), request);
    response.late_body = WithAttempt(Chunk(1, 2, 3, "stop"), request) + kDone;
    return response;
  };
  GenerationRequest request;
  request.prompt = "a prompt";
  request.max_tokens = 10;
  request.deadline_ms = this->clock.WallNow() + kMinuteMs;
  GenerationHandlers handlers;
  handlers.on_chunk = [&](const GenerationChunk&) {
    ++chunks;
    generation->Stop();
  };
  handlers.on_done = [&](const GenerationOutput&) { chunks = 100; };
  handlers.on_failure = [&](const Problem&) { chunks = 100; };
  generation = std::make_unique<Generation>(
      this->environment, std::move(request), std::move(handlers));
  generation->Start();
  this->runner.RunFor(Milliseconds(5));
  LONGS_EQUAL(1, chunks);
  LONGS_EQUAL(0, this->selector.open);
  CHECK_TRUE(this->selector.outcomes.front() == AttemptOutcome::kCancelled);
}

TEST(Generation, NoAttemptBeginsAfterTheDeadline) {
  this->client.answer = [this](const HttpClientRequest&) {
    this->clock.Advance(Milliseconds(2 * kMinuteMs));
    return ScriptedResponse{200, {}, "", Ending::kTruncated};
  };
  const auto generation = this->Start();
  CHECK_TRUE(this->failed.has_value());
  STRCMP_EQUAL("deadline_exceeded", this->failed->code.c_str());
  LONGS_EQUAL(1, this->client.seen.size());
}

}  // namespace carobbank
