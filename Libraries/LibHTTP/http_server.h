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

// Sends the response to one request: either Send(), or Start(), Write()...,
// Finish(). All calls must come from the loop's thread. Destroying the last
// reference without a response sends a 500 problem; destroying it mid-stream
// closes the connection, so that a truncated response never looks complete.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  virtual void Send(HttpResponse response) = 0;

  // Starts a chunked response.
  virtual void Start(int status, HttpHeaders headers) = 0;
  // `written(true)` is called once the chunk was written to the socket; wait
  // for it before writing the next chunk (backpressure). `written(false)`: the
  // peer has disconnected.
  virtual void Write(std::string chunk, std::function<void(bool)> written) = 0;
  virtual void Finish() = 0;
  // Closes the connection immediately, without the last chunk.
  virtual void Abort() = 0;

  // `closed` is called once if the connection ends before the response is
  // written.
  virtual void OnClosed(std::function<void()> closed) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 selects a free port; HttpServer::Port() returns the chosen one.
  std::uint16_t port = 0;
  std::size_t max_header_bytes = 32 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  // Lowered when the process's open-file limit does not allow as many. Further
  // connections wait in the kernel's accept queue.
  std::size_t max_connections = 10'000;
  // Limit for receiving a request's header section and body.
  Milliseconds read_timeout{10'000};
  // A connection whose peer reads no bytes for this long is closed.
  Milliseconds write_timeout{60'000};
  Milliseconds keep_alive_timeout{60'000};
  // TCP_USER_TIMEOUT of accepted connections: a connection whose data stays
  // unacknowledged for longer is closed as unresponsive.
  Milliseconds silent_timeout{10'000};
  // Complete responses that are not written yet may hold this much memory;
  // above it, the connections whose responses wait the longest are closed. 0:
  // no limit. Streamed responses are not counted: their writers wait for each
  // chunk.
  std::size_t max_unsent_bytes = 0;
  // Called for each connection that is closed at that limit.
  std::function<void()> on_unsent_limit;
  // The kernel's buffer of each connection (SO_SNDBUF). 0: the system's
  // default, with which a peer that does not read may hold megabytes.
  int send_buffer_bytes = 0;
  // Treats a half-close while a request is in progress as a disconnect: the
  // connection is closed and OnClosed() reports it. Otherwise a half-closed
  // connection still receives its response.
  bool abort_on_half_close = false;
  // PEM files; TLS when both are set, an error when only one is.
  std::string certificate_file;
  std::string private_key_file;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Binds and listens. Fails with kUnavailable when the address is in use.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    HttpServerOptions options,
                                                    HttpHandler handler);

  virtual std::uint16_t Port() const = 0;
  // Adds "Connection: close" to all further responses, so that callers connect
  // to other instances before StopAccepting().
  virtual void DisableKeepAlive() = 0;
  // Stops accepting connections; requests in progress continue.
  virtual void StopAccepting() = 0;
  // Accepted requests whose response is not completely written.
  virtual std::size_t RequestsInProgress() const = 0;
};

}  // namespace carobbank
