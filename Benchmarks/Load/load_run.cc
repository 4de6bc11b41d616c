// See load_run.h.

#include "load_run.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kTick{1};
constexpr int kStatusOk = 200;

std::int64_t MicrosecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration_cast<std::chrono::microseconds>(to - from)
      .count();
}

double SecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

struct LoadRun::InFlightRequest {
  MonotonicTime started;
  MonotonicTime first_token;
  int status = 0;
  bool error_event = false;
  bool received_done = false;
  std::uint64_t chunks = 0;
  // Its token_to is the number of tokens of the output.
  std::string last_chunk;
  ServerSentEventReader reader;
  std::unique_ptr<HttpExchange> exchange;
};

LoadRun::LoadRun(LoadPlan plan) : plan(std::move(plan)) {
  HttpClientOptions options;
  options.max_idle_connections = this->plan.concurrency;
  this->client = HttpClient::Create(this->loop, options);
}

LoadRun::~LoadRun() = default;

LoadResult LoadRun::Run() {
  this->loop.Post([this] {
    this->run_started = SystemClock().Now();
    this->Tick();
  });
  this->loop.Run();
  return std::move(this->result);
}

void LoadRun::Tick() {
  this->finished_requests.clear();
  const MonotonicTime now = SystemClock().Now();
  if (this->plan.requests_per_second > 0) {
    this->StartDueRequests(now);
  } else {
    this->FillConcurrency();
  }
  if (!this->MayStartRequest(now) && this->in_flight_requests.empty()) {
    this->result.measured_seconds =
        SecondsBetween(this->run_started + this->plan.warm_up,
                       this->run_started + this->plan.duration);
    this->loop.Stop();
    return;
  }
  this->timer = this->loop.CallAfter(kTick, [this] { this->Tick(); });
}

bool LoadRun::MayStartRequest(MonotonicTime now) const {
  return now < this->run_started + this->plan.duration &&
         this->requests_started < this->plan.max_requests;
}

void LoadRun::StartDueRequests(MonotonicTime now) {
  const double rate = this->plan.requests_per_second;
  while (this->MayStartRequest(now) &&
         static_cast<double>(this->due_requests) / rate <=
             SecondsBetween(this->run_started, now)) {
    const auto offset = std::chrono::duration<double>(
        static_cast<double>(this->due_requests) / rate);
    const MonotonicTime due_time =
        this->run_started +
        std::chrono::duration_cast<MonotonicTime::duration>(offset);
    this->result.most_late_us =
        std::max(this->result.most_late_us, MicrosecondsBetween(due_time, now));
    ++this->due_requests;
    if (this->in_flight_requests.size() < this->plan.concurrency) {
      this->StartRequest(SystemClock().Now());
    } else {
      ++this->result.not_begun;
    }
  }
}

void LoadRun::FillConcurrency() {
  MonotonicTime now = SystemClock().Now();
  while (this->MayStartRequest(now) &&
         this->in_flight_requests.size() < this->plan.concurrency) {
    this->StartRequest(now);
    now = SystemClock().Now();
  }
}

void LoadRun::StartRequest(MonotonicTime now) {
  const std::uint64_t id = this->requests_started;
  HttpClientRequest request = this->MakeRequest();
  ++this->requests_started;
  auto new_request = std::make_unique<InFlightRequest>();
  new_request->started = now;
  InFlightRequest& started_request = *new_request;
  this->in_flight_requests.emplace(id, std::move(new_request));
  started_request.exchange =
      this->client->Start(std::move(request), this->MakeHandlers(id));
}

HttpClientRequest LoadRun::MakeRequest() const {
  const std::uint64_t number = this->requests_started;
  Json::Value body;
  body["prompt"] = this->plan.prompts[number % this->plan.prompts.size()];
  body["max_tokens"] = Json::UInt64(this->plan.max_tokens);
  body["stream"] = true;
  body["seed"] = Json::UInt64(this->plan.seed + number);
  HttpClientRequest request;
  request.method = "POST";
  request.url =
      this->plan.urls[number % this->plan.urls.size()] + "/v1/completions";
  request.timeout = this->plan.request_timeout;
  request.headers.push_back({"Content-Type", "application/json"});
  if (this->plan.direct) {
    body["model"] = this->plan.model;
    body["attempt_id"] =
        std::to_string(this->plan.seed) + "-" + std::to_string(number);
  } else {
    body["service"] = this->plan.service;
    request.headers.push_back({"Authorization", "Bearer " + this->plan.token});
  }
  request.body = WriteJson(body);
  return request;
}

HttpClientHandlers LoadRun::MakeHandlers(std::uint64_t id) {
  HttpClientHandlers handlers;
  handlers.on_headers = [this, id](int status, const HttpHeaders&) {
    this->in_flight_requests.at(id)->status = status;
  };
  handlers.on_body = [this, id](std::string_view bytes) {
    this->HandleBody(id, bytes);
  };
  handlers.on_done = [this, id] {
    const InFlightRequest& request = *this->in_flight_requests.at(id);
    if (request.status != kStatusOk) {
      this->FinishRequest(id, std::to_string(request.status));
      return;
    }
    if (request.error_event) {
      this->FinishRequest(id, "error_event");
      return;
    }
    this->FinishRequest(id, request.received_done ? "whole" : "cut");
  };
  handlers.on_failure = [this, id](const HttpClientFailure& failure) {
    this->FinishRequest(
        id, failure.send_state == SendState::kNotSent ? "unreachable" : "cut");
  };
  return handlers;
}

void LoadRun::HandleBody(std::uint64_t id, std::string_view bytes) {
  InFlightRequest& request = *this->in_flight_requests.at(id);
  if (request.status != kStatusOk) {
    return;
  }
  auto events = Capture([&] { return request.reader.Feed(bytes); });
  if (!events.Ok()) {
    request.error_event = true;
    return;
  }
  for (const ServerSentEvent& event : events.Value()) {
    this->HandleEvent(request, event);
  }
}

void LoadRun::HandleEvent(InFlightRequest& request,
                          const ServerSentEvent& event) {
  if (event.event == "error") {
    request.error_event = true;
    return;
  }
  if (event.data == "[DONE]") {
    request.received_done = true;
    return;
  }
  if (request.chunks == 0) {
    request.first_token = SystemClock().Now();
  }
  ++request.chunks;
  request.last_chunk = event.data;
}

void LoadRun::FinishRequest(std::uint64_t id, std::string outcome) {
  auto node = this->in_flight_requests.extract(id);
  if (node.mapped()->started >= this->run_started + this->plan.warm_up) {
    this->RecordResult(*node.mapped(), std::move(outcome));
  }
  this->finished_requests.push_back(std::move(node.mapped()));
  if (this->plan.requests_per_second == 0) {
    this->loop.Post([this] { this->FillConcurrency(); });
  }
}

void LoadRun::RecordResult(const InFlightRequest& request,
                           std::string outcome) {
  if (outcome == "whole") {
    const MonotonicTime now = SystemClock().Now();
    this->result.latencies.push_back(MicrosecondsBetween(request.started, now));
    this->result.first_tokens.push_back(
        MicrosecondsBetween(request.started, request.first_token));
    this->result.chunks += request.chunks;
    const auto chunk = Capture([&] { return ParseJson(request.last_chunk); });
    if (chunk.Ok()) {
      this->result.tokens +=
          static_cast<std::uint64_t>(JsonInteger(chunk.Value(), "token_to"));
    }
  }
  ++this->result.outcomes[std::move(outcome)];
}

}  // namespace carobbank
