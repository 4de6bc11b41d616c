// What all connections of one server share: options, the open connections, the
// count of requests in progress, and the last error of RESTinio's parser.

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

namespace carobbank {

class ConnectionRegistry
    : public std::enable_shared_from_this<ConnectionRegistry> {
 public:
  ConnectionRegistry(asio::io_context& context, HttpServerOptions options);

  // RESTinio's name for its listener's method; the connections report by
  // themselves.
  template <typename Notice>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const Notice& /*notice*/) noexcept {}

  void Add(ServerConnection& connection);
  void Remove(std::uint64_t connection_id);
  // The open connection of that number, or null.
  std::shared_ptr<ServerConnection> Find(std::uint64_t connection_id) const;
  void AbortAll();

  // Looks for passed deadlines until Shutdown().
  void StartSweeping();
  void Shutdown();

  // RESTinio reports a parser error right before it closes the connection that
  // caused it; the connection takes it then.
  void NoteParserError(std::string text);
  std::string TakeParserError();

  const HttpServerOptions& Options() const { return this->options; }
  asio::io_context& Context() { return this->context; }
  asio::ssl::context* TlsContext() { return this->tls_context.get(); }

  // Null after Shutdown().
  HttpHandler handler;
  // RESTinio's connections count themselves in their acceptor without owning
  // it, so each open connection keeps the acceptor's owner.
  std::weak_ptr<void> acceptor_owner;
  std::shared_ptr<asio::ssl::context> tls_context;
  std::size_t requests_in_progress = 0;
  // Answers name "Connection: close" from then on.
  bool draining = false;

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
