// Writes the response to one request of an entry: with backpressure, with
// keep-alive comments while the request is queued, and never truncated without
// an error.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

class WorkResponseWriter
    : public std::enable_shared_from_this<WorkResponseWriter> {
 public:
  // `streamed`: the response consists of server-sent events, so that comments
  // and a problem can follow after its head.
  WorkResponseWriter(std::shared_ptr<HttpResponder> responder,
                     HttpHeaders extra_headers,
                     bool streamed)
      : responder(std::move(responder)),
        extra_headers(std::move(extra_headers)),
        streamed(streamed) {}

  // `closed` is called if the entry disconnects before the response ends.
  void OnClosed(std::function<void()> closed);
  // `drained` is called whenever every written byte has left this process.
  void OnDrained(std::function<void()> drained);

  // Adds a header to those that are sent with the response's head.
  void SetResponseHeader(std::string_view name, std::string value);

  bool Started() const { return this->started; }
  bool Streamed() const { return this->streamed; }
  // False while written bytes have not left this process.
  bool Drained() const { return !this->writing && this->pending.empty(); }

  void Start(int status, HttpHeaders headers);
  void Write(std::string_view bytes);
  // Sends a complete response without a body.
  void Send(int status, HttpHeaders headers);
  // Ends a response that was written completely.
  void Finish();
  // Ends the response with a problem: as the complete response if it has not
  // started, as the event `error` in a stream, else by closing the connection,
  // so that the truncated response doesn't look complete.
  void Fail(const Problem& problem);
  // Writes a comment line if nothing was written for a while, and starts the
  // stream first if needed. Has no effect on a response that is not streamed.
  void KeepAlive(MonotonicTime now);

 private:
  void Flush();
  void OnWritten(bool alive);

  std::shared_ptr<HttpResponder> responder;
  HttpHeaders extra_headers;
  bool streamed;
  bool started = false;
  // No further bytes are accepted.
  bool ended = false;
  // A chunk is being written; `pending` is empty otherwise.
  bool writing = false;
  std::string pending;
  bool wrote_since_keep_alive = false;
  // Time of the first KeepAlive() call after the last write; the epoch before
  // the first call.
  MonotonicTime last_write;
  std::function<void()> drained;
};

}  // namespace carobbank
