// libcurl's multi interface driven by the event loop's io_context.

#pragma once

#include <curl/curl.h>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

#include "LibCore/core.h"
#include "LibHTTP/http_client.h"

namespace carobbank {

// Owns the sockets: each stays registered with the loop from its opening to its
// closing, however many transfers it serves.
class CurlMulti {
 public:
  // Called for every transfer that ended, outside of libcurl's own calls.
  using DoneHandler = std::function<void(CURL* easy, CURLcode result)>;

  CurlMulti(asio::io_context& context,
            HttpClientOptions options,
            DoneHandler done);
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  // True while libcurl runs; Add, Remove and Unpause must wait then.
  bool Running() const { return this->running; }
  void Add(CURL* easy);
  void Remove(CURL* easy);
  // Goes on with a transfer whose write callback paused it.
  void Unpause(CURL* easy);
  // Sets the options that tie a handle's sockets to this object.
  void Prepare(CURL* easy);

 private:
  struct Watch;

  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int action,
                      void* self,
                      void* watch);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static curl_socket_t OnOpen(void* self,
                              curlsocktype purpose,
                              curl_sockaddr* address);
  static int OnOptions(void* self, curl_socket_t socket, curlsocktype purpose);
  static int OnClose(void* self, curl_socket_t socket);

  void Act(curl_socket_t socket, int events);
  void CallSoon();
  void ArmTimer();
  void TimerFired();
  void Collect();
  void WaitRead(const std::shared_ptr<Watch>& watch);
  void WaitWrite(const std::shared_ptr<Watch>& watch);

  asio::io_context& context;
  HttpClientOptions options;
  DoneHandler done;
  // When libcurl wants to be called later, and when the timer will fire. A
  // timer that fires too early is set again, which is cheaper than moving it at
  // each of libcurl's many wishes. Invariant: armed_for <= due.
  MonotonicTime due = MonotonicTime::max();
  MonotonicTime armed_for = MonotonicTime::max();
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches;
  bool running = false;
  // libcurl will be told of passed timeouts in this turn of the loop or the
  // next, so that its wish for that needs no timer.
  bool call_is_near = false;
  // Lets queued completions see that this object is gone.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
