// Reads TCP_INFO, which the C library declares without its newer fields.

#include "LibHTTP/socket_bytes.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace carobbank {

std::optional<std::int64_t> BytesReadFromSocket(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unread = 0;
  // In this order, bytes that arrive in between are not taken for read ones.
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ::ioctl(socket, SIOCINQ, &unread) != 0) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(info.tcpi_bytes_received) - unread;
}

}  // namespace carobbank
