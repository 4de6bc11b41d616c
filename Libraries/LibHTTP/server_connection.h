// One accepted connection: its stream (TCP or TLS), its deadlines, and the
// answer to a request that RESTinio's parser refuses.

#pragma once

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl/context.hpp>
#include <asio/ssl/stream.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/core.h"
#include "LibHTTP/http_server.h"

namespace carobbank {

class ConnectionRegistry;

// RESTinio times whole operations; this class times progress instead, so that a
// long answer to a slow but living peer is not cut off.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using TcpStream = asio::ip::tcp::socket;
  using TlsStream = asio::ssl::stream<TcpStream>;
  using LowestLayer = TcpStream::lowest_layer_type;

  // `tls_context` may be null, then the connection is plain TCP.
  ServerConnection(asio::io_context& context,
                   std::shared_ptr<ConnectionRegistry> registry,
                   asio::ssl::context* tls_context);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  LowestLayer& Lowest();
  bool IsTls() const { return this->tls != nullptr; }
  const std::string& Peer() const { return this->peer; }
  std::uint64_t Id() const { return this->id; }
  // HTTP/1.0, which knows no chunks. RESTinio does not tell the version.
  bool IsOldVersion() const { return this->old_version; }

  // Called once accepted, before the handshake.
  void Begin(std::uint64_t connection_id);
  // The handshake is over: the first request is awaited.
  void BeginRequests();
  // A whole request arrived; no deadline runs until its answer is written.
  void RequestArrived();

  template <typename Buffers, typename Handler>
  void AsyncRead(const Buffers& buffers, Handler&& handler);
  template <typename Buffers, typename Handler>
  void AsyncWrite(const Buffers& buffers, Handler&& handler);
  template <typename Handler>
  void AsyncHandshake(Handler&& handler);

  // RESTinio ends the connection. A refusal that is due is sent first.
  void EndOfUse();
  // Closes at once; pending operations fail.
  void Abort();
  // Fails pending operations whose deadline has passed.
  void CheckDeadlines(MonotonicTime now);

  // At most one; called once when the connection ends, from the loop.
  void SetClosedHandler(std::function<void()> handler);

 private:
  enum class Phase { kHandshake, kIdle, kReading, kHandling };

  void WatchForReset();
  void WatchForClosedInput();
  bool WasReset();
  void NotifyClosed();
  void ReadStarted();
  void ReadDone(std::string_view bytes);
  void ObserveVersion(std::string_view bytes);
  void WriteStarted();
  void WriteDone();
  asio::error_code Translate(const asio::error_code& error) const;
  std::optional<Problem> DueRefusal();
  void SendRefusal(const Problem& problem);
  void DiscardInput();
  void CloseStream();

  std::shared_ptr<ConnectionRegistry> registry;
  // Set while accepted; see ConnectionRegistry::acceptor_owner.
  std::shared_ptr<void> acceptor_owner;
  // Invariant: exactly one of the two is set.
  std::optional<TcpStream> tcp;
  std::unique_ptr<TlsStream> tls;

  std::uint64_t id = 0;
  std::string peer;
  Phase phase = Phase::kHandshake;
  bool first_request = true;
  // Invariant: at most one wait of WatchForClosedInput() is outstanding.
  bool watching_input = false;
  // The end of the connection's first line, until it is whole.
  std::string first_line_end;
  bool first_line_seen = false;
  bool old_version = false;
  // The error that pending operations end with instead of "aborted", which
  // RESTinio would take for its own doing.
  asio::error_code failure;
  MonotonicTime read_deadline = MonotonicTime::max();
  MonotonicTime write_deadline = MonotonicTime::max();
  std::function<void()> closed_handler;
  // Set while the refusal is written and the rest of the input is discarded.
  std::string refusal;
  std::array<char, 4096> discarded;
};

template <typename Buffers, typename Handler>
void ServerConnection::AsyncRead(const Buffers& buffers, Handler&& handler) {
  this->ReadStarted();
  // RESTinio reads into one buffer.
  const char* const data =
      static_cast<const char*>(asio::buffer_sequence_begin(buffers)->data());
  auto done = [self = this->shared_from_this(), data,
               handler = std::forward<Handler>(handler)](
                  const asio::error_code& error, std::size_t bytes) mutable {
    self->ReadDone(std::string_view(data, bytes));
    handler(self->Translate(error), bytes);
  };
  if (this->tls) {
    this->tls->async_read_some(buffers, std::move(done));
  } else {
    this->tcp->async_read_some(buffers, std::move(done));
  }
}

template <typename Buffers, typename Handler>
void ServerConnection::AsyncWrite(const Buffers& buffers, Handler&& handler) {
  this->WriteStarted();
  auto done = [self = this->shared_from_this(),
               handler = std::forward<Handler>(handler)](
                  const asio::error_code& error, std::size_t bytes) mutable {
    self->WriteDone();
    handler(self->Translate(error), bytes);
  };
  if (this->tls) {
    this->tls->async_write_some(buffers, std::move(done));
  } else {
    this->tcp->async_write_some(buffers, std::move(done));
  }
}

template <typename Handler>
void ServerConnection::AsyncHandshake(Handler&& handler) {
  this->tls->async_handshake(asio::ssl::stream_base::server,
                             [self = this->shared_from_this(),
                              handler = std::forward<Handler>(handler)](
                                 const asio::error_code& error) mutable {
                               handler(self->Translate(error));
                             });
}

}  // namespace carobbank
