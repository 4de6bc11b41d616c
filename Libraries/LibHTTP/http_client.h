// An HTTP/1.1 client on an event loop, over libcurl's multi interface.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/buffer_budget.h"
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
  // The exchange fails when the response's body exceeds this size.
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  // The exchange fails when the heads of all interim responses, the response's
  // own and its trailers exceed this size together.
  std::size_t max_header_bytes = 64 * 1024;

  static constexpr std::size_t kDefaultMaxBodyBytes = 1024 * 1024;
};

// What of a response went beyond its limit, so that the connection was closed.
enum class ResponseLimit {
  kHeader,
  kBody,
  // The responses that the client holds together.
  kMemory,
  // Bytes that are neither headers nor body, such as chunk extensions.
  kFraming,
};
std::string_view ResponseLimitName(ResponseLimit limit);

struct ResponseLimitExceeded {
  // Without the query.
  std::string url;
  ResponseLimit limit = ResponseLimit::kBody;
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
  // When the connection was established that carries the response, by
  // Clock::BootNow(): earlier than the exchange for a pooled connection.
  // Nothing if that is not known, or no connection is in use.
  virtual std::optional<MonotonicTime> ConnectedAt() const {
    return std::nullopt;
  }
};

struct HttpClientOptions {
  // TCP_USER_TIMEOUT: a connection whose data stays unacknowledged for longer
  // is closed, so that an unresponsive peer doesn't block its requests.
  Milliseconds silent_timeout{10'000};
  std::size_t max_idle_connections = 1'000;
  // A pooled connection that was idle for longer is not reused. Must be below
  // the servers' keep-alive timeout.
  Milliseconds max_idle_time{30'000};
  // Limit of the bodies that are held in BufferedBody objects, over all
  // exchanges; see buffer_budget.h.
  std::size_t max_buffered_bytes = 256 * 1024 * 1024;
  // Called on the loop's thread when a response exceeds a limit, before the
  // exchange fails.
  std::function<void(const ResponseLimitExceeded&)> on_limit_exceeded;
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

  // The bytes that the responses of this client may hold together.
  const std::shared_ptr<BufferBudget>& Budget() const { return this->budget; }
  // Reports that a reader of a response has reached a limit of its own.
  void ReportLimit(const ResponseLimitExceeded& exceeded) const {
    if (this->on_limit_exceeded) {
      this->on_limit_exceeded(exceeded);
    }
  }

  // Reads a complete response of at most `max_body_bytes`. Owns the exchange,
  // which can't be cancelled. Destroying the client destroys the callback
  // without calling it.
  using FetchCallback = std::function<void(Outcome<HttpResponse>)>;
  // Failures: kUnavailable when nothing was sent, else kOutcomeUnknown.
  void Fetch(HttpClientRequest request, FetchCallback callback);

 protected:
  explicit HttpClient(const HttpClientOptions& options = {})
      : budget(std::make_shared<BufferBudget>(options.max_buffered_bytes)),
        on_limit_exceeded(options.on_limit_exceeded) {}

 private:
  std::shared_ptr<BufferBudget> budget;
  std::function<void(const ResponseLimitExceeded&)> on_limit_exceeded;
};

}  // namespace carobbank
