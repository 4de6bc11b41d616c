// The stand-in engine over HTTP: streams, resumption, labels across swaps,
// cancelling and its faults. Nothing depends on how fast it runs.

#include <string>

#include "StandIns/completion_stream.h"
#include "StandIns/stand_ins.h"
#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

// Steps take a millisecond, so that tests wait for events and not for time.
constexpr std::string_view kFast =
    R"({"token_interval_us": 100, "token_interval_per_sequence_us": 0,
        "prefill_us_per_token": 0, "load_ms": 1, "crash_down_ms": 1})";
// Longer than any test lets it run.
constexpr std::uint64_t kEndless = 100'000'000;

struct Completion {
  std::string attempt_id = "attempt";
  std::string prompt = "length=10 sea state";
  std::uint64_t max_tokens = kEndless;
  bool streams = true;
  std::string resumed_text;
};

Completion Attempt(std::string attempt_id,
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
  body["stream"] = completion.streams;
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

using PendingAnswer = std::future<Outcome<HttpResponse>>;

PendingAnswer Begin(StandInHost& host, const Completion& completion) {
  return host.BeginFetch("POST", "/v1/completions", BodyOf(completion));
}

CompletionStream Finish(PendingAnswer answer) {
  const auto outcome = LoopThread::Finish(std::move(answer));
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

// Waits until the attempt has tokens of `version`.
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

void Order(StandInHost& host, std::uint64_t version, std::string_view mode) {
  Json::Value order;
  order["order_id"] = "to " + std::to_string(version);
  order["fencing"] = 1;
  order["kind"] = "load_version";
  order["model"] = "model";
  order["version"] = Json::UInt64{version};
  order["mode"] = std::string(mode);
  const auto answer = host.Fetch("POST", "/orders", WriteJson(order));
  CHECK_EQUAL(202, answer.Value().status);
}

}  // namespace

TEST_GROUP(EngineStandIn){};

TEST(EngineStandIn, StreamsWholeLabelledAnswers) {
  StandInHost host("engine", kFast);
  const CompletionStream stream = Complete(host, {});
  CHECK_TRUE(stream.is_done);
  CHECK_TRUE(stream.labels_are_truthful);
  CHECK_EQUAL(10U, CountTokens(stream.text).value());
  CHECK_EQUAL(10U, stream.completion_tokens);
  STRCMP_EQUAL("stop", stream.finish_reason.c_str());
  STRCMP_EQUAL("attempt", stream.id.c_str());
}

TEST(EngineStandIn, ChunksHoldSeveralTokensWhenAsked) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"chunk_tokens": 4})");
  const auto answer = LoopThread::Finish(Begin(host, {}));
  const std::string& body = answer.Value().body;
  const CompletionStream stream = ReadCompletionStream(body);
  CHECK_TRUE(stream.labels_are_truthful);
  CHECK_EQUAL(10U, CountTokens(stream.text).value());
  // Three chunks and [DONE].
  std::size_t events = 0;
  for (std::size_t at = body.find("data:"); at != std::string::npos;
       at = body.find("data:", at + 1)) {
    ++events;
  }
  CHECK_EQUAL(4U, events);
}

TEST(EngineStandIn, WholeAnswersHaveTheSameTokens) {
  StandInHost host("engine", kFast);
  Completion completion;
  completion.streams = false;
  const auto answer = LoopThread::Finish(Begin(host, completion));
  const Json::Value body =
      Capture([&] { return ParseJson(answer.Value().body); }).Value();
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

TEST(EngineStandIn, GoesOnAfterAPartialAnswer) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"truncate_answers": 1})");
  const CompletionStream partial = Complete(host, {});
  CHECK_FALSE(partial.is_done);
  CHECK_EQUAL(5U, CountTokens(partial.text).value());
  Completion rest;
  rest.attempt_id = "second attempt";
  rest.resumed_text = partial.text;
  const CompletionStream resumed = Complete(host, rest);
  CHECK_TRUE(resumed.is_done);
  CHECK_TRUE(resumed.labels_are_truthful);
  CHECK_EQUAL(5U, resumed.spans.front().from);
  CHECK_EQUAL(10U, CountTokens(partial.text + resumed.text).value());
  CHECK_EQUAL(10U, resumed.completion_tokens);
}

TEST(EngineStandIn, AWholeAnswerResumedEndsAtOnce) {
  StandInHost host("engine", kFast);
  const CompletionStream whole = Complete(host, {});
  Completion again;
  again.resumed_text = whole.text;
  const CompletionStream resumed = Complete(host, again);
  CHECK_TRUE(resumed.is_done);
  STRCMP_EQUAL("", resumed.text.c_str());
}

TEST(EngineStandIn, RefusesAPartialAnswerWithAHole) {
  StandInHost host("engine", kFast);
  Completion completion;
  completion.resumed_text = " 0@1 2@1";
  const auto answer = LoopThread::Finish(Begin(host, completion));
  CHECK_EQUAL(400, answer.Value().status);
}

