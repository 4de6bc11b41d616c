// Tracks the server's connections and checks their deadlines periodically.

#include "LibHTTP/connection_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace carobbank {

namespace {

constexpr Milliseconds kMinimumSweepPeriod{10};
constexpr Milliseconds kMaximumSweepPeriod{500};
// A passed deadline is detected within a quarter of the shortest timeout.
constexpr int kSweepsPerTimeout = 4;

Milliseconds SweepPeriod(const HttpServerOptions& options) {
  const Milliseconds shortest =
      std::min({options.read_timeout, options.write_timeout,
                options.keep_alive_timeout});
  return std::clamp(shortest / kSweepsPerTimeout, kMinimumSweepPeriod,
                    kMaximumSweepPeriod);
}

}  // namespace

ConnectionRegistry::ConnectionRegistry(asio::io_context& context,
                                       HttpServerOptions options)
    : unsent(options.max_unsent_bytes),
      context(context),
      options(std::move(options)),
      sweep_timer(context),
      sweep_period(SweepPeriod(this->options)) {}

void ConnectionRegistry::Add(ServerConnection& connection) {
  this->connections[connection.Id()] = &connection;
}

void ConnectionRegistry::Remove(std::uint64_t connection_id) {
  this->connections.erase(connection_id);
}

std::shared_ptr<ServerConnection> ConnectionRegistry::Find(
    std::uint64_t connection_id) const {
  const auto found = this->connections.find(connection_id);
  if (found == this->connections.end()) {
    return nullptr;
  }
  return found->second->shared_from_this();
}

void ConnectionRegistry::AbortAll() {
  // Aborting may destroy a connection, which then removes itself.
  std::vector<std::shared_ptr<ServerConnection>> all;
  all.reserve(this->connections.size());
  for (const auto& [connection_id, connection] : this->connections) {
    all.push_back(connection->shared_from_this());
  }
  for (const auto& connection : all) {
    connection->Abort();
  }
}

void ConnectionRegistry::StartSweeping() {
  this->sweep_timer.expires_after(this->sweep_period);
  this->sweep_timer.async_wait(
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) {
          self->Sweep();
          self->StartSweeping();
        }
      });
}

void ConnectionRegistry::Sweep() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  // Cancelled operations complete later, from the loop, so the map does not
  // change during this iteration.
  for (const auto& [connection_id, connection] : this->connections) {
    connection->CheckDeadlines(now);
  }
}

void ConnectionRegistry::Shutdown() {
  this->sweep_timer.cancel();
  this->handler = nullptr;
  this->AbortAll();
}

void ConnectionRegistry::RecordParserError(std::string text) {
  this->parser_error = std::move(text);
}

std::string ConnectionRegistry::TakeParserError() {
  return std::exchange(this->parser_error, std::string());
}

}  // namespace carobbank
