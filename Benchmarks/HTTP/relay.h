// Servers that each run on their own thread: a streaming origin, and a relay
// that forwards requests and streams the responses back chunk by chunk, as the
// entry and the sidecar do.

#pragma once

#include <sys/resource.h>

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "LibHTTP/http.h"

namespace carobbank {

// A thread with an event loop, a server and a client for upstream requests.
class ServerThread {
 public:
  // `upstream_url` is the URL prefix to which a relay forwards requests; empty
  // for an origin.
  explicit ServerThread(std::string upstream_url)
      : upstream_url(std::move(upstream_url)) {
    std::promise<std::uint16_t> bound;
    this->thread = std::thread([this, &bound] { this->Run(bound); });
    this->port = bound.get_future().get();
  }
  ~ServerThread() {
    this->loop.Stop();
    this->thread.join();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->port);
  }

  // Processor time used by the thread, in microseconds.
  double ProcessorMicroseconds() {
    std::promise<double> used;
    this->loop.Post([&used] {
      rusage usage{};
      ::getrusage(RUSAGE_THREAD, &usage);
      constexpr double kMicrosecondsPerSecond = 1e6;
      used.set_value(
          static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
              kMicrosecondsPerSecond +
          static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
    });
    return used.get_future().get();
  }

 private:
  // One forwarded request; owned by its handlers until it ends.
  struct ForwardedRequest {
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<HttpExchange> exchange;
  };

  void Run(std::promise<std::uint16_t>& bound) {
    this->client = HttpClient::Create(this->loop);
    auto server = Capture([&] {
      return HttpServer::Create(
          this->loop, {}, [this](HttpRequest request, auto responder) {
            if (this->upstream_url.empty()) {
              ServeOrigin(request, std::move(responder));
            } else {
              this->ForwardRequest(std::move(request), std::move(responder));
            }
          });
    });
    bound.set_value(server.Value()->Port());
    this->loop.Run();
    this->client.reset();
    server.Value().reset();
  }

  // "/N" streams N chunks; "/0" sends an unstreamed response.
  static void ServeOrigin(const HttpRequest& request,
                          std::shared_ptr<HttpResponder> responder) {
    const int chunks = std::atoi(request.target.c_str() + 1);
    if (chunks == 0) {
      responder->Send({200, {}, request.body});
      return;
    }
    responder->Start(200, {{"Content-Type", "text/event-stream"}});
    WriteChunks(std::move(responder), chunks);
  }

  static void WriteChunks(std::shared_ptr<HttpResponder> responder,
                          int remaining) {
    if (remaining == 0) {
      responder->Finish();
      return;
    }
    constexpr std::size_t kChunkBytes = 200;
    HttpResponder& writer = *responder;
    writer.Write(std::string(kChunkBytes, 'x'),
                 [responder = std::move(responder), remaining](bool /*ok*/) {
                   WriteChunks(responder, remaining - 1);
                 });
  }

  void ForwardRequest(HttpRequest request,
                      std::shared_ptr<HttpResponder> responder) {
    HttpClientRequest upstream_request;
    upstream_request.method = std::move(request.method);
    upstream_request.url = this->upstream_url + request.target;
    upstream_request.headers = std::move(request.headers);
    std::erase_if(upstream_request.headers, [](const HttpHeader& header) {
      return header.name == "Host" || header.name == "Content-Length";
    });
    upstream_request.body = std::move(request.body);
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->responder = std::move(responder);
    HttpClientHandlers handlers;
    handlers.on_headers = [forwarded](int status, const HttpHeaders& headers) {
      forwarded->responder->Start(status, headers);
    };
    handlers.on_body = [forwarded](std::string_view bytes) {
      forwarded->exchange->Pause();
      forwarded->responder->Write(std::string(bytes), [forwarded](bool /*ok*/) {
        forwarded->exchange->Resume();
      });
    };
    handlers.on_done = [forwarded] { forwarded->responder->Finish(); };
    handlers.on_failure = [forwarded](const HttpClientFailure& /*failure*/) {
      forwarded->responder->Abort();
    };
    forwarded->exchange =
        this->client->Start(std::move(upstream_request), std::move(handlers));
  }

  std::string upstream_url;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::uint16_t port = 0;
  std::thread thread;
};

}  // namespace carobbank
