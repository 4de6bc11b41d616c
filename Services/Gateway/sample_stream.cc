// Reading a sample's event stream and telling how it ended.

#include "sample_stream.h"

#include <utility>

namespace carobbank {

namespace {

constexpr int kEventsOfPace = 4;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kInternalServerError = 500;

}  // namespace

SampleStream::SampleStream(GatewayEnvironment& environment,
                           std::string server_id,
                           std::string request_id,
                           SampleStreamHandlers handlers)
    : environment(environment),
      account(environment, std::move(server_id)),
      request_id(std::move(request_id)),
      handlers(std::move(handlers)),
      last_news(this->account.Began()) {}

std::unique_ptr<SampleStream> SampleStream::Start(
    GatewayEnvironment& environment,
    const FleetServer& server,
    const BackendRequest& request,
    std::string_view last_event_id,
    SampleStreamHandlers handlers) {
  const WireHeaderNames& names = environment.dialect.HeaderNames();
  auto stream = std::unique_ptr<SampleStream>(new SampleStream(
      environment, server.id, request.request_id, std::move(handlers)));
  HttpClientRequest sent = RequestForServer(request, server, names);
  if (!last_event_id.empty()) {
    sent.headers.push_back(
        {std::string(names.last_event_id), std::string(last_event_id)});
  }
  stream->exchange =
      environment.client.Start(std::move(sent), stream->ClientHandlers());
  return stream;
}

HttpClientHandlers SampleStream::ClientHandlers() {
  HttpClientHandlers client_handlers;
  client_handlers.on_headers = [this](int answered,
                                      const HttpHeaders& headers) {
    this->TakeHeaders(answered, headers);
  };
  client_handlers.on_body = [this](std::string_view bytes) {
    this->TakeBody(bytes);
  };
  client_handlers.on_done = [this] { this->Done(); };
  client_handlers.on_failure = [this](const HttpClientFailure& failure) {
    this->Failed(failure);
  };
  return client_handlers;
}

void SampleStream::TakeHeaders(int answered, const HttpHeaders& headers) {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  this->last_news = this->environment.clock.Now();
  this->status = answered;
  this->not_run = IsNotRunResponse(answered, headers, names);
  const auto echoed = FindHeader(headers, names.request_id);
  if (answered == kOk && echoed != this->request_id) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              "the answer is another request's");
    return;
  }
  this->version = ParseInteger<std::int64_t>(
                      FindHeader(headers, names.weight_version).value_or(""))
                      .value_or(0);
}

void SampleStream::TakeBody(std::string_view bytes) {
  this->last_news = this->environment.clock.Now();
  if (this->status != kOk || !this->handlers.on_end) {
    return;
  }
  const auto events = Capture([&] { return this->reader.Feed(bytes); });
  if (!events.Ok()) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              events.GetError().message);
    return;
  }
  for (const ServerSentEvent& event : events.Value()) {
    if (!this->TakeEvent(event)) {
      this->End(SampleStreamOutcome::kBroken, SendOutcome::kRefused,
                "an event of an unusable version");
      return;
    }
  }
}

// The pace over several events: single ones may arrive together.
void SampleStream::NotePace() {
  const MonotonicTime now = this->environment.clock.Now();
  this->event_times.push_back(now);
  if (this->event_times.size() <= kEventsOfPace) {
    return;
  }
  const auto span =
      std::chrono::duration_cast<Milliseconds>(now - this->event_times.front());
  this->event_times.pop_front();
  this->environment.loads.RecordEventGap(this->ServerId(), span / kEventsOfPace,
                                         now);
}

bool SampleStream::TakeEvent(const ServerSentEvent& event) {
  this->begun = true;
  this->NotePace();
  const std::string_view field =
      this->environment.dialect.HeaderNames().weight_version_field;
  for (const ServerSentField& extension : event.extension_fields) {
    if (extension.name == field) {
      this->version =
          ParseInteger<std::int64_t>(extension.value).value_or(this->version);
    }
  }
  return this->handlers.on_event(event.data, event.id, this->version);
}

void SampleStream::Done() {
  if (this->status != kOk) {
    this->EndByStatus();
    return;
  }
  if (!this->reader.AtEventBoundary()) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              "the stream ended within an event");
    return;
  }
  this->End(SampleStreamOutcome::kComplete, SendOutcome::kAnswered, "");
}

void SampleStream::EndByStatus() {
  if (this->not_run) {
    this->End(SampleStreamOutcome::kNotRun,
              this->status == kMisdirected ? SendOutcome::kFailed
                                           : SendOutcome::kRefused,
              "the server did not run it");
    return;
  }
  if (this->status == kUnprocessable) {
    this->End(SampleStreamOutcome::kUnprocessable, SendOutcome::kAnswered,
              "the server answered 422");
    return;
  }
  if (this->status == kInternalServerError) {
    this->End(SampleStreamOutcome::kFailed, SendOutcome::kAnswered,
              "the server answered 500");
    return;
  }
  this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
            "the server answered " + std::to_string(this->status));
}

void SampleStream::Failed(const HttpClientFailure& failure) {
  const SampleStreamOutcome end = failure.send_state == SendState::kNotSent
                                      ? SampleStreamOutcome::kNotRun
                                      : SampleStreamOutcome::kBroken;
  this->End(end, SendOutcome::kFailed, failure.error.message);
}

void SampleStream::Abort(SendOutcome outcome, std::string_view reason) {
  this->End(SampleStreamOutcome::kBroken, outcome, reason);
}

void SampleStream::End(SampleStreamOutcome end,
                       SendOutcome outcome,
                       std::string_view reason) {
  if (!this->handlers.on_end) {
    return;
  }
  this->account.End(outcome);
  const auto report = std::move(this->handlers.on_end);
  this->handlers.on_end = nullptr;
  // Destroys this stream.
  report(end, reason);
}

}  // namespace carobbank
