// The stand-in engine over HTTP: streams, resumption, version labels across
// weight swaps, cancellation and injected faults. Guards against an engine
// whose labels or records differ from the tokens that it sent. The tests wait
// for events and don't depend on the engine's speed.

#include <string>

#include "StandIns/completion_stream.h"
#include "StandIns/stand_ins.h"
#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

// Steps take a millisecond, so that the tests spend no time on generation.
constexpr std::string_view kFast =
    R"({"token_interval_us": 100, "token_interval_per_sequence_us": 0,
        "prefill_us_per_token": 0, "load_ms": 1, "crash_down_ms": 1})";
// More tokens than any test generates.
constexpr std::uint64_t kEndless = 100'000'000;

struct Completion {
  std::string attempt_id = "attempt";
  std::string prompt = "length=10 sea state";
  std::uint64_t max_tokens = kEndless;
  bool streaming = true;
  std::string resumed_text;
};

Completion MakeCompletion(std::string attempt_id,
                          std::string prompt = "length=10 sea state") {
  Completion completion;
  completion.attempt_id = std::move(attempt_id);
  completion.prompt = std::move(prompt);
  return completion;
}

std::string BodyOf(const Completion& completion) {
  Json::Value body;
  body["model"] = "model";
  body["attempt_id"] = completion.attempt_id;
  body["prompt"] = completion.prompt;
  body["max_tokens"] = Json::UInt64{completion.max_tokens};
  body["stream"] = completion.streaming;
  if (!completion.resumed_text.empty()) {
    body["resume"]["text"] = completion.resumed_text;
    body["resume"]["tokens"] =
        Json::UInt64{CountTokens(completion.resumed_text).value_or(0)};
  }
  return WriteJson(body);
}

std::string EndlessPrompt() {
  return "length=" + std::to_string(kEndless);
}

using PendingResponse = std::future<Outcome<HttpResponse>>;

PendingResponse Begin(StandInHost& host, const Completion& completion) {
  return host.BeginFetch("POST", "/v1/completions", BodyOf(completion));
}

CompletionStream Finish(PendingResponse response) {
  const auto outcome = LoopThread::Finish(std::move(response));
  if (!outcome.Ok()) {
    throw std::runtime_error(outcome.GetError().Text());
  }
  CHECK_EQUAL(200, outcome.Value().status);
  return ReadCompletionStream(outcome.Value().body);
}

CompletionStream Complete(StandInHost& host, const Completion& completion) {
  return Finish(Begin(host, completion));
}

void Cancel(StandInHost& host, const std::string& attempt_id) {
  host.Fetch("POST", "/v1/cancel", R"({"attempt_id": ")" + attempt_id + "\"}");
}

Json::Value RecordOf(StandInHost& host, const std::string& attempt_id) {
  const Json::Value record = host.Record();
  for (const Json::Value& generation : record["generations"]) {
    if (generation["attempt_id"] == attempt_id) {
      return generation;
    }
  }
  return Json::Value();
}

// Waits until the attempt has tokens of weight version `version`.
void WaitForTokensOf(StandInHost& host,
                     const std::string& attempt_id,
                     std::uint64_t version) {
  while (true) {
    const Json::Value record = RecordOf(host, attempt_id);
    for (const Json::Value& span : record["spans"]) {
      if (span["version"].asUInt64() == version) {
        return;
      }
    }
  }
}

void WaitForVersion(StandInHost& host, std::uint64_t version) {
  while (host.FetchJson("/state")["version"].asUInt64() != version) {
  }
}

void SendOrder(StandInHost& host,
               std::uint64_t version,
               std::string_view mode) {
  Json::Value order;
  order["order_id"] = "to " + std::to_string(version);
  order["fencing"] = 1;
  order["kind"] = "load_version";
  order["model"] = "model";
  order["version"] = Json::UInt64{version};
  order["mode"] = std::string(mode);
  const auto response = host.Fetch("POST", "/orders", WriteJson(order));
  CHECK_EQUAL(202, response.Value().status);
}

}  // namespace

TEST_GROUP(EngineStandIn){};

TEST(EngineStandIn, StreamsCompleteLabelledOutput) {
  StandInHost host("engine", kFast);
  const CompletionStream stream = Complete(host, {});
  CHECK_TRUE(stream.is_done);
  CHECK_TRUE(stream.labels_match_tokens);
  CHECK_EQUAL(10U, CountTokens(stream.text).value());
  CHECK_EQUAL(10U, stream.completion_tokens);
  STRCMP_EQUAL("stop", stream.finish_reason.c_str());
  STRCMP_EQUAL("attempt", stream.id.c_str());
}

