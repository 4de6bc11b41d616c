// A WorkDispatcher between a fake entry and a fake backend server.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Sidecar/work_dispatcher.h"
#include "Support/fake_engine_control.h"
#include "Support/manual_clock.h"
#include "fakes.h"

namespace carobbank {

inline ServiceDocument TestDocument(std::string name,
                                    ServiceClass service_class) {
  ServiceDocument document;
  document.name = std::move(name);
  document.pool = "pool";
  document.model = "m";
  document.service_class = service_class;
  return document;
}

// How a request differs from a plain training completion.
struct TestWork {
  std::string service = "training";
  std::string attempt = "a1";
  std::string versions = "";
  std::string digest = "";
  std::int64_t budget_ms = 60'000;
  std::int64_t deadline_ms = 0;
  bool exclusive = false;
  bool duplicate = false;
  std::uint64_t resumed_tokens = 0;
};

class WorkDispatcherHarness {
 public:
  explicit WorkDispatcherHarness(std::uint32_t max_running = 2,
                                 bool is_engine = true)
      : backend(this->client,
                is_engine ? &this->engine : nullptr,
                "http://backend"),
        work_dispatcher(this->Environment(), Options(max_running)) {
    this->engine.state.version = 7;
    this->engine.state.incarnation = 1;
    this->snapshot.configuration = TestConfiguration();
    this->snapshot.engine = this->engine.state;
    this->Apply();
  }

  void Apply() {
    this->work_dispatcher.Apply(
        std::make_shared<const SidecarControlSnapshot>(this->snapshot));
  }

  std::shared_ptr<ReceivedWorkResponse> Send(const TestWork& work) {
    auto response = std::make_shared<ReceivedWorkResponse>();
    this->work_dispatcher.Admit(
        RequestOf(work), std::make_shared<PausableFakeResponder>(response));
    return response;
  }

  BackendExchange& Exchange(std::size_t index) {
    return *this->client.exchanges.at(index);
  }

  // Sends the head of a streamed response.
  void Head(std::size_t index) {
    this->Exchange(index).handlers.on_headers(
        200, {{"Content-Type", "text/event-stream"}});
  }
  void Chunk(std::size_t index,
             const std::string& attempt,
             std::uint64_t token,
             std::uint64_t version = 7) {
    this->Body(index, ChunkText(attempt, token, version));
  }
  void Body(std::size_t index, std::string_view bytes) {
    this->Exchange(index).handlers.on_body(bytes);
  }
  // Sends the rest of a valid response.
  void EndNormally(std::size_t index, const std::string& attempt) {
    this->Body(index, LastChunkText(attempt));
    this->Body(index, "data: [DONE]\n\n");
    this->Exchange(index).handlers.on_done();
  }
  void Break(std::size_t index, SendState state) {
    this->Exchange(index).handlers.on_failure(
        {state, Error{ErrorKind::kOutcomeUnknown, "cut", "ask again"}});
  }

  static std::string ChunkText(const std::string& attempt,
                               std::uint64_t token,
                               std::uint64_t version) {
    Json::Value chunk;
    chunk["id"] = attempt;
    chunk["token_from"] = Json::UInt64(token);
    chunk["token_to"] = Json::UInt64(token + 1);
    chunk["weight_version"] = Json::UInt64(version);
    chunk["choices"][0]["text"] = " t";
    chunk["choices"][0]["finish_reason"] = Json::nullValue;
    return WriteServerSentEvent({"", WriteJson(chunk)});
  }
  static std::string LastChunkText(const std::string& attempt,
                                   std::uint64_t token = 1) {
    Json::Value chunk;
    chunk["id"] = attempt;
    chunk["token_from"] = Json::UInt64(token);
    chunk["token_to"] = Json::UInt64(token);
    chunk["choices"][0]["text"] = "";
    chunk["choices"][0]["finish_reason"] = "stop";
    return WriteServerSentEvent({"", WriteJson(chunk)});
  }

  ManualClock clock;
  FakeBackendClient client;
  FakeEngineControl engine;
  Backend backend;
  EventTimeline timeline{this->clock, TimelineOptions()};
  MetricRegistry registry{this->clock};
  std::vector<CrashEvidence> crash_reports;
  MonotonicTime wake = MonotonicTime::max();
  SidecarControlSnapshot snapshot;
  WorkDispatcher work_dispatcher;

 private:
  static WorkDispatcherOptions Options(std::uint32_t max_running) {
    WorkDispatcherOptions options;
    options.instance = "server-1";
    options.pool = "pool";
    options.max_running = max_running;
    options.scheduler.limits.live_headroom = 0;
    return options;
  }

  WorkDispatcherEnvironment Environment() {
    return {this->clock, this->backend,
            WorkRecorder(this->timeline, this->registry, "server-1"),
            [this](MonotonicTime time) { this->wake = time; },
            [this](const CrashEvidence& evidence) {
              this->crash_reports.push_back(evidence);
            }};
  }

  static std::shared_ptr<const ConfigurationState> TestConfiguration() {
    auto state = std::make_shared<ConfigurationState>();
    state->offset = 5;
    const ServiceDocument documents[] = {
        TestDocument("live", ServiceClass::kLive),
        TestDocument("training", ServiceClass::kTraining),
        TestDocument("background", ServiceClass::kBackground)};
    for (const ServiceDocument& document : documents) {
      auto service = std::make_shared<ServiceInForce>();
      service->document = document;
      state->services[document.name] = std::move(service);
    }
    return state;
  }

  HttpRequest RequestOf(const TestWork& work) const {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    Json::Value body;
    body["prompt"] = "Dock three, sea state four.";
    body["stream"] = true;
    if (work.resumed_tokens > 0) {
      body["resume"]["tokens"] = Json::UInt64(work.resumed_tokens);
    }
    request.body = WriteJson(body);
    request.headers = {
        {"X-Carobbank-Service", work.service},
        {"X-Carobbank-Attempt", work.attempt},
        {"X-Carobbank-Versions", work.versions},
        {"X-Carobbank-Digest", work.digest},
        {"X-Carobbank-Budget", std::to_string(work.budget_ms)},
        {"X-Carobbank-Deadline", std::to_string(work.deadline_ms)},
        {"X-Carobbank-Alone", work.exclusive ? "1" : "0"},
        {"X-Carobbank-Duplicate", work.duplicate ? "1" : "0"},
        {"Accept", "text/event-stream"}};
    return request;
  }
};

}  // namespace carobbank
