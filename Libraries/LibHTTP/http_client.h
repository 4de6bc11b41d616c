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
  // For the whole exchange; zero means none.
  Milliseconds timeout{0};
  Milliseconds connect_timeout{1'000};
  // Ends the exchange when no byte came for this long; zero means never.
  Milliseconds idle_timeout{0};
  // Takes a new connection instead of a pooled one. For requests that must not
  // fail because the server closed an idle connection at the same moment.
  // Either way the request is sent at most once.
  bool fresh_connection = false;
  // Takes the orderly end of the connection as the end of an answer that is
  // framed neither by length nor by chunks (RFC 9112, section 6.3); otherwise
  // such an answer fails, because a cut can't be told from its end.
  bool accept_close_delimited_response = false;
  // Fetch() fails when the answer's body grows past this.
  std::size_t max_body_bytes = 64 * 1024 * 1024;
};

// What is certain about a failed exchange.
enum class SendState {
  // No byte of the request left this process.
  kNotSent,
  // The peer may have seen the request.
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
  // The answer arrived whole (Content-Length or last chunk seen).
  std::function<void()> on_done;
  std::function<void(const HttpClientFailure& failure)> on_failure;
};

// One exchange in progress. Destroying it cancels the exchange silently.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  // Stops calling on_body until Resume(); the peer is slowed by TCP.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct HttpClientOptions {
  // TCP_USER_TIMEOUT: a connection with unacknowledged data for longer is
  // given up, so that one gone silent doesn't hold its requests.
  Milliseconds silent_timeout{10'000};
  std::size_t max_idle_connections = 1'000;
  // A pooled connection idle for longer is not used again. Keep it below the
  // servers' keep-alive timeout.
  Milliseconds max_idle_time{30'000};
  // PEM file of the authorities that may sign servers' certificates; empty
  // takes the system's.
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

  // Reads a whole answer of at most `max_body_bytes`. Keeps the exchange alive
  // by itself; there is no cancelling it. Destroying the client drops the
  // callback.
  using FetchCallback = std::function<void(Outcome<HttpResponse>)>;
  // Failures: kUnavailable when nothing was sent, else kOutcomeUnknown.
  void Fetch(HttpClientRequest request, FetchCallback callback);
};

}  // namespace carobbank
