// Reads a sample's event stream and reports its outcome.

#include "sample_stream.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kEventsPerGap = 4;
constexpr std::size_t kMaxStreamBytes = 32 * 1024 * 1024;
// Comments and unfinished events cost time to read that other requests wait
// for.
constexpr std::size_t kMaxBytesWithoutEvent = 1024 * 1024;
// A response without events only explains a failure.
constexpr std::size_t kMaxFailureBytes = 64 * 1024;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kInternalServerError = 500;

}  // namespace

SampleStream::SampleStream(GatewayEnvironment& environment,
                           const FleetServer& server,
                           const BackendRequest& request,
                           SampleStreamHandlers handlers)
    : environment(environment),
      attempt(environment, server, request),
      handlers(std::move(handlers)),
      last_activity(this->attempt.Began()) {}

std::unique_ptr<SampleStream> SampleStream::Start(
    GatewayEnvironment& environment,
    const FleetServer& server,
    const BackendRequest& request,
    std::string_view last_event_id,
    SampleStreamHandlers handlers) {
  const WireHeaderNames& names = environment.dialect.HeaderNames();
  auto stream = std::unique_ptr<SampleStream>(
      new SampleStream(environment, server, request, std::move(handlers)));
  HttpClientRequest sent = RequestForServer(request, server, names);
  sent.max_body_bytes = kMaxStreamBytes;
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
  client_handlers.on_headers = [this](int response_status,
                                      const HttpHeaders& headers) {
    this->OnHeaders(response_status, headers);
  };
  client_handlers.on_body = [this](std::string_view bytes) {
    this->OnBody(bytes);
  };
  client_handlers.on_done = [this] { this->OnDone(); };
  client_handlers.on_failure = [this](const HttpClientFailure& failure) {
    this->OnFailure(failure);
  };
  return client_handlers;
}

void SampleStream::OnHeaders(int response_status, const HttpHeaders& headers) {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  this->last_activity = this->environment.clock.Now();
  this->attempt.OnHeaders(response_status, headers);
  this->status = response_status;
  this->not_run = IsNotRunResponse(response_status, headers, names);
  const auto echoed = FindHeader(headers, names.request_id);
  // A late response to an earlier request on the connection carries the id of
  // the earlier request.
  const bool of_another = echoed && *echoed != this->attempt.RequestId();
  if (of_another || (response_status == kOk && !echoed)) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              "the response is for another request id");
    return;
  }
  const bool is_output =
      IsEventStream(headers) && FindHeader(headers, names.signature);
  if (response_status == kOk && !is_output) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              "the response is no signed stream of events");
    return;
  }
  this->version = ParseInteger<std::int64_t>(
                      FindHeader(headers, names.weight_version).value_or(""))
                      .value_or(0);
}

void SampleStream::OnBody(std::string_view bytes) {
  if (!this->handlers.on_end) {
    return;
  }
  if (this->status != kOk) {
    this->failure_bytes += bytes.size();
    if (this->failure_bytes > kMaxFailureBytes) {
      ReportResponseLimit(this->environment.metrics,
                          {this->ServerId(), ResponseLimit::kBody});
      this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
                "the body of a response with status " +
                    std::to_string(this->status) + " exceeds its limit");
    }
    return;
  }
  const auto events = Capture([&] { return this->reader.Feed(bytes); });
  if (!events.Ok()) {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              events.GetError().message);
    return;
  }
  this->bytes_without_event =
      events.Value().empty() ? this->bytes_without_event + bytes.size() : 0;
  if (this->bytes_without_event > kMaxBytesWithoutEvent) {
    ReportResponseLimit(this->environment.metrics,
                        {this->ServerId(), ResponseLimit::kBody});
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
              "the server sent too much without an event");
    return;
  }
  for (const ServerSentEvent& event : events.Value()) {
    if (!this->DeliverEvent(event)) {
      return;
    }
  }
}

// The gap is averaged over several events, because single events may arrive
// together.
void SampleStream::RecordEventGap() {
  const MonotonicTime now = this->environment.clock.Now();
  this->event_times.push_back(now);
  if (this->event_times.size() <= kEventsPerGap) {
    return;
  }
  const auto span =
      std::chrono::duration_cast<Milliseconds>(now - this->event_times.front());
  this->event_times.pop_front();
  this->environment.loads.RecordEventGap(this->ServerId(), span / kEventsPerGap,
                                         now);
}

bool SampleStream::DeliverEvent(const ServerSentEvent& event) {
  if (++this->events == 1) {
    this->environment.loads.RecordFirstEvent(this->ServerId(),
                                             this->attempt.Elapsed(),
                                             this->environment.clock.Now());
  }
  this->last_activity = this->environment.clock.Now();
  this->RecordEventGap();
  const std::string_view field =
      this->environment.dialect.HeaderNames().weight_version_field;
  for (const ServerSentField& extension : event.extension_fields) {
    if (extension.name == field) {
      this->version =
          ParseInteger<std::int64_t>(extension.value).value_or(this->version);
    }
  }
  switch (this->handlers.on_event(event.data, event.id, this->version)) {
    case EventVerdict::kAccepted:
      return true;
    case EventVerdict::kRejected:
      this->End(SampleStreamOutcome::kBroken, SendOutcome::kRefused,
                "an event was rejected: its weight version is too old, or the "
                "job no longer exists");
      break;
    case EventVerdict::kOverrun:
      this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
                "the output is longer than the sample allows");
      break;
    case EventVerdict::kRepeated:
      this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed,
                "the server sent an event again");
      break;
  }
  return false;
}

void SampleStream::OnDone() {
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
              "the server did not run the sample");
    return;
  }
  if (this->status == kUnprocessable) {
    this->End(SampleStreamOutcome::kUnprocessable, SendOutcome::kAnswered,
              "the server responded with status 422");
    return;
  }
  if (this->status == kInternalServerError) {
    this->End(SampleStreamOutcome::kFailed, SendOutcome::kAnswered,
              "the server responded with status 500");
    return;
  }
  const std::string reason =
      "the server responded with status " + std::to_string(this->status);
  if (IsRejection(this->status)) {
    this->End(SampleStreamOutcome::kRejected, SendOutcome::kAnswered, reason);
  } else {
    this->End(SampleStreamOutcome::kBroken, SendOutcome::kFailed, reason);
  }
}

void SampleStream::OnFailure(const HttpClientFailure& failure) {
  const SampleStreamOutcome outcome = failure.send_state == SendState::kNotSent
                                          ? SampleStreamOutcome::kNotRun
                                          : SampleStreamOutcome::kBroken;
  this->End(outcome, SendOutcome::kFailed, failure.error.message);
}

void SampleStream::Abort(SendOutcome send_outcome, std::string_view reason) {
  this->End(SampleStreamOutcome::kBroken, send_outcome, reason);
}

void SampleStream::End(SampleStreamOutcome outcome,
                       SendOutcome send_outcome,
                       std::string_view reason) {
  if (!this->handlers.on_end) {
    return;
  }
  const bool completed = outcome == SampleStreamOutcome::kComplete ||
                         outcome == SampleStreamOutcome::kUnprocessable;
  this->attempt.End({send_outcome, outcome != SampleStreamOutcome::kNotRun,
                     this->events > 1, completed, this->status});
  const auto report = std::move(this->handlers.on_end);
  this->handlers.on_end = nullptr;
  // Destroys this stream.
  report(outcome, reason);
}

}  // namespace carobbank
