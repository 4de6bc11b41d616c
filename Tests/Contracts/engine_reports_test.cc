// Tests the reports of the engine's stand-in, read through the HTTP adapter:
// cache events contain the prefix hash that routing uses, and the load report
// follows the batch.

#include <string>

#include "LibPlatform/platform.h"
#include "Support/stand_in_host.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::string_view kImmediateReports =
    R"({"token_interval_us": 100, "prefill_us_per_token": 0,
        "load_report_ms": 1, "cache_event_delay_ms": 1,
        "cache_event_gap": 0})";

class ReportingEngine {
 public:
  ReportingEngine()
      : engine(CreateHttpEngineControl(this->host.Client(), this->host.Url())) {
  }

  StandInHost& Host() { return this->host; }

  std::future<Outcome<HttpResponse>> Begin(const std::string& prompt) {
    Json::Value body;
    body["model"] = "model";
    body["attempt_id"] = "attempt";
    body["prompt"] = prompt;
    body["max_tokens"] = 100'000'000;
    return this->host.BeginFetch("POST", "/v1/completions", WriteJson(body));
  }

  CacheEvents ReadCacheEvents(std::uint64_t from) {
    const auto page = this->host.Thread().Await<Outcome<CacheEvents>>(
        [&](auto done) { this->engine->ReadCacheEvents(from, done); });
    return page.Value();
  }

  EngineLoad ReadLoad() {
    const auto load = this->host.Thread().Await<Outcome<EngineLoad>>(
        [&](auto done) { this->engine->ReadLoad(done); });
    return load.Value();
  }

  void Cancel() {
    this->host.Thread().Run([this] { this->engine->Cancel("attempt"); });
  }

 private:
  StandInHost host{"engine", kImmediateReports};
  std::unique_ptr<EngineControl> engine;
};

}  // namespace

TEST_GROUP(EngineReports){};

TEST(EngineReports, CacheEventsNameThePromptsPrefix) {
  ReportingEngine engine;
  const std::string prompt = "length=1 " + std::string(600, 'a');
  CHECK_TRUE(LoopThread::Finish(engine.Begin(prompt)).Ok());
  CacheEvents page = engine.ReadCacheEvents(0);
  while (page.events.empty()) {
    page = engine.ReadCacheEvents(0);
  }
  CHECK_EQUAL(1U, page.events.size());
  CHECK_TRUE(page.events[0].stored);
  CHECK_EQUAL(FastHash(prompt.substr(0, kCachePrefixCharacters)),
              page.events[0].prefix_hash);
  CHECK_EQUAL(0U, engine.ReadCacheEvents(1).events.size());
}

TEST(EngineReports, LoadFollowsTheBatchUntilCancelled) {
  ReportingEngine engine;
  auto response = engine.Begin("length=100000000");
  while (engine.ReadLoad().running == 0) {
  }
  CHECK_TRUE(engine.ReadLoad().cache_tokens_used > 0);
  engine.Cancel();
  const auto cancelled = LoopThread::Finish(std::move(response));
  CHECK_EQUAL(409, cancelled.Value().status);
  while (engine.ReadLoad().running > 0) {
  }
}

}  // namespace carobbank
