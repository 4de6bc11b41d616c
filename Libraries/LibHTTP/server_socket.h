// The socket type of the RESTinio server: adapts ServerConnection to the
// interface of asio::ip::tcp::socket.

#pragma once

#include <restinio/all.hpp>

#include <memory>
#include <utility>
#include <vector>

#include "LibHTTP/connection_registry.h"
#include "LibHTTP/server_connection.h"

namespace carobbank {

// RESTinio and Asio require these names.
// NOLINTBEGIN(readability-identifier-naming)
class ServerSocket {
 public:
  using executor_type = restinio::default_asio_executor;

  explicit ServerSocket(std::shared_ptr<ServerConnection> connection)
      : connection(std::move(connection)) {}

  ServerConnection::LowestLayer& lowest_layer() {
    return this->connection->Lowest();
  }
  executor_type get_executor() { return this->lowest_layer().get_executor(); }
  bool is_open() const { return this->connection->Lowest().is_open(); }
  void cancel(asio::error_code& error) { this->lowest_layer().cancel(error); }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    this->connection->AsyncRead(buffers, std::forward<Handler>(handler));
  }
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    this->connection->AsyncWrite(buffers, std::forward<Handler>(handler));
  }

  // RESTinio calls both when it closes a connection. close() does all the work.
  template <typename How>
  void shutdown(How /*how*/, asio::error_code& /*error*/) {}
  void close() { this->connection->CloseGracefully(); }

  ServerConnection& Connection() { return *this->connection; }

 private:
  std::shared_ptr<ServerConnection> connection;
};
// NOLINTEND(readability-identifier-naming)

// RESTinio calls this function, found by argument-dependent lookup, when it
// starts a connection.
template <typename Connection, typename StartRead, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming)
void prepare_connection_and_start_read(ServerSocket& socket,
                                       Connection& connection,
                                       StartRead start_read,
                                       Failed failed) {
  ServerConnection& server_connection = socket.Connection();
  server_connection.Begin(connection.connection_id());
  if (!server_connection.IsTls()) {
    server_connection.BeginRequests();
    start_read();
    return;
  }
  server_connection.AsyncHandshake(
      [&server_connection, start_read = std::move(start_read),
       failed = std::move(failed), keep_alive = connection.shared_from_this()](
          const asio::error_code& error) {
        if (error) {
          failed(error);
          return;
        }
        server_connection.BeginRequests();
        start_read();
      });
}

// NOLINTNEXTLINE(readability-identifier-naming)
inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    ServerSocket& /*socket*/) noexcept {
  return nullptr;
}

}  // namespace carobbank

namespace restinio::impl {

// Creates the sockets into which RESTinio's acceptor accepts connections.
template <>
class socket_supplier_t<carobbank::ServerSocket> {
 protected:
  template <typename Settings>
  socket_supplier_t(Settings& settings, asio_ns::io_context& context)
      : context(context), registry(settings.connection_state_listener()) {
    for (std::size_t i = 0; i < settings.concurrent_accepts_count(); ++i) {
      this->sockets.push_back(this->MakeSocket());
    }
  }

  // NOLINTBEGIN(readability-identifier-naming): RESTinio's names.
  carobbank::ServerSocket& socket(std::size_t index) {
    return this->sockets.at(index);
  }
  carobbank::ServerSocket move_socket(std::size_t index) {
    return std::exchange(this->sockets.at(index), this->MakeSocket());
  }
  std::size_t concurrent_accept_sockets_count() const noexcept {
    return this->sockets.size();
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  carobbank::ServerSocket MakeSocket() {
    return carobbank::ServerSocket(
        std::make_shared<carobbank::ServerConnection>(
            this->context, this->registry, this->registry->TlsContext()));
  }

  asio_ns::io_context& context;
  std::shared_ptr<carobbank::ConnectionRegistry> registry;
  std::vector<carobbank::ServerSocket> sockets;
};

}  // namespace restinio::impl
