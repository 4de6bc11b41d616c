// Runs the sockets and the timer of libcurl's multi interface on Asio.

#include "LibHTTP/curl_multi.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "LibHTTP/socket_options.h"

namespace carobbank {

namespace {

// Adapts setsockopt() to the interface that SetConnectionOptions() requires.
class RawSocket {
 public:
  explicit RawSocket(curl_socket_t descriptor) : descriptor(descriptor) {}

  template <typename Option>
  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name.
  void set_option(const Option& option, asio::error_code& /*error*/) {
    ::setsockopt(this->descriptor, option.level(0), option.name(0),
                 option.data(0), static_cast<socklen_t>(option.size(0)));
  }

 private:
  curl_socket_t descriptor;
};

}  // namespace

// One of libcurl's sockets. A wait is started again after each event as long as
// libcurl requests that direction.
struct CurlMulti::Watch {
  Watch(asio::io_context& context, curl_socket_t socket)
      : descriptor(context, socket), socket(socket) {}

  asio::posix::stream_descriptor descriptor;
  curl_socket_t socket;
  // The transfer that used the socket last. Valid while `wants_read`.
  CURL* easy = nullptr;
  bool wants_read = false;
  bool wants_write = false;
  // When libcurl first read from the socket, which is after its connection was
  // accepted; see Clock::BootNow().
  std::optional<MonotonicTime> connected_at;
  // Invariant: at most one wait of each direction is outstanding.
  bool reading = false;
  bool writing = false;
};

CurlMulti::CurlMulti(asio::io_context& context,
                     HttpClientOptions options,
                     Handlers handlers)
    : context(context),
      options(std::move(options)),
      handlers(std::move(handlers)),
      timer(context) {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialized);
  this->multi = curl_multi_init();
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(this->options.max_idle_connections));
}

CurlMulti::~CurlMulti() {
  *this->alive = false;
  this->in_libcurl_call = true;
  curl_multi_cleanup(this->multi);
  this->watches.clear();
}

void CurlMulti::Prepare(CURL* easy) {
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketOptions);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  const auto idle_seconds = std::chrono::duration_cast<std::chrono::seconds>(
      this->options.max_idle_time);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   std::max<long>(idle_seconds.count(), 1));
  if (!this->options.certificate_authority_file.empty()) {
    curl_easy_setopt(easy, CURLOPT_CAINFO,
                     this->options.certificate_authority_file.c_str());
  }
}

void CurlMulti::Add(CURL* easy) {
  this->in_libcurl_call = true;
  this->timeout_action_pending = true;
  curl_multi_add_handle(this->multi, easy);
  this->in_libcurl_call = false;
  // Starts the transfer immediately instead of when the timer expires.
  this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
}

void CurlMulti::Remove(CURL* easy) {
  this->in_libcurl_call = true;
  curl_multi_remove_handle(this->multi, easy);
  this->in_libcurl_call = false;
}

void CurlMulti::Unpause(CURL* easy) {
  this->in_libcurl_call = true;
  this->timeout_action_pending = true;
  this->bytes_in_pass = 0;
  curl_easy_pause(easy, CURLPAUSE_CONT);
  this->in_libcurl_call = false;
  this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
}

// libcurl 7.88 doesn't tell the active socket of a running transfer.
curl_socket_t CurlMulti::SocketOf(CURL* easy) const {
  const auto found = std::find_if(
      this->watches.begin(), this->watches.end(), [easy](const auto& entry) {
        return entry.second->easy == easy && entry.second->wants_read;
      });
  return found == this->watches.end() ? CURL_SOCKET_BAD : found->first;
}

std::optional<MonotonicTime> CurlMulti::ConnectedAt(CURL* easy) const {
  const auto found = this->watches.find(this->SocketOf(easy));
  return found == this->watches.end() ? std::nullopt
                                      : found->second->connected_at;
}

void CurlMulti::RunSocketAction(curl_socket_t socket, int events) {
  int active = 0;
  this->in_libcurl_call = true;
  if (socket == CURL_SOCKET_TIMEOUT) {
    this->timeout_action_pending = false;
  }
  this->bytes_in_pass = 0;
  curl_multi_socket_action(this->multi, socket, events, &active);
  this->DeliverPass();
  this->in_libcurl_call = false;
  this->ReportCompletedTransfers();
}

void CurlMulti::DeliverPass() {
  for (CURL* const easy : std::exchange(this->undelivered, {})) {
    this->handlers.deliver(easy);
  }
}

void CurlMulti::ReportCompletedTransfers() {
  const std::shared_ptr<bool> still_alive = this->alive;
  int remaining = 0;
  while (*still_alive) {
    const CURLMsg* message = curl_multi_info_read(this->multi, &remaining);
    if (message == nullptr) {
      return;
    }
    if (message->msg == CURLMSG_DONE) {
      this->handlers.done(message->easy_handle, message->data.result);
    }
  }
}

