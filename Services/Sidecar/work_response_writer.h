// The answer to one piece of work, towards the entry: written with
// back-pressure, kept alive while the work waits, and never cut in silence.

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
  // `streamed`: server-sent events, so that problems and comments can follow
  // after the answer's beginning.
  WorkResponseWriter(std::shared_ptr<HttpResponder> responder,
                     HttpHeaders extra_headers,
                     bool streamed)
      : responder(std::move(responder)),
        extra_headers(std::move(extra_headers)),
        streamed(streamed) {}

  // `closed` is called when the entry goes away before the end.
  void OnClosed(std::function<void()> closed);
  // Called whenever everything written has left this process.
  void OnDrained(std::function<void()> drained);

  // Sent with the answer's head, beside the headers given then.
  void SetResponseHeader(std::string_view name, std::string value);

  bool Started() const { return this->started; }
  bool Streamed() const { return this->streamed; }
  // False while bytes are waiting to leave.
  bool Drained() const { return !this->writing && this->pending.empty(); }

  void Start(int status, HttpHeaders headers);
  void Write(std::string_view bytes);
  // A whole answer without a body.
  void Send(int status, HttpHeaders headers);
  // The whole answer was written.
  void Finish();
  // Ends with a problem: as the whole answer if nothing was started, as the
  // event `error` in a stream, else by closing the connection, so that the cut
  // answer doesn't look whole.
  void Fail(const Problem& problem);
  // A comment line if nothing was written for a while; starts the stream if
  // need be. Nothing for answers that are not streamed.
  void KeepAlive(MonotonicTime now);

 private:
  void Flush();
  void OnWritten(bool alive);

  std::shared_ptr<HttpResponder> responder;
  HttpHeaders extra_headers;
  bool streamed;
  bool started = false;
  // Nothing may be written any more.
  bool ended = false;
  // A chunk is on its way; only then may `pending` hold bytes.
  bool writing = false;
  std::string pending;
  bool wrote_since_keep_alive = false;
  // As KeepAlive() saw it; the epoch before its first call.
  MonotonicTime last_write;
  std::function<void()> drained;
};

}  // namespace carobbank
