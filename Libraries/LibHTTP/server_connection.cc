// Deadlines, disconnects and refusals of one accepted connection.

#include "LibHTTP/server_connection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include <algorithm>
#include <sstream>

#include "LibHTTP/connection_registry.h"
#include "LibHTTP/parser_refusal.h"

namespace carobbank {

namespace {

// How long the rest of a refused request is read and discarded, so that a TCP
// reset does not reach the peer before the refusal (RFC 9112, section 9.6).
constexpr Milliseconds kDiscardTime{1'000};

std::string FormatRemoteEndpoint(const ServerConnection::LowestLayer& stream) {
  asio::error_code error;
  const auto endpoint = stream.remote_endpoint(error);
  if (error) {
    return "unknown";
  }
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace

ServerConnection::ServerConnection(asio::io_context& context,
                                   std::shared_ptr<ConnectionRegistry> registry,
                                   asio::ssl::context* tls_context)
    : registry(std::move(registry)) {
  if (tls_context != nullptr) {
    this->tls = std::make_unique<TlsStream>(context, *tls_context);
  } else {
    this->tcp.emplace(context);
  }
}

ServerConnection::~ServerConnection() {
  this->registry->Remove(this->id);
}

ServerConnection::LowestLayer& ServerConnection::Lowest() {
  if (this->tls) {
    return this->tls->lowest_layer();
  }
  return this->tcp->lowest_layer();
}

void ServerConnection::Begin(std::uint64_t connection_id) {
  this->id = connection_id;
  this->acceptor_owner = this->registry->acceptor_owner.lock();
  this->peer = FormatRemoteEndpoint(this->Lowest());
  this->read_deadline =
      std::chrono::steady_clock::now() + this->registry->Options().read_timeout;
  this->registry->Add(*this);
}

void ServerConnection::BeginRequests() {
  this->phase = Phase::kIdle;
  this->WatchForReset();
}

void ServerConnection::RequestArrived() {
  this->phase = Phase::kHandling;
  this->first_request = false;
  this->read_deadline = MonotonicTime::max();
  if (this->registry->Options().abort_on_half_close && !this->tls) {
    this->WatchForHalfClose();
  }
}

// The socket is not read while a request is handled, so a readable socket has
// either reached the end of the input or received a pipelined request. Bytes of
// a pipelined request stay in the socket and end the watch.
void ServerConnection::WatchForHalfClose() {
  if (this->watching_half_close) {
    return;
  }
  this->watching_half_close = true;
  this->Lowest().async_wait(
      LowestLayer::wait_read,
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        self->watching_half_close = false;
        if (error || self->phase != Phase::kHandling) {
          return;
        }
        char byte = 0;
        const ssize_t received = ::recv(self->Lowest().native_handle(), &byte,
                                        1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0) {
          self->Abort();
        } else if (received < 0 && errno == EAGAIN) {
          self->WatchForHalfClose();
        }
      });
}

void ServerConnection::ReadStarted() {
  if (this->phase == Phase::kReading) {
    return;
  }
  this->phase = Phase::kIdle;
  const HttpServerOptions& options = this->registry->Options();
  // A peer that connects without sending a request holds its connection no
  // longer than a peer that sends its request slowly.
  this->read_deadline =
      std::chrono::steady_clock::now() +
      (this->first_request ? options.read_timeout : options.keep_alive_timeout);
}

void ServerConnection::ReadDone(std::string_view bytes) {
  this->DetectHttp10(bytes);
  if (bytes.empty() || this->phase != Phase::kIdle) {
    return;
  }
  this->phase = Phase::kReading;
  this->read_deadline =
      std::chrono::steady_clock::now() + this->registry->Options().read_timeout;
}

void ServerConnection::DetectHttp10(std::string_view bytes) {
  constexpr std::string_view kHttp10 = "HTTP/1.0";
  if (this->first_line_seen) {
    return;
  }
  while (!this->first_line_seen && !bytes.empty()) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    this->first_line_tail.append(bytes.substr(0, end));
    const std::size_t tail_bytes =
        std::min(this->first_line_tail.size(), kHttp10.size() + 1);
    this->first_line_tail.erase(0, this->first_line_tail.size() - tail_bytes);
    if (end == bytes.size()) {
      return;
    }
    bytes.remove_prefix(end + 1);
    // RFC 9112, section 2.2: empty lines may precede the request line.
    this->first_line_seen = this->first_line_tail.size() > 1;
  }
  this->is_http10 = this->first_line_tail.find(kHttp10) != std::string::npos;
}

void ServerConnection::WriteStarted() {
  this->write_deadline = std::chrono::steady_clock::now() +
                         this->registry->Options().write_timeout;
}

void ServerConnection::WriteDone() {
  this->write_deadline = MonotonicTime::max();
}

asio::error_code ServerConnection::Translate(
    const asio::error_code& error) const {
  return error && this->failure ? this->failure : error;
}

void ServerConnection::CheckDeadlines(MonotonicTime now) {
  if (now < this->read_deadline && now < this->write_deadline) {
    return;
  }
  this->read_deadline = MonotonicTime::max();
  this->write_deadline = MonotonicTime::max();
  this->failure = asio::error::timed_out;
  asio::error_code ignored;
  this->Lowest().cancel(ignored);
}

// The socket is not read while a request is handled, so that a half-closed
// caller still receives its response. A wait for errors detects a reset
// regardless.
void ServerConnection::WatchForReset() {
  this->Lowest().async_wait(
      LowestLayer::wait_error,
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (error || !self) {
          return;
        }
        if (self->WasReset()) {
          self->Abort();
        } else {
          self->WatchForReset();
        }
      });
}

bool ServerConnection::WasReset() {
  pollfd descriptor{};
  descriptor.fd = this->Lowest().native_handle();
  ::poll(&descriptor, 1, 0);
  return (descriptor.revents & (POLLERR | POLLHUP)) != 0;
}

void ServerConnection::SetClosedHandler(std::function<void()> handler) {
  this->closed_handler = std::move(handler);
}

void ServerConnection::NotifyClosed() {
  if (!this->closed_handler) {
    return;
  }
  const std::function<void()> notify = std::move(this->closed_handler);
  this->closed_handler = nullptr;
  notify();
}

void ServerConnection::Abort() {
  if (!this->failure) {
    this->failure = asio::error::connection_aborted;
  }
  this->CloseStream();
  this->NotifyClosed();
}

void ServerConnection::CloseStream() {
  this->read_deadline = MonotonicTime::max();
  this->write_deadline = MonotonicTime::max();
  asio::error_code ignored;
  this->Lowest().close(ignored);
}

std::optional<Problem> ServerConnection::PendingRefusal() {
  const std::string parser_error = this->registry->TakeParserError();
  if (!this->Lowest().is_open() || this->phase == Phase::kHandshake) {
    return std::nullopt;
  }
  if (!parser_error.empty()) {
    return RefusalForParserError(parser_error, this->registry->Options());
  }
  if (this->failure == asio::error::timed_out &&
      this->phase == Phase::kReading) {
    return RefusalForReadTimeout(this->registry->Options());
  }
  return std::nullopt;
}

void ServerConnection::CloseGracefully() {
  if (!this->refusal.empty()) {
    return;
  }
  if (const std::optional<Problem> problem = this->PendingRefusal()) {
    this->SendRefusal(*problem);
  } else {
    this->CloseStream();
  }
  this->NotifyClosed();
}

void ServerConnection::SendRefusal(const Problem& problem) {
  this->refusal = SerializeRefusal(problem);
  this->failure = asio::error_code();
  this->write_deadline = std::chrono::steady_clock::now() + kDiscardTime;
  auto written = [self = this->shared_from_this()](
                     const asio::error_code& error, std::size_t /*bytes*/) {
    if (error) {
      self->CloseStream();
      return;
    }
    asio::error_code ignored;
    self->Lowest().shutdown(LowestLayer::shutdown_send, ignored);
    self->DiscardInput();
  };
  if (this->tls) {
    asio::async_write(*this->tls, asio::buffer(this->refusal),
                      std::move(written));
  } else {
    asio::async_write(*this->tcp, asio::buffer(this->refusal),
                      std::move(written));
  }
}

void ServerConnection::DiscardInput() {
  this->Lowest().async_wait(
      LowestLayer::wait_read,
      [self = this->shared_from_this()](const asio::error_code& error) {
        if (error) {
          self->CloseStream();
          return;
        }
        const ssize_t received =
            ::recv(self->Lowest().native_handle(), self->discarded.data(),
                   self->discarded.size(), MSG_DONTWAIT);
        if (received <= 0) {
          self->CloseStream();
          return;
        }
        self->DiscardInput();
      });
}

}  // namespace carobbank
