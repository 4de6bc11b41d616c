// One request's answer, from the handler's calls to RESTinio's builders.

#pragma once

#include <restinio/all.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "LibHTTP/connection_registry.h"
#include "LibHTTP/http_server.h"

namespace carobbank {

// The state behind a responder. Kept by the connection until the answer is
// written, so that the handler may let go of its responder before that.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(std::shared_ptr<ConnectionRegistry> registry,
                 std::shared_ptr<ServerConnection> connection,
                 restinio::request_handle_t request);
  ~ServerExchange();
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  // Ties the exchange to its connection; call once after construction.
  void Attach();
  void Send(HttpResponse response);
  void Start(int status, HttpHeaders headers);
  void Write(std::string chunk, std::function<void(bool)> written);
  void Finish();
  void Abort();
  void OnClosed(std::function<void()> closed);
  // The handler let go of the responder.
  void Dropped();

 private:
  using ChunkedBuilder =
      restinio::response_builder_t<restinio::chunked_output_t>;
  enum class State { kWaiting, kStreaming, kFinishing, kEnded };

  template <typename Builder>
  void AddHeaders(Builder& builder, const HttpHeaders& headers);
  void SendWithoutBody(const HttpResponse& response);
  void FlushHead();
  void ChunkWritten(bool success);
  void AnswerWritten();
  void End();
  void HandleClosed();
  void Post(std::function<void()> task);
  bool AnswerHasBody(int status) const;

  std::shared_ptr<ConnectionRegistry> registry;
  std::shared_ptr<ServerConnection> connection;
  // Null once the builder took the connection over.
  restinio::request_handle_t request;
  bool head_only = false;

  State state = State::kWaiting;
  std::optional<ChunkedBuilder> builder;
  bool head_flushed = false;
  // The callbacks of chunks that were not handed to the socket yet, in order.
  std::deque<std::function<void(bool)>> pending_chunks;
  std::function<void()> closed;
};

// The handle that a handler holds.
std::shared_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<ServerExchange> exchange);

}  // namespace carobbank
