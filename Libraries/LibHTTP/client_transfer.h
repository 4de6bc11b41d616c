// One HTTP exchange of the client, backed by a libcurl easy handle.

#pragma once

#include <curl/curl.h>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/curl_multi.h"
#include "LibHTTP/http_client.h"

namespace carobbank {

class ClientTransfer : public std::enable_shared_from_this<ClientTransfer> {
 public:
  // `on_idle_timeout` is called when the idle timeout has passed; the callback
  // removes the transfer from `multi` and completes the transfer.
  ClientTransfer(asio::io_context& context,
                 CurlMulti& multi,
                 HttpClientRequest request,
                 HttpClientHandlers handlers,
                 std::function<void(ClientTransfer&)> on_idle_timeout);
  ~ClientTransfer();
  ClientTransfer(const ClientTransfer&) = delete;
  ClientTransfer& operator=(const ClientTransfer&) = delete;

  CURL* Easy() { return this->easy; }
  // Sets the handle's options. Returns an error when the request is invalid.
  std::optional<Error> Configure();
  void StartIdleTimer();

  void Pause() { this->paused = true; }
  void Resume();
  // See HttpExchange. Requires that the client exists.
  std::optional<MonotonicTime> ConnectedAt() const {
    return this->multi.ConnectedAt(this->easy);
  }
  // No handler is called after Cancel(). ReleaseHandlers() destroys the
  // handlers separately, because one of them may be running.
  void Cancel();
  void ReleaseHandlers();
  bool Cancelled() const { return this->cancelled; }
  // Reports libcurl's result to on_done or on_failure.
  void Complete(CURLcode result);
  void Fail(SendState send_state, Error error);
  // Passes the bytes of the body on that libcurl has delivered in this pass.
  void DeliverBody();
  // A read from the connection delivered neither a header nor a part of the
  // body. True when there were too many in a row, so that the transfer must be
  // removed from `multi` and completed.
  bool CountEmptyRead();
  // The limit for which the transfer has ended with `result`, if any.
  std::optional<ResponseLimitExceeded> ExceededLimit(CURLcode result);

 private:
  static std::size_t OnHeader(char* bytes,
                              std::size_t size,
                              std::size_t count,
                              void* self);
  static std::size_t OnBody(char* bytes,
                            std::size_t size,
                            std::size_t count,
                            void* self);
  static int OnPass(void* self,
                    curl_off_t download_total,
                    curl_off_t downloaded,
                    curl_off_t upload_total,
                    curl_off_t uploaded);
  static int OnBeforeRequest(void* self,
                             char* remote_address,
                             char* local_address,
                             int remote_port,
                             int local_port);

  std::optional<Error> SetUrl();
  std::optional<Error> AddRequestHeaders();
  void SetMethodAndBody();
  void UnpauseInNextTurn();
  void ProcessHeaderLine(std::string_view line);
  void ProcessStatusLine(std::string_view line);
  // `list` is the value of Content-Length. False when it is malformed, or has
  // different lengths, also from one before (RFC 9112, section 6.3).
  bool AddContentLength(std::string_view list);
  // Counts received bytes. False when a limit is exceeded.
  bool CountBytes(std::size_t& counter,
                  std::size_t bytes,
                  std::size_t limit,
                  ResponseLimit kind);
  // Compares the bytes that were read from the connection with those that were
  // delivered. False when a limit is exceeded.
  bool CountFramingBytes();
  void OnHeadersComplete();
  void ArmIdleTimer(MonotonicTime due);
  void CheckIdleTimeout();
  // Whether the response's end is defined without closing the connection
  // (RFC 9112, section 6.3).
  bool IsSelfDelimited() const;
  SendState CurrentSendState() const;
  Error DescribeFailure(CURLcode result, SendState send_state) const;

  CurlMulti& multi;
  HttpClientRequest request;
  HttpClientHandlers handlers;
  std::function<void(ClientTransfer&)> on_idle_timeout;
  CURL* easy;
  curl_slist* request_headers = nullptr;
  std::array<char, CURL_ERROR_SIZE> error_text{};

  int status = 0;
  // Each interim response and the final one begin with a status line.
  bool expects_status_line = true;
  // Why the head of the response is no HTTP; empty when it is.
  std::string_view malformation;
  HttpHeaders response_headers;
  std::optional<std::uint64_t> content_length;
  bool headers_complete = false;
  // Other bodies have no framing bytes.
  bool chunked = false;
  bool cancelled = false;
  bool paused = false;
  // libcurl buffers bytes that the write callback refused while paused.
  bool body_withheld = false;
  bool idle_expired = false;
  bool resend_refused = false;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  // Small pieces of the body, which are passed on together: libcurl delivers
  // each chunk by itself. Invariant: empty outside of a pass of libcurl.
  std::string gathered_body;
  std::size_t empty_reads = 0;
  // Since the previous pass of libcurl over this transfer.
  bool delivered_in_pass = false;
  std::size_t empty_passes = 0;
  std::size_t uncounted_passes = 0;
  // Bytes read from the connection, and bytes of this response delivered.
  struct ByteCount {
    std::int64_t read = 0;
    std::int64_t delivered = 0;
  };
  // A kept connection has carried other responses before.
  std::optional<ByteCount> first_count;
  curl_socket_t socket = CURL_SOCKET_BAD;
  std::optional<ResponseLimit> exceeded;
  MonotonicTime last_activity;
  asio::steady_timer idle_timer;
};

}  // namespace carobbank
