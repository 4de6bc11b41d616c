// Maps a request handler's response calls to RESTinio's response builders.

#pragma once

#include <restinio/all.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "LibHTTP/connection_registry.h"
#include "LibHTTP/http_server.h"

namespace carobbank {

// The state behind a responder. The connection owns it until the response is
// written, so that the handler may release its responder earlier.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(std::shared_ptr<ConnectionRegistry> registry,
                 std::shared_ptr<ServerConnection> connection,
                 restinio::request_handle_t request);
  ~ServerExchange();
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  // Registers the exchange with its connection; call once after construction.
  void Attach();
  void Send(HttpResponse response);
  void Start(int status, HttpHeaders headers);
  void Write(std::string chunk, std::function<void(bool)> written);
  void Finish();
  void Abort();
  void OnClosed(std::function<void()> closed);
  // Called when the handler has released its responder. Sends a 500 problem or
  // aborts the connection when the response is incomplete.
  void OnResponderDestroyed();

 private:
  using ChunkedBuilder =
      restinio::response_builder_t<restinio::chunked_output_t>;
  enum class State { kWaiting, kStreaming, kFinishing, kEnded };

  template <typename Builder>
  void AddHeaders(Builder& builder, const HttpHeaders& headers);
  void SendWithoutBody(const HttpResponse& response);
  void FlushHeaders();
  void OnChunkWritten(bool success);
  void OnResponseWritten();
  void MarkEnded();
  void OnConnectionClosed();
  void Post(std::function<void()> task);
  bool ResponseHasBody(int status) const;
  // Counts a complete response against the server's limit.
  void TrackUnsent(std::size_t bytes);

  std::shared_ptr<ConnectionRegistry> registry;
  std::shared_ptr<ServerConnection> connection;
  // Null after a response builder was created from the request.
  restinio::request_handle_t request;
  bool is_head_request = false;
  // Id of the complete response in the registry's unsent ones, or 0.
  std::uint64_t unsent_id = 0;

  State state = State::kWaiting;
  std::optional<ChunkedBuilder> builder;
  bool headers_flushed = false;
  // Callbacks of chunks that are not written to the socket yet, in order.
  std::deque<std::function<void(bool)>> pending_chunks;
  std::function<void()> closed;
};

// The responder that is passed to the request handler.
std::shared_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<ServerExchange> exchange);

}  // namespace carobbank
