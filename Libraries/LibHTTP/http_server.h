// An HTTP/1.1 server on an event loop, over RESTinio.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibHTTP/event_loop.h"
#include "LibHTTP/http_message.h"

namespace carobbank {

// The answer to one request: either Send(), or Start(), Write()..., Finish().
// All calls come from the loop's thread. Dropping the last reference without an
// answer sends a 500 problem; dropping it mid-stream closes the connection, so
// that a cut answer never looks whole.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  virtual void Send(HttpResponse response) = 0;

  // Begins a chunked answer.
  virtual void Start(int status, HttpHeaders headers) = 0;
  // `written(true)` comes once the chunk was handed to the socket: write the
  // next one then (back-pressure). `written(false)`: the peer is gone.
  virtual void Write(std::string chunk, std::function<void(bool)> written) = 0;
  virtual void Finish() = 0;
  // Closes the connection at once, without the end of the chunked answer.
  virtual void Abort() = 0;

  // `closed` is called once if the peer's connection ends before the answer.
  virtual void OnClosed(std::function<void()> closed) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 takes a free port; HttpServer::Port() tells which.
  std::uint16_t port = 0;
  std::size_t max_header_bytes = 32 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  // Fewer when the process's limit on open files does not allow as many.
  // Connections beyond it wait in the kernel's queue.
  std::size_t max_connections = 10'000;
  // A request's head and body must have arrived within this time.
  Milliseconds read_timeout{10'000};
  // A peer that takes no bytes for this long is cut off.
  Milliseconds write_timeout{60'000};
  Milliseconds keep_alive_timeout{60'000};
  // TCP_USER_TIMEOUT of accepted connections: unacknowledged data for longer
  // means that the connection is silent.
  Milliseconds silent_timeout{10'000};
  // A caller that closes its sending side while its request is in progress has
  // left (its connection is closed and OnClosed() reports it). Otherwise a
  // half-closed connection still gets its answer.
  bool abort_on_half_close = false;
  // PEM files; TLS when both are set, an error when only one is.
  std::string certificate_file;
  std::string private_key_file;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Binds and listens. Fails with kUnavailable when the address is taken.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    HttpServerOptions options,
                                                    HttpHandler handler);

  virtual std::uint16_t Port() const = 0;
  // Answers name "Connection: close" from now on, so that callers move their
  // connections elsewhere before StopAccepting().
  virtual void DisableKeepAlive() = 0;
  // Stops accepting connections; requests in progress go on.
  virtual void StopAccepting() = 0;
  // Requests that were handed to the handler and not yet fully answered.
  virtual std::size_t RequestsInProgress() const = 0;
};

}  // namespace carobbank
