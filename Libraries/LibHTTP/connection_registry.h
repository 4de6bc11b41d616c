// State shared by all connections of one server: options, the open
// connections, the number of requests in progress, and the last error of
// RESTinio's parser.

#pragma once

#include <asio/ssl/context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "LibHTTP/http_server.h"
#include "LibHTTP/server_connection.h"
#include "LibHTTP/unsent_responses.h"

namespace carobbank {

class ConnectionRegistry
    : public std::enable_shared_from_this<ConnectionRegistry> {
 public:
  ConnectionRegistry(asio::io_context& context, HttpServerOptions options);

  // Required by RESTinio's listener interface. Unused: connections call Add()
  // and Remove() themselves.
  template <typename Notice>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const Notice& /*notice*/) noexcept {}

  void Add(ServerConnection& connection);
  void Remove(std::uint64_t connection_id);
  // The open connection with that id, or null.
  std::shared_ptr<ServerConnection> Find(std::uint64_t connection_id) const;
  void AbortAll();

  // Checks all connections' deadlines periodically until Shutdown().
  void StartSweeping();
  void Shutdown();

  // RESTinio logs a parser error immediately before it closes the connection
  // that caused the error; that connection retrieves the text on close.
  void RecordParserError(std::string text);
  std::string TakeParserError();

  const HttpServerOptions& Options() const { return this->options; }
  asio::io_context& Context() { return this->context; }
  asio::ssl::context* TlsContext() { return this->tls_context.get(); }

  // Null after Shutdown().
  HttpHandler handler;
  // RESTinio's connections update a counter in their acceptor without owning
  // the acceptor, so each open connection holds a reference to its owner.
  std::weak_ptr<void> acceptor_owner;
  std::shared_ptr<asio::ssl::context> tls_context;
  std::size_t requests_in_progress = 0;
  UnsentResponses unsent;
  // Responses carry "Connection: close" once set.
  bool keep_alive_disabled = false;

 private:
  void Sweep();

  asio::io_context& context;
  HttpServerOptions options;
  asio::steady_timer sweep_timer;
  Milliseconds sweep_period;
  // Invariant: every connection removes itself before it is destroyed.
  std::unordered_map<std::uint64_t, ServerConnection*> connections;
  std::string parser_error;
};

}  // namespace carobbank
