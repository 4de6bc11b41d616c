// Forwards a response and determines how it ended.

#include "Sidecar/work_stream.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "Sidecar/problems.h"

namespace carobbank {

namespace {

constexpr int kStatusOk = 200;
// A generating engine never pauses this long between two tokens, not even while
// it changes weights. Ending a stream too early costs one resumption.
constexpr Milliseconds kTimeoutAfterToken{10'000};
// Before its first token a generation may also wait in the engine's queue.
constexpr Milliseconds kTimeoutBeforeToken{30'000};
// Time after the deadline until a response that is not streamed is aborted.
constexpr Milliseconds kDeadlineGrace{1'000};
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Not forwarded, because the sidecar frames the response itself.
constexpr std::array<std::string_view, 7> kFramingHeaders = {
    "connection", "keep-alive",        "trailer", "content-length",
    "upgrade",    "transfer-encoding", "date"};

bool IsFramingHeader(const HttpHeader& header) {
  std::string name = header.name;
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return std::find(kFramingHeaders.begin(), kFramingHeaders.end(), name) !=
         kFramingHeaders.end();
}

}  // namespace

WorkStream::WorkStream(Backend& backend,
                       std::shared_ptr<const WorkRequest> work,
                       std::shared_ptr<WorkResponseWriter> response,
                       WorkStreamHandlers handlers)
    : backend(backend),
      work(std::move(work)),
      response(std::move(response)),
      handlers(std::move(handlers)) {}

void WorkStream::Begin() {
  // This object owns the exchange, but a handler may drop the last reference to
  // this object while the handler runs.
  const auto guarded = [weak = this->weak_from_this()](auto method) {
    return [weak, method](auto&&... arguments) {
      if (const auto self = weak.lock(); self && !self->ended) {
        ((*self).*method)(arguments...);
      }
    };
  };
  HttpClientHandlers client_handlers;
  client_handlers.on_headers = guarded(&WorkStream::OnHeaders);
  client_handlers.on_body = guarded(&WorkStream::OnBody);
  client_handlers.on_done = guarded(&WorkStream::OnDone);
  client_handlers.on_failure = guarded(&WorkStream::OnFailure);
  this->response->OnDrained([weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->paused && self->exchange) {
      self->paused = false;
      self->exchange->Resume();
    }
  });
  this->exchange = this->backend.Start(*this->work, std::move(client_handlers));
}

void WorkStream::Stop(const Problem& problem) {
  if (this->ended) {
    return;
  }
  this->backend.Cancel(this->work->attempt_id);
  this->response->Fail(problem);
  this->End(WorkStreamOutcome::kStopped, problem);
}

void WorkStream::CheckTimeouts(MonotonicTime now) {
  if (this->ended) {
    return;
  }
  if (!this->work->streamed) {
    // The entry has timed out by then, possibly without closing its connection.
    if (now - kDeadlineGrace >= this->work->deadline) {
      this->Stop(BackendFailedProblem("no complete response by the deadline"));
    }
    return;
  }
  if (this->progressed || this->paused) {
    this->progressed = false;
    this->last_progress = now;
    return;
  }
  const Milliseconds limit =
      this->has_token ? kTimeoutAfterToken : kTimeoutBeforeToken;
  if (now - this->last_progress >= limit) {
    this->Stop(BackendFailedProblem(
        "no data from the backend server within the stream timeout"));
  }
}

void WorkStream::OnHeaders(int status, const HttpHeaders& headers) {
  this->status = status;
  std::copy_if(
      headers.begin(), headers.end(),
      std::back_inserter(this->response_headers),
      [](const HttpHeader& header) { return !IsFramingHeader(header); });
  this->bodiless = this->work->forward.method == "HEAD" ||
                   status == kNoContent || status == kNotModified;
  if (this->bodiless) {
    return;
  }
  const bool events =
      this->work->streamed && status == kStatusOk && IsEventStream(headers);
  if (events) {
    this->inspector.emplace(this->work->attempt_id, this->work->versions,
                            this->work->resumed_tokens);
  } else if (this->response->Started()) {
    // A keep-alive comment has started an event stream, so a response of
    // another kind can't follow.
    this->Stop(BackendFailedProblem(
        "the backend server sent no event stream; status " +
        std::to_string(status)));
    return;
  }
  this->response->Start(status, this->response_headers);
}

void WorkStream::OnBody(std::string_view bytes) {
  this->progressed = true;
  if (this->bodiless) {
    return;
  }
  if (this->inspector) {
    this->ForwardInspected(bytes);
  } else {
    this->ForwardBytes(bytes);
  }
}

void WorkStream::ForwardInspected(std::string_view bytes) {
  InspectedBytes inspected = this->inspector->Feed(bytes);
  if (!inspected.accepted.empty()) {
    this->ForwardBytes(inspected.accepted);
  }
  if (inspected.tokens > 0) {
    this->has_token = true;
    this->handlers.on_tokens(inspected.tokens, inspected.version);
  }
  if (inspected.problem) {
    this->Stop(*inspected.problem);
  }
}

void WorkStream::ForwardBytes(std::string_view bytes) {
  this->response->Write(bytes);
  if (!this->response->Drained() && !this->paused) {
    this->paused = true;
    this->exchange->Pause();
  }
}

void WorkStream::OnDone() {
  if (this->bodiless) {
    this->response->Send(this->status, this->response_headers);
  } else if (const auto problem =
                 this->inspector ? this->inspector->End() : std::nullopt) {
    this->End(WorkStreamOutcome::kBroken, problem);
    return;
  }
  this->response->Finish();
  this->End(WorkStreamOutcome::kComplete, std::nullopt);
}

void WorkStream::OnFailure(const HttpClientFailure& failure) {
  const std::string detail = failure.error.message;
  if (failure.send_state == SendState::kNotSent) {
    const Problem problem = BackendUnreachableProblem(detail);
    this->response->Fail(problem);
    this->End(WorkStreamOutcome::kUnreachable, problem);
    return;
  }
  this->backend.Cancel(this->work->attempt_id);
  this->End(WorkStreamOutcome::kBroken, BackendFailedProblem(detail));
}

void WorkStream::End(WorkStreamOutcome outcome,
                     std::optional<Problem> problem) {
  this->ended = true;
  this->exchange.reset();
  this->handlers.on_end(outcome, std::move(problem));
}

}  // namespace carobbank
