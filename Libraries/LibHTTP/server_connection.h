// One accepted connection: its stream (TCP or TLS), its deadlines, and the
// error response to a request that RESTinio's parser rejects.

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

// RESTinio limits the time of complete operations. This class limits the time
// without progress instead, so that a long response to a slow but responsive
// peer is not aborted.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using TcpStream = asio::ip::tcp::socket;
  using TlsStream = asio::ssl::stream<TcpStream>;
  using LowestLayer = TcpStream::lowest_layer_type;

  // Plain TCP when `tls_context` is null.
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
  // The first request is HTTP/1.0, which has no chunked encoding. RESTinio does
  // not expose the version.
  bool IsHttp10() const { return this->is_http10; }

  // Called after the connection is accepted, before the handshake.
  void Begin(std::uint64_t connection_id);
  // Called after the handshake; waits for the first request.
  void BeginRequests();
  // Called when a request is complete. No read deadline applies until the
  // response is written.
  void RequestArrived();

  template <typename Buffers, typename Handler>
  void AsyncRead(const Buffers& buffers, Handler&& handler);
  template <typename Buffers, typename Handler>
  void AsyncWrite(const Buffers& buffers, Handler&& handler);
  template <typename Handler>
  void AsyncHandshake(Handler&& handler);

  // Called when RESTinio closes the connection. Sends a pending refusal first.
  void CloseGracefully();
  // Closes immediately; pending operations fail.
  void Abort();
  // Fails pending operations whose deadline has passed.
  void CheckDeadlines(MonotonicTime now);

  // At most one handler; called once, from the loop, when the connection ends.
  void SetClosedHandler(std::function<void()> handler);

 private:
  enum class Phase { kHandshake, kIdle, kReading, kHandling };

  void WatchForReset();
  void WatchForHalfClose();
  bool WasReset();
  void NotifyClosed();
  void ReadStarted();
  void ReadDone(std::string_view bytes);
  void DetectHttp10(std::string_view bytes);
  void WriteStarted();
  void WriteDone();
  asio::error_code Translate(const asio::error_code& error) const;
  std::optional<Problem> PendingRefusal();
  void SendRefusal(const Problem& problem);
  void DiscardInput();
  void CloseStream();

  std::shared_ptr<ConnectionRegistry> registry;
  // Set by Begin(); see ConnectionRegistry::acceptor_owner.
  std::shared_ptr<void> acceptor_owner;
  // Invariant: exactly one of the two is set.
  std::optional<TcpStream> tcp;
  std::unique_ptr<TlsStream> tls;

  std::uint64_t id = 0;
  std::string peer;
  Phase phase = Phase::kHandshake;
  bool first_request = true;
  // Invariant: at most one wait of WatchForHalfClose() is outstanding.
  bool watching_half_close = false;
  // The last bytes of the connection's first line, up to the HTTP version's
  // length and a CR.
  std::string first_line_tail;
  bool first_line_seen = false;
  bool is_http10 = false;
  // The error that pending operations report instead of "operation aborted",
  // which RESTinio would attribute to its own cancellation.
  asio::error_code failure;
  MonotonicTime read_deadline = MonotonicTime::max();
  MonotonicTime write_deadline = MonotonicTime::max();
  std::function<void()> closed_handler;
  // Non-empty while the refusal is written and the remaining input is
  // discarded.
  std::string refusal;
  std::array<char, 4096> discarded;
};

template <typename Buffers, typename Handler>
void ServerConnection::AsyncRead(const Buffers& buffers, Handler&& handler) {
  this->ReadStarted();
  // RESTinio reads into a single buffer.
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
