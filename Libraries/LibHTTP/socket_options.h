// Socket options set on every connection of the system.

#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "LibCore/core.h"

namespace carobbank {

// An integer socket option for Asio's set_option().
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

// Keep-alive probes detect an unresponsive peer while nothing is sent;
// TCP_USER_TIMEOUT detects a peer that leaves sent bytes unacknowledged
// (RFC 5482). `socket` must have Asio's set_option(option, error).
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

// 0 keeps the system's default. `socket`: as above.
template <typename Socket>
void SetSendBuffer(Socket& socket, int bytes) {
  if (bytes > 0) {
    asio::error_code ignored;
    socket.set_option(IntegerSocketOption<SOL_SOCKET, SO_SNDBUF>(bytes),
                      ignored);
  }
}

}  // namespace carobbank