TEST(EngineStandIn, ChunkTokensSetsTheChunkSize) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"chunk_tokens": 4})");
  const auto response = LoopThread::Finish(Begin(host, {}));
  const std::string& body = response.Value().body;
  const CompletionStream stream = ReadCompletionStream(body);
  CHECK_TRUE(stream.labels_match_tokens);
  CHECK_EQUAL(10U, CountTokens(stream.text).value());
  // Three chunks and [DONE].
  std::size_t events = 0;
  for (std::size_t at = body.find("data:"); at != std::string::npos;
       at = body.find("data:", at + 1)) {
    ++events;
  }
  CHECK_EQUAL(4U, events);
}

TEST(EngineStandIn, NonStreamingResponsesHaveTheSameTokens) {
  StandInHost host("engine", kFast);
  Completion completion;
  completion.streaming = false;
  const auto response = LoopThread::Finish(Begin(host, completion));
  const Json::Value body =
      Capture([&] { return ParseJson(response.Value().body); }).Value();
  const std::string text = body["choices"][0]["text"].asString();
  CHECK_EQUAL(10U, CountTokens(text).value());
  CHECK_EQUAL(1U, body["spans"].size());
  CHECK_EQUAL(10U, body["spans"][0]["to"].asUInt64());
}

TEST(EngineStandIn, EndsAtMaxTokens) {
  StandInHost host("engine", kFast);
  Completion completion;
  completion.max_tokens = 4;
  const CompletionStream stream = Complete(host, completion);
  CHECK_EQUAL(4U, CountTokens(stream.text).value());
  STRCMP_EQUAL("length", stream.finish_reason.c_str());
}

TEST(EngineStandIn, ResumesPartialOutput) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"truncate_answers": 1})");
  const CompletionStream partial = Complete(host, {});
  CHECK_FALSE(partial.is_done);
  CHECK_EQUAL(5U, CountTokens(partial.text).value());
  Completion continuation;
  continuation.attempt_id = "second attempt";
  continuation.resumed_text = partial.text;
  const CompletionStream resumed = Complete(host, continuation);
  CHECK_TRUE(resumed.is_done);
  CHECK_TRUE(resumed.labels_match_tokens);
  CHECK_EQUAL(5U, resumed.spans.front().from);
  CHECK_EQUAL(10U, CountTokens(partial.text + resumed.text).value());
  CHECK_EQUAL(10U, resumed.completion_tokens);
}

TEST(EngineStandIn, ResumingCompleteOutputEndsAtOnce) {
  StandInHost host("engine", kFast);
  const CompletionStream complete = Complete(host, {});
  Completion again;
  again.resumed_text = complete.text;
  const CompletionStream resumed = Complete(host, again);
  CHECK_TRUE(resumed.is_done);
  STRCMP_EQUAL("", resumed.text.c_str());
}

TEST(EngineStandIn, RejectsPartialOutputWithAGap) {
  StandInHost host("engine", kFast);
  Completion completion;
  completion.resumed_text = " 0@1 2@1";
  const auto response = LoopThread::Finish(Begin(host, completion));
  CHECK_EQUAL(400, response.Value().status);
}

TEST(EngineStandIn, LabelsFollowAnInterruptModeSwap) {
  StandInHost host("engine", kFast);
  PendingResponse response = Begin(host, MakeCompletion("a", EndlessPrompt()));
  WaitForTokensOf(host, "a", 1);
  SendOrder(host, 2, "interrupt");
  WaitForTokensOf(host, "a", 2);
  Cancel(host, "a");
  const CompletionStream stream = Finish(std::move(response));
  CHECK_TRUE(stream.labels_match_tokens);
  CHECK_EQUAL(2U, stream.spans.size());
  CHECK_EQUAL(1U, stream.spans[0].version);
  CHECK_EQUAL(2U, stream.spans[1].version);
  CHECK_TRUE(CountTokens(stream.text).has_value());
}

TEST(EngineStandIn, LabelsFollowAWaitModeSwap) {
  StandInHost host("engine", kFast);
  PendingResponse before =
      Begin(host, MakeCompletion("before", EndlessPrompt()));
  WaitForTokensOf(host, "before", 1);
  SendOrder(host, 2, "wait");
  Cancel(host, "before");
  WaitForVersion(host, 2);
  const CompletionStream old_stream = Finish(std::move(before));
  CHECK_TRUE(old_stream.labels_match_tokens);
  CHECK_EQUAL(1U, old_stream.spans.size());
  CHECK_EQUAL(1U, old_stream.spans[0].version);
  const CompletionStream new_stream = Complete(host, MakeCompletion("after"));
  CHECK_TRUE(new_stream.labels_match_tokens);
  CHECK_EQUAL(2U, new_stream.spans[0].version);
}