int CurlMulti::OnSocket(CURL* easy,
                        curl_socket_t socket,
                        int action,
                        void* self,
                        void* /*watch*/) {
  auto* const multi = static_cast<CurlMulti*>(self);
  const auto found = multi->watches.find(socket);
  if (found == multi->watches.end()) {
    return 0;
  }
  const std::shared_ptr<Watch> watch = found->second;
  watch->easy = easy;
  watch->wants_read = action == CURL_POLL_IN || action == CURL_POLL_INOUT;
  watch->wants_write = action == CURL_POLL_OUT || action == CURL_POLL_INOUT;
  if (watch->wants_read && !watch->connected_at) {
    watch->connected_at = SystemClock().BootNow();
  }
  multi->WaitRead(watch);
  multi->WaitWrite(watch);
  return 0;
}

void CurlMulti::WaitRead(const std::shared_ptr<Watch>& watch) {
  if (!watch->wants_read || watch->reading) {
    return;
  }
  watch->reading = true;
  watch->descriptor.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, watch, alive = this->alive](const asio::error_code& error) {
        watch->reading = false;
        if (error || !*alive) {
          return;
        }
        if (watch->wants_read) {
          this->Read(watch);
        }
        if (*alive && watch->descriptor.is_open()) {
          this->WaitRead(watch);
        }
      });
}

void CurlMulti::Read(const std::shared_ptr<Watch>& watch) {
  const std::shared_ptr<bool> still_alive = this->alive;
  const std::uint64_t before = this->deliveries;
  this->RunSocketAction(watch->socket, CURL_CSELECT_IN);
  if (*still_alive && this->deliveries == before && watch->wants_read) {
    this->handlers.empty_read(watch->easy);
  }
}

void CurlMulti::WaitWrite(const std::shared_ptr<Watch>& watch) {
  if (!watch->wants_write || watch->writing) {
    return;
  }
  watch->writing = true;
  watch->descriptor.async_wait(
      asio::posix::stream_descriptor::wait_write,
      [this, watch, alive = this->alive](const asio::error_code& error) {
        watch->writing = false;
        if (error || !*alive) {
          return;
        }
        if (watch->wants_write) {
          this->RunSocketAction(watch->socket, CURL_CSELECT_OUT);
        }
        if (*alive && watch->descriptor.is_open()) {
          this->WaitWrite(watch);
        }
      });
}

int CurlMulti::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* const multi = static_cast<CurlMulti*>(self);
  if (timeout_ms == 0) {
    multi->ScheduleTimeoutAction();
    return 0;
  }
  multi->due = timeout_ms < 0 ? MonotonicTime::max()
                              : std::chrono::steady_clock::now() +
                                    Milliseconds(timeout_ms);
  if (multi->due < multi->armed_for) {
    multi->ArmTimer();
  }
  return 0;
}

void CurlMulti::ScheduleTimeoutAction() {
  this->due = MonotonicTime::max();
  if (this->timeout_action_pending) {
    return;
  }
  this->timeout_action_pending = true;
  asio::post(this->context, [this, alive = this->alive] {
    if (*alive && this->timeout_action_pending) {
      this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void CurlMulti::ArmTimer() {
  this->armed_for = this->due;
  this->timer.expires_at(this->due);
  this->timer.async_wait(
      [this, alive = this->alive](const asio::error_code& error) {
        if (!error && *alive) {
          this->OnTimerExpired();
        }
      });
}

void CurlMulti::OnTimerExpired() {
  this->armed_for = MonotonicTime::max();
  if (this->due <= std::chrono::steady_clock::now()) {
    this->due = MonotonicTime::max();
    this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  } else if (this->due != MonotonicTime::max()) {
    this->ArmTimer();
  }
}

curl_socket_t CurlMulti::OnOpenSocket(void* self,
                                      curlsocktype /*purpose*/,
                                      curl_sockaddr* address) {
  auto* const multi = static_cast<CurlMulti*>(self);
  const int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC,
                              address->protocol);
  if (socket < 0) {
    return CURL_SOCKET_BAD;
  }
  multi->watches[socket] = std::make_shared<Watch>(multi->context, socket);
  return socket;
}

int CurlMulti::OnSocketOptions(void* self,
                               curl_socket_t socket,
                               curlsocktype /*purpose*/) {
  const auto* const multi = static_cast<CurlMulti*>(self);
  RawSocket options(socket);
  SetConnectionOptions(options, multi->options.silent_timeout);
  return CURL_SOCKOPT_OK;
}

int CurlMulti::OnCloseSocket(void* self, curl_socket_t socket) {
  auto* const multi = static_cast<CurlMulti*>(self);
  const auto found = multi->watches.find(socket);
  if (found == multi->watches.end()) {
    return ::close(socket);
  }
  const std::shared_ptr<Watch> watch = found->second;
  multi->watches.erase(found);
  watch->wants_read = false;
  watch->wants_write = false;
  asio::error_code ignored;
  watch->descriptor.close(ignored);
  return 0;
}

}  // namespace carobbank
