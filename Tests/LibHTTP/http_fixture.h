// What the tests of client and server share: an observed exchange, and a group
// with a loop, a client and a server.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibHTTP/http.h"
#include "Support/loop_runner.h"
#include "Support/raw_socket.h"

namespace carobbank {

// What one exchange reported.
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
    handlers.on_headers = [this](int given, const HttpHeaders& fields) {
      this->status = given;
      this->headers = fields;
    };
    handlers.on_body = [this](std::string_view bytes) {
      this->body.append(bytes);
    };
    handlers.on_done = [this] { ++this->done; };
    handlers.on_failure = [this](const HttpClientFailure& given) {
      this->failure = given;
    };
    return handlers;
  }
};

class HttpFixture {
 public:
  LoopRunner runner;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(this->runner.loop);

  // False when the server could not be made.
  bool Serve(HttpServerOptions options, HttpHandler handler) {
    auto made = Capture([&] {
      return HttpServer::Create(this->runner.loop, std::move(options),
                                std::move(handler));
    });
    if (!made.Ok()) {
      return false;
    }
    this->server = std::move(made.Value());
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