TEST(EngineStandIn, CancellingFreesTheSlot) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"max_batch": 1})");
  PendingResponse first = Begin(host, MakeCompletion("first", EndlessPrompt()));
  WaitForTokensOf(host, "first", 1);
  PendingResponse second = Begin(host, MakeCompletion("second"));
  Cancel(host, "first");
  CHECK_TRUE(Finish(std::move(second)).is_done);
  const CompletionStream cancelled = Finish(std::move(first));
  CHECK_FALSE(cancelled.is_done);
  STRCMP_EQUAL("cancelled", cancelled.finish_reason.c_str());
  STRCMP_EQUAL("cancelled",
               RecordOf(host, "first")["ended"].asString().c_str());
}

TEST(EngineStandIn, RejectsAnAttemptInProgress) {
  StandInHost host("engine", kFast);
  PendingResponse first = Begin(host, MakeCompletion("same", EndlessPrompt()));
  WaitForTokensOf(host, "same", 1);
  const auto second = LoopThread::Finish(Begin(host, MakeCompletion("same")));
  CHECK_EQUAL(409, second.Value().status);
  Cancel(host, "same");
  LoopThread::Finish(std::move(first));
}

TEST(EngineStandIn, CrashesOnTheCrashMarkerAndRestarts) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"crash_marker": "FATAL"})");
  PendingResponse other = Begin(host, MakeCompletion("other", EndlessPrompt()));
  WaitForTokensOf(host, "other", 1);
  PendingResponse fatal =
      Begin(host, MakeCompletion("fatal", "a FATAL prompt"));
  CheckError(ErrorKind::kOutcomeUnknown, LoopThread::Finish(std::move(fatal)));
  CheckError(ErrorKind::kOutcomeUnknown, LoopThread::Finish(std::move(other)));
  auto state = host.Fetch("GET", "/state");
  while (!state.Ok()) {
    state = host.Fetch("GET", "/state");
  }
  CHECK_EQUAL(2U, host.FetchJson("/state")["incarnation"].asUInt64());
  for (const char* attempt : {"other", "fatal"}) {
    STRCMP_EQUAL("crashed",
                 RecordOf(host, attempt)["ended"].asString().c_str());
  }
  CHECK_TRUE(Complete(host, MakeCompletion("after")).is_done);
}

TEST(EngineStandIn, CutAnswersAbortsTheConnection) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"cut_answers": 1})");
  CheckError(ErrorKind::kOutcomeUnknown, LoopThread::Finish(Begin(host, {})));
  STRCMP_EQUAL("cut", RecordOf(host, "attempt")["ended"].asString().c_str());
}

TEST(EngineStandIn, CrossAnswersSwapsConnections) {
  StandInHost host("engine", kFast);
  PendingResponse first = Begin(host, MakeCompletion("first", EndlessPrompt()));
  WaitForTokensOf(host, "first", 1);
  host.ControlDirectly(R"({"cross_answers": 1})");
  PendingResponse second = Begin(host, MakeCompletion("second"));
  const CompletionStream crossed = Finish(std::move(first));
  STRCMP_EQUAL("second", crossed.id.c_str());
  Cancel(host, "first");
  STRCMP_EQUAL("first", Finish(std::move(second)).id.c_str());
}

TEST(EngineStandIn, SilencedConnectionsStayUnresponsiveWhileNewOnesWork) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"max_batch": 1})");
  PendingResponse blocking =
      Begin(host, MakeCompletion("blocking", EndlessPrompt()));
  WaitForTokensOf(host, "blocking", 1);
  PendingResponse silenced = Begin(host, MakeCompletion("silenced"));
  while (RecordOf(host, "silenced").isNull()) {
  }
  host.ControlDirectly(R"({"silence_open_connections": true})");
  LoopThread second_thread;
  std::unique_ptr<HttpClient> second_client;
  second_thread.Run(
      [&] { second_client = HttpClient::Create(second_thread.Loop()); });
  const auto cancelled =
      second_thread.Await<Outcome<HttpResponse>>([&](auto done) {
        HttpClientRequest request;
        request.method = "POST";
        request.url = host.Url() + "/v1/cancel";
        request.body = R"({"attempt_id": "blocking"})";
        second_client->Fetch(request, done);
      });
  CHECK_EQUAL(200, cancelled.Value().status);
  while (RecordOf(host, "silenced")["ended"] != "stop") {
  }
  const auto state = silenced.wait_for(std::chrono::seconds(0));
  CHECK_TRUE(state == std::future_status::timeout);
  second_thread.Run([&] { second_client.reset(); });
}

}  // namespace carobbank
