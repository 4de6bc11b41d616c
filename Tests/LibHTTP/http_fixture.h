// Shared by the client and server tests: a recorder for an exchange's
// callbacks, and a fixture with an event loop, a client and a server.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibHTTP/http.h"
#include "Support/loop_runner.h"
#include "Support/raw_socket.h"

namespace carobbank {

// Records the callbacks of one exchange.
struct Observed {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  int done = 0;
  std::optional<HttpClientFailure> failure;

  bool Ended() const { return this->done > 0 || this->failure.has_value(); }
  bool EndedWith(SendState send_state) const {
    return this->failure && this->failure->send_state == send_state;
  }
  HttpClientHandlers Handlers() {
    HttpClientHandlers handlers;
    handlers.on_headers = [this](int code, const HttpHeaders& fields) {
      this->status = code;
      this->headers = fields;
    };
    handlers.on_body = [this](std::string_view bytes) {
      this->body.append(bytes);
    };
    handlers.on_done = [this] { ++this->done; };
    handlers.on_failure = [this](const HttpClientFailure& reported) {
      this->failure = reported;
    };
    return handlers;
  }
};

class HttpFixture {
 public:
  LoopRunner runner;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(this->runner.loop);

  // False when the server could not be created.
  bool Serve(HttpServerOptions options, HttpHandler handler) {
    auto created = Capture([&] {
      return HttpServer::Create(this->runner.loop, std::move(options),
                                std::move(handler));
    });
    if (!created.Ok()) {
      return false;
    }
    this->server = std::move(created.Value());
    return true;
  }

  static std::string Url(std::uint16_t port) {
    return "http://127.0.0.1:" + std::to_string(port) + "/path?q=1";
  }

  HttpClientRequest Request(std::string method, std::string body = "") const {
    HttpClientRequest request;
    request.method = std::move(method);
    request.url = Url(this->server->Port());
    request.body = std::move(body);
    return request;
  }

  RawConnection Connect() const {
    return RawConnection::ConnectTo(this->server->Port());
  }
};

}  // namespace carobbank
