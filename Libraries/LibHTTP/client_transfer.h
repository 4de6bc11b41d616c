// One request and its answer as a libcurl easy handle.

#pragma once

#include <curl/curl.h>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibHTTP/curl_multi.h"
#include "LibHTTP/http_client.h"

namespace carobbank {

class ClientTransfer : public std::enable_shared_from_this<ClientTransfer> {
 public:
  // `expired` is called when the idle timeout has passed; it takes the transfer
  // out of `multi` and completes it.
  ClientTransfer(asio::io_context& context,
                 CurlMulti& multi,
                 HttpClientRequest request,
                 HttpClientHandlers handlers,
                 std::function<void(ClientTransfer&)> expired);
  ~ClientTransfer();
  ClientTransfer(const ClientTransfer&) = delete;
  ClientTransfer& operator=(const ClientTransfer&) = delete;

  CURL* Easy() { return this->easy; }
  // Nothing when the request can be sent; else why it can't.
  std::optional<Error> Configure();
  void StartIdleTimer();

  void Pause() { this->paused = true; }
  void Resume();
  // No handler is called from then on. They are destroyed by DropHandlers(),
  // because one of them may be running.
  void Cancel();
  void DropHandlers();
  bool Cancelled() const { return this->cancelled; }
  // Reports the end to the handlers.
  void Complete(CURLcode result);
  void Fail(SendState send_state, Error error);

 private:
  static std::size_t OnHeader(char* bytes,
                              std::size_t size,
                              std::size_t count,
                              void* self);
  static std::size_t OnBody(char* bytes,
                            std::size_t size,
                            std::size_t count,
                            void* self);
  static int OnBeforeRequest(void* self,
                             char* remote_address,
                             char* local_address,
                             int remote_port,
                             int local_port);

  std::optional<Error> AddRequestHeaders();
  void SetMethodAndBody();
  void TakeHeaderLine(std::string_view line);
  void HeadersComplete();
  void WaitForIdleness(MonotonicTime due);
  void CheckIdleness();
  // Whether the framing tells the answer's end (RFC 9112, section 6.3).
  bool EndIsKnown() const;
  SendState SendStateNow() const;
  Error Describe(CURLcode result, SendState send_state) const;

  CurlMulti& multi;
  HttpClientRequest request;
  HttpClientHandlers handlers;
  std::function<void(ClientTransfer&)> expired;
  CURL* easy;
  curl_slist* request_headers = nullptr;
  std::array<char, CURL_ERROR_SIZE> error_text{};

  int status = 0;
  HttpHeaders answer_headers;
  bool headers_complete = false;
  bool cancelled = false;
  bool paused = false;
  // libcurl holds back bytes that the write callback refused while paused.
  bool held_back = false;
  bool idle_expired = false;
  bool resend_refused = false;
  MonotonicTime last_activity;
  asio::steady_timer idle_timer;
};

}  // namespace carobbank
