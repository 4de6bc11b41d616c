// An HTTP/1.1 client on an event loop, over libcurl's multi interface.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibHTTP/event_loop.h"
#include "LibHTTP/http_message.h"

namespace carobbank {

struct HttpClientRequest {
  std::string method = "GET";
  // "http://127.0.0.1:9001/v1/completions"
  std::string url;
  HttpHeaders headers;
  std::string body;
  // Limit for the complete exchange; zero means none.
  Milliseconds timeout{0};
  Milliseconds connect_timeout{1'000};
  // Fails the exchange when no byte is received for this long; zero means
  // never.
  Milliseconds idle_timeout{0};
  // Opens a new connection instead of using a pooled one. For requests that
  // must not fail because the server closes an idle connection concurrently.
  // The request is sent at most once in either case.
  bool fresh_connection = false;
  // Accepts a close-delimited response, which has neither a length nor chunks
  // (RFC 9112, section 6.3). Otherwise such a response fails, because
  // truncation can't be distinguished from its end.
  bool accept_close_delimited_response = false;
  // Fetch() fails when the response's body exceeds this size.
  std::size_t max_body_bytes = 64 * 1024 * 1024;
};

// Whether the peer may have received the request of a failed exchange.
enum class SendState {
  // No byte of the request left this process.
  kNotSent,
  // The peer may have received the request.
  kMayHaveBeenSent,
};

struct HttpClientFailure {
  SendState send_state = SendState::kMayHaveBeenSent;
  Error error;
};

// Callbacks of one exchange, on the loop's thread. After on_done or on_failure
// nothing more is called.
struct HttpClientHandlers {
  // Status and headers, once, before the first body byte.
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  // Body bytes in order.
  std::function<void(std::string_view bytes)> on_body;
  // The response is complete (all of Content-Length or the last chunk was
  // received).
  std::function<void()> on_done;
  std::function<void(const HttpClientFailure& failure)> on_failure;
};

// One exchange in progress. Destroying it cancels the exchange; no handler is
// called.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  // Stops calling on_body until Resume(). TCP applies backpressure to the
  // peer.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct HttpClientOptions {
  // TCP_USER_TIMEOUT: a connection whose data stays unacknowledged for longer
  // is closed, so that an unresponsive peer doesn't block its requests.
  Milliseconds silent_timeout{10'000};
  std::size_t max_idle_connections = 1'000;
  // A pooled connection that was idle for longer is not reused. Must be below
  // the servers' keep-alive timeout.
  Milliseconds max_idle_time{30'000};
  // PEM file of the certificate authorities to trust; empty uses the system's
  // trust store.
  std::string certificate_authority_file;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;

  static std::unique_ptr<HttpClient> Create(EventLoop& loop,
                                            HttpClientOptions options = {});

  [[nodiscard]] virtual std::unique_ptr<HttpExchange> Start(
      HttpClientRequest request,
      HttpClientHandlers handlers) = 0;

  // Reads a complete response of at most `max_body_bytes`. Owns the exchange,
  // which can't be cancelled. Destroying the client destroys the callback
  // without calling it.
  using FetchCallback = std::function<void(Outcome<HttpResponse>)>;
  // Failures: kUnavailable when nothing was sent, else kOutcomeUnknown.
  void Fetch(HttpClientRequest request, FetchCallback callback);
};

}  // namespace carobbank
