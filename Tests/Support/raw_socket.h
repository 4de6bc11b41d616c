// Raw TCP peers for tests, which send and receive exactly the given bytes
// without an HTTP library. No call blocks.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace carobbank {

class RawConnection {
 public:
  explicit RawConnection(int descriptor) : descriptor(descriptor) {}
  RawConnection(RawConnection&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)),
        received(std::move(other.received)),
        ended(other.ended) {}
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { this->Close(); }

  static RawConnection ConnectTo(std::uint16_t port, int receive_buffer = 0) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    // On loopback, connect() completes immediately.
    const int status = ::connect(
        descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    RawConnection connection(descriptor);
    if (status != 0) {
      connection.Close();
    }
    return connection;
  }

  // False when the peer has closed the connection.
  bool Send(std::string_view bytes) {
    return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  // Number of bytes that were sent without blocking.
  std::size_t SendSome(std::string_view bytes) {
    const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  // Everything received so far.
  const std::string& Received() {
    std::array<char, 65536> buffer;
    while (!this->ended) {
      const ssize_t count =
          ::recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count > 0) {
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
        continue;
      }
      this->ended = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      break;
    }
    return this->received;
  }

  // Whether the peer closed or reset the connection and all its bytes were
  // received.
  bool Ended() {
    this->Received();
    return this->ended;
  }

  bool Contains(std::string_view text) {
    return this->Received().find(text) != std::string::npos;
  }

  void CloseSending() { ::shutdown(this->descriptor, SHUT_WR); }
  // Closes with a TCP reset (RST) instead of a FIN.
  void Reset() {
    const linger zero_timeout{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &zero_timeout,
                 sizeof(zero_timeout));
    this->Close();
  }
  void Close() {
    if (this->descriptor >= 0) {
      ::close(std::exchange(this->descriptor, -1));
    }
  }

 private:
  int descriptor;
  std::string received;
  bool ended = false;
};

class RawListener {
 public:
  RawListener()
      : descriptor(
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    constexpr int kBacklog = 16;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    static_cast<void>(::bind(this->descriptor,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof(address)));
    ::listen(this->descriptor, kBacklog);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { ::close(this->descriptor); }

  std::uint16_t Port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                  &size);
    return ntohs(address.sin_port);
  }

  // Descriptor of a pending connection, or -1.
  int Accept() const {
    return ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
  }

 private:
  int descriptor;
};

}  // namespace carobbank
