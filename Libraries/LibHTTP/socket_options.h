// Socket options that every connection of the system carries.

#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "LibCore/core.h"

namespace carobbank {

// One integer option in the form that Asio's set_option() takes.
// NOLINTBEGIN(readability-identifier-naming): Asio's names.
template <int kLevel, int kName>
class IntegerSocketOption {
 public:
  explicit IntegerSocketOption(int value) : value(value) {}

  template <typename Protocol>
  int level(const Protocol& /*protocol*/) const {
    return kLevel;
  }
  template <typename Protocol>
  int name(const Protocol& /*protocol*/) const {
    return kName;
  }
  template <typename Protocol>
  const int* data(const Protocol& /*protocol*/) const {
    return &this->value;
  }
  template <typename Protocol>
  std::size_t size(const Protocol& /*protocol*/) const {
    return sizeof(this->value);
  }

 private:
  int value;
};
// NOLINTEND(readability-identifier-naming)

// Keep-alive probes find a silent peer when nothing is being sent;
// TCP_USER_TIMEOUT finds one that leaves sent bytes unacknowledged (RFC 5482).
// `socket` has Asio's set_option(option, error).
template <typename Socket>
void SetConnectionOptions(Socket& socket, Milliseconds silent_timeout) {
  constexpr int kProbes = 3;
  const int total_seconds = static_cast<int>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(silent_timeout).count(),
      1));
  const int probe_seconds = std::max(total_seconds / (kProbes + 1), 1);
  asio::error_code ignored;
  socket.set_option(IntegerSocketOption<IPPROTO_TCP, TCP_NODELAY>(1), ignored);
  socket.set_option(IntegerSocketOption<SOL_SOCKET, SO_KEEPALIVE>(1), ignored);
  socket.set_option(
      IntegerSocketOption<IPPROTO_TCP, TCP_KEEPIDLE>(probe_seconds), ignored);
  socket.set_option(
      IntegerSocketOption<IPPROTO_TCP, TCP_KEEPINTVL>(probe_seconds), ignored);
  socket.set_option(IntegerSocketOption<IPPROTO_TCP, TCP_KEEPCNT>(kProbes),
                    ignored);
  socket.set_option(IntegerSocketOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                        static_cast<int>(silent_timeout.count())),
                    ignored);
}

}  // namespace carobbank