TEST(EngineStandIn, LabelsFollowAnInterruptingSwap) {
  StandInHost host("engine", kFast);
  PendingAnswer answer = Begin(host, Attempt("a", EndlessPrompt()));
  WaitForTokensOf(host, "a", 1);
  Order(host, 2, "interrupt");
  WaitForTokensOf(host, "a", 2);
  Cancel(host, "a");
  const CompletionStream stream = Finish(std::move(answer));
  CHECK_TRUE(stream.labels_are_truthful);
  CHECK_EQUAL(2U, stream.spans.size());
  CHECK_EQUAL(1U, stream.spans[0].version);
  CHECK_EQUAL(2U, stream.spans[1].version);
  CHECK_TRUE(CountTokens(stream.text).has_value());
}

TEST(EngineStandIn, LabelsFollowAWaitingSwap) {
  StandInHost host("engine", kFast);
  PendingAnswer before = Begin(host, Attempt("before", EndlessPrompt()));
  WaitForTokensOf(host, "before", 1);
  Order(host, 2, "wait");
  Cancel(host, "before");
  WaitForVersion(host, 2);
  const CompletionStream old_stream = Finish(std::move(before));
  CHECK_TRUE(old_stream.labels_are_truthful);
  CHECK_EQUAL(1U, old_stream.spans.size());
  CHECK_EQUAL(1U, old_stream.spans[0].version);
  const CompletionStream new_stream = Complete(host, Attempt("after"));
  CHECK_TRUE(new_stream.labels_are_truthful);
  CHECK_EQUAL(2U, new_stream.spans[0].version);
}

TEST(EngineStandIn, CancellingFreesTheSlot) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"max_batch": 1})");
  PendingAnswer first = Begin(host, Attempt("first", EndlessPrompt()));
  WaitForTokensOf(host, "first", 1);
  PendingAnswer second = Begin(host, Attempt("second"));
  Cancel(host, "first");
  CHECK_TRUE(Finish(std::move(second)).is_done);
  const CompletionStream cancelled = Finish(std::move(first));
  CHECK_FALSE(cancelled.is_done);
  STRCMP_EQUAL("cancelled", cancelled.finish_reason.c_str());
  STRCMP_EQUAL("cancelled",
               RecordOf(host, "first")["ended"].asString().c_str());
}

TEST(EngineStandIn, RefusesAnAttemptThatRuns) {
  StandInHost host("engine", kFast);
  PendingAnswer first = Begin(host, Attempt("same", EndlessPrompt()));
  WaitForTokensOf(host, "same", 1);
  const auto second = LoopThread::Finish(Begin(host, Attempt("same")));
  CHECK_EQUAL(409, second.Value().status);
  Cancel(host, "same");
  LoopThread::Finish(std::move(first));
}

TEST(EngineStandIn, CrashesOnItsMarkerAndComesBack) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"crash_marker": "FATAL"})");
  PendingAnswer other = Begin(host, Attempt("other", EndlessPrompt()));
  WaitForTokensOf(host, "other", 1);
  PendingAnswer fatal = Begin(host, Attempt("fatal", "a FATAL prompt"));
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
  CHECK_TRUE(Complete(host, Attempt("after")).is_done);
}

TEST(EngineStandIn, CutsAnswersWhenTold) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"cut_answers": 1})");
  CheckError(ErrorKind::kOutcomeUnknown, LoopThread::Finish(Begin(host, {})));
  STRCMP_EQUAL("cut", RecordOf(host, "attempt")["ended"].asString().c_str());
}

TEST(EngineStandIn, CrossesAnswersWhenTold) {
  StandInHost host("engine", kFast);
  PendingAnswer first = Begin(host, Attempt("first", EndlessPrompt()));
  WaitForTokensOf(host, "first", 1);
  host.ControlDirectly(R"({"cross_answers": 1})");
  PendingAnswer second = Begin(host, Attempt("second"));
  const CompletionStream crossed = Finish(std::move(first));
  STRCMP_EQUAL("second", crossed.id.c_str());
  Cancel(host, "first");
  STRCMP_EQUAL("first", Finish(std::move(second)).id.c_str());
}

TEST(EngineStandIn, SilencedConnectionsStaySilentWhileNewOnesWork) {
  StandInHost host("engine", kFast);
  host.ControlDirectly(R"({"max_batch": 1})");
  PendingAnswer blocking = Begin(host, Attempt("blocking", EndlessPrompt()));
  WaitForTokensOf(host, "blocking", 1);
  PendingAnswer silenced = Begin(host, Attempt("silenced"));
  while (RecordOf(host, "silenced").isNull()) {
  }
  host.ControlDirectly(R"({"silence_open_connections": true})");
  LoopThread elsewhere;
  std::unique_ptr<HttpClient> fresh;
  elsewhere.Run([&] { fresh = HttpClient::Create(elsewhere.Loop()); });
  const auto cancelled = elsewhere.Await<Outcome<HttpResponse>>([&](auto done) {
    HttpClientRequest request;
    request.method = "POST";
    request.url = host.Url() + "/v1/cancel";
    request.body = R"({"attempt_id": "blocking"})";
    fresh->Fetch(request, done);
  });
  CHECK_EQUAL(200, cancelled.Value().status);
  while (RecordOf(host, "silenced")["ended"] != "stop") {
  }
  const auto state = silenced.wait_for(std::chrono::seconds(0));
  CHECK_TRUE(state == std::future_status::timeout);
  elsewhere.Run([&] { fresh.reset(); });
}

}  // namespace carobbank
