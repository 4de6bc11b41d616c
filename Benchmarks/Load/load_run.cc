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

struct LoadRun::Call {
  MonotonicTime begun;
  MonotonicTime first_token;
  int status = 0;
  bool error_event = false;
  bool done_mark = false;
  std::uint64_t chunks = 0;
  // The last chunk, which tells how many tokens there were.
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
    this->started = SystemClock().Now();
    this->Tick();
  });
  this->loop.Run();
  return std::move(this->result);
}

void LoadRun::Tick() {
  this->ended.clear();
  const MonotonicTime now = SystemClock().Now();
  if (this->plan.requests_per_second > 0) {
    this->BeginDue(now);
  } else {
    this->FillUp();
  }
  if (!this->MayBegin(now) && this->calls.empty()) {
    this->result.measured_seconds =
        SecondsBetween(this->started + this->plan.warm_up,
                       this->started + this->plan.duration);
    this->loop.Stop();
    return;
  }
  this->timer = this->loop.CallAfter(kTick, [this] { this->Tick(); });
}

bool LoadRun::MayBegin(MonotonicTime now) const {
  return now < this->started + this->plan.duration &&
         this->begun < this->plan.max_requests;
}

void LoadRun::BeginDue(MonotonicTime now) {
  const double rate = this->plan.requests_per_second;
  while (this->MayBegin(now) && static_cast<double>(this->due) / rate <=
                                    SecondsBetween(this->started, now)) {
    const auto offset =
        std::chrono::duration<double>(static_cast<double>(this->due) / rate);
    const MonotonicTime due_time =
        this->started +
        std::chrono::duration_cast<MonotonicTime::duration>(offset);
    this->result.most_late_us =
        std::max(this->result.most_late_us, MicrosecondsBetween(due_time, now));
    ++this->due;
    if (this->calls.size() < this->plan.concurrency) {
      this->Begin(SystemClock().Now());
    } else {
      ++this->result.not_begun;
    }
  }
}

void LoadRun::FillUp() {
  MonotonicTime now = SystemClock().Now();
  while (this->MayBegin(now) && this->calls.size() < this->plan.concurrency) {
    this->Begin(now);
    now = SystemClock().Now();
  }
}

void LoadRun::Begin(MonotonicTime now) {
  const std::uint64_t id = this->begun;
  HttpClientRequest request = this->MakeRequest();
  ++this->begun;
  auto call = std::make_unique<Call>();
  call->begun = now;
  Call& kept = *call;
  this->calls.emplace(id, std::move(call));
  kept.exchange =
      this->client->Start(std::move(request), this->MakeHandlers(id));
}

HttpClientRequest LoadRun::MakeRequest() const {
  const std::uint64_t number = this->begun;
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
    this->calls.at(id)->status = status;
  };
  handlers.on_body = [this, id](std::string_view bytes) {
    this->TakeBody(id, bytes);
  };
  handlers.on_done = [this, id] {
    const Call& call = *this->calls.at(id);
    if (call.status != kStatusOk) {
      this->End(id, std::to_string(call.status));
      return;
    }
    if (call.error_event) {
      this->End(id, "error_event");
      return;
    }
    this->End(id, call.done_mark ? "whole" : "cut");
  };
  handlers.on_failure = [this, id](const HttpClientFailure& failure) {
    this->End(
        id, failure.send_state == SendState::kNotSent ? "unreachable" : "cut");
  };
  return handlers;
}

void LoadRun::TakeBody(std::uint64_t id, std::string_view bytes) {
  Call& call = *this->calls.at(id);
  if (call.status != kStatusOk) {
    return;
  }
  auto events = Capture([&] { return call.reader.Feed(bytes); });
  if (!events.Ok()) {
    call.error_event = true;
    return;
  }
  for (const ServerSentEvent& event : events.Value()) {
    this->TakeEvent(call, event);
  }
}

void LoadRun::TakeEvent(Call& call, const ServerSentEvent& event) {
  if (event.event == "error") {
    call.error_event = true;
    return;
  }
  if (event.data == "[DONE]") {
    call.done_mark = true;
    return;
  }
  if (call.chunks == 0) {
    call.first_token = SystemClock().Now();
  }
  ++call.chunks;
  call.last_chunk = event.data;
}

void LoadRun::End(std::uint64_t id, std::string outcome) {
  auto node = this->calls.extract(id);
  if (node.mapped()->begun >= this->started + this->plan.warm_up) {
    this->Measure(*node.mapped(), std::move(outcome));
  }
  this->ended.push_back(std::move(node.mapped()));
  if (this->plan.requests_per_second == 0) {
    this->loop.Post([this] { this->FillUp(); });
  }
}

void LoadRun::Measure(const Call& call, std::string outcome) {
  if (outcome == "whole") {
    const MonotonicTime now = SystemClock().Now();
    this->result.latencies.push_back(MicrosecondsBetween(call.begun, now));
    this->result.first_tokens.push_back(
        MicrosecondsBetween(call.begun, call.first_token));
    this->result.chunks += call.chunks;
    const auto chunk = Capture([&] { return ParseJson(call.last_chunk); });
    if (chunk.Ok()) {
      this->result.tokens +=
          static_cast<std::uint64_t>(JsonInteger(chunk.Value(), "token_to"));
    }
  }
  ++this->result.outcomes[std::move(outcome)];
}

}  // namespace carobbank
