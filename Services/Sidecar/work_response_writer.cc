// Writes one chunk at a time and keep-alive comments, and ends the response
// complete, with an error event, or by closing the connection.

#include "Sidecar/work_response_writer.h"

#include <utility>

namespace carobbank {

namespace {

constexpr int kStatusOk = 200;
// Entries abort a stream after 15 s without data.
constexpr Milliseconds kKeepAliveInterval{4'000};
constexpr std::string_view kComment = ": waiting\n\n";

}  // namespace

void WorkResponseWriter::OnClosed(std::function<void()> closed) {
  this->responder->OnClosed(std::move(closed));
}

void WorkResponseWriter::OnDrained(std::function<void()> drained) {
  this->drained = std::move(drained);
}

void WorkResponseWriter::SetResponseHeader(std::string_view name,
                                           std::string value) {
  SetHeader(this->extra_headers, name, std::move(value));
}

void WorkResponseWriter::Start(int status, HttpHeaders headers) {
  if (this->started || this->ended) {
    return;
  }
  this->started = true;
  for (const HttpHeader& header : this->extra_headers) {
    SetHeader(headers, header.name, header.value);
  }
  this->responder->Start(status, std::move(headers));
}

void WorkResponseWriter::Write(std::string_view bytes) {
  if (this->ended || bytes.empty()) {
    return;
  }
  this->pending += bytes;
  this->wrote_since_keep_alive = true;
  this->Flush();
}

void WorkResponseWriter::Flush() {
  if (this->writing || this->pending.empty()) {
    return;
  }
  this->writing = true;
  std::string chunk = std::exchange(this->pending, std::string());
  this->responder->Write(std::move(chunk),
                         [self = this->shared_from_this()](bool alive) {
                           self->OnWritten(alive);
                         });
}

void WorkResponseWriter::OnWritten(bool alive) {
  this->writing = false;
  if (!alive) {
    this->pending.clear();
    this->ended = true;
    return;
  }
  if (!this->pending.empty()) {
    this->Flush();
    return;
  }
  if (this->ended) {
    this->responder->Finish();
    return;
  }
  if (this->drained) {
    this->drained();
  }
}

void WorkResponseWriter::Send(int status, HttpHeaders headers) {
  if (this->started || this->ended) {
    return;
  }
  this->ended = true;
  for (const HttpHeader& header : this->extra_headers) {
    SetHeader(headers, header.name, header.value);
  }
  this->responder->Send({status, std::move(headers), std::string()});
}

void WorkResponseWriter::Finish() {
  if (this->ended) {
    return;
  }
  this->ended = true;
  if (this->Drained()) {
    this->responder->Finish();
  }
}

void WorkResponseWriter::Fail(const Problem& problem) {
  if (this->ended) {
    return;
  }
  if (!this->started) {
    this->ended = true;
    HttpResponse response = problem.ToResponse();
    for (const HttpHeader& header : this->extra_headers) {
      SetHeader(response.headers, header.name, header.value);
    }
    this->responder->Send(std::move(response));
    return;
  }
  if (!this->streamed) {
    this->ended = true;
    this->responder->Abort();
    return;
  }
  this->Write(WriteServerSentEvent({"error", WriteJson(problem.ToJson())}));
  this->Finish();
}

void WorkResponseWriter::KeepAlive(MonotonicTime now) {
  if (!this->streamed || this->ended) {
    return;
  }
  const bool first = this->last_write == MonotonicTime();
  if (first || this->wrote_since_keep_alive) {
    this->wrote_since_keep_alive = false;
    this->last_write = now;
  }
  if (now - this->last_write < kKeepAliveInterval) {
    return;
  }
  this->last_write = now;
  this->Start(kStatusOk, {{"Content-Type", "text/event-stream"}});
  if (this->Drained()) {
    this->Write(kComment);
  }
}

}  // namespace carobbank
