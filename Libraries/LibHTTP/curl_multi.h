// libcurl's multi interface driven by the event loop's io_context.

#pragma once

#include <curl/curl.h>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibCore/core.h"
#include "LibHTTP/http_client.h"

namespace carobbank {

// Owns libcurl's sockets. Each socket stays registered with the loop from its
// opening to its closing, regardless of the number of transfers that use it.
class CurlMulti {
 public:
  // Called for every transfer that ended, outside of libcurl's callbacks.
  using DoneHandler = std::function<void(CURL* easy, CURLcode result)>;

  // Called when a read of the transfer's socket delivered nothing to its
  // callbacks, outside of libcurl's callbacks.
  using EmptyReadHandler = std::function<void(CURL* easy)>;

  // Called after a pass of libcurl for each transfer that requested it, as if
  // inside one of libcurl's callbacks.
  using DeliveryHandler = std::function<void(CURL* easy)>;

  struct Handlers {
    DoneHandler done;
    EmptyReadHandler empty_read;
    DeliveryHandler deliver;
  };

  CurlMulti(asio::io_context& context,
            HttpClientOptions options,
            Handlers handlers);
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  // True inside a call to libcurl. Add, Remove and Unpause must not be called
  // then.
  bool InLibcurlCall() const { return this->in_libcurl_call; }
  void Add(CURL* easy);
  void Remove(CURL* easy);
  // Resumes a transfer that its write callback paused.
  void Unpause(CURL* easy);
  // Sets the options that route a handle's socket calls to this object.
  void Prepare(CURL* easy);
  // The socket from which a transfer reads, or CURL_SOCKET_BAD while it reads
  // from none.
  curl_socket_t SocketOf(CURL* easy) const;
  // When the connection of that socket was established, by Clock::BootNow().
  std::optional<MonotonicTime> ConnectedAt(CURL* easy) const;
  // A callback of a transfer received bytes.
  void OnDelivery() { ++this->deliveries; }
  // Counts bytes of a body. False when this pass has delivered enough: libcurl
  // goes on with transfers whose servers send fast, and nothing else runs
  // meanwhile. The transfer must pause until the next turn of the loop.
  bool CountInPass(std::size_t bytes) {
    this->bytes_in_pass += bytes;
    return this->bytes_in_pass <= kMaxBytesPerPass;
  }
  // Inside a callback of the transfer: requests one call of the delivery
  // handler at the end of the present pass.
  void DeliverAfterPass(CURL* easy) { this->undelivered.push_back(easy); }

 private:
  struct Watch;

  static constexpr std::size_t kMaxBytesPerPass = 128 * 1024;

  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int action,
                      void* self,
                      void* watch);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static curl_socket_t OnOpenSocket(void* self,
                                    curlsocktype purpose,
                                    curl_sockaddr* address);
  static int OnSocketOptions(void* self,
                             curl_socket_t socket,
                             curlsocktype purpose);
  static int OnCloseSocket(void* self, curl_socket_t socket);

  void RunSocketAction(curl_socket_t socket, int events);
  void ScheduleTimeoutAction();
  void ArmTimer();
  void OnTimerExpired();
  void DeliverPass();
  void ReportCompletedTransfers();
  void WaitRead(const std::shared_ptr<Watch>& watch);
  void Read(const std::shared_ptr<Watch>& watch);
  void WaitWrite(const std::shared_ptr<Watch>& watch);

  asio::io_context& context;
  HttpClientOptions options;
  Handlers handlers;
  std::uint64_t deliveries = 0;
  // Of the bodies of all transfers.
  std::size_t bytes_in_pass = 0;
  // Transfers that requested a delivery in the present pass.
  std::vector<CURL*> undelivered;
  // `due` is the time that libcurl requested last, `armed_for` the time at
  // which the timer expires. A timer that expires early is rearmed, which is
  // cheaper than moving the timer on each of libcurl's many requests.
  // Invariant: armed_for <= due.
  MonotonicTime due = MonotonicTime::max();
  MonotonicTime armed_for = MonotonicTime::max();
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches;
  bool in_libcurl_call = false;
  // A timeout action runs in this event-loop iteration or the next, so a
  // request for an immediate one needs no timer.
  bool timeout_action_pending = false;
  // Set to false on destruction, for queued completions that run afterwards.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
