// Servers on threads of their own: an origin that streams, and a relay that
// passes requests on and answers back chunk by chunk, as entry and sidecar do.

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

// A thread with a loop, a server and a client for onward requests.
class ServerThread {
 public:
  // `next` is the URL prefix that a relay passes requests on to; empty makes an
  // origin.
  explicit ServerThread(std::string next) : next(std::move(next)) {
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

  // Processor time that the thread has used, in microseconds.
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
  // One passed-on request; owned by its handlers until it ends.
  struct Passage {
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<HttpExchange> exchange;
  };

  void Run(std::promise<std::uint16_t>& bound) {
    this->client = HttpClient::Create(this->loop);
    auto server = Capture([&] {
      return HttpServer::Create(
          this->loop, {}, [this](HttpRequest request, auto responder) {
            if (this->next.empty()) {
              Answer(request, std::move(responder));
            } else {
              this->PassOn(std::move(request), std::move(responder));
            }
          });
    });
    bound.set_value(server.Value()->Port());
    this->loop.Run();
    this->client.reset();
    server.Value().reset();
  }

  // "/N" streams N chunks, "/0" answers whole.
  static void Answer(const HttpRequest& request,
                     std::shared_ptr<HttpResponder> responder) {
    const int chunks = std::atoi(request.target.c_str() + 1);
    if (chunks == 0) {
      responder->Send({200, {}, request.body});
      return;
    }
    responder->Start(200, {{"Content-Type", "text/event-stream"}});
    WriteChunks(std::move(responder), chunks);
  }

  static void WriteChunks(std::shared_ptr<HttpResponder> responder, int left) {
    if (left == 0) {
      responder->Finish();
      return;
    }
    constexpr std::size_t kChunkBytes = 200;
    HttpResponder& writer = *responder;
    writer.Write(std::string(kChunkBytes, 'x'),
                 [responder = std::move(responder), left](bool /*ok*/) {
                   WriteChunks(responder, left - 1);
                 });
  }

  void PassOn(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    HttpClientRequest onward;
    onward.method = std::move(request.method);
    onward.url = this->next + request.target;
    onward.headers = std::move(request.headers);
    std::erase_if(onward.headers, [](const HttpHeader& header) {
      return header.name == "Host" || header.name == "Content-Length";
    });
    onward.body = std::move(request.body);
    auto passage = std::make_shared<Passage>();
    passage->responder = std::move(responder);
    HttpClientHandlers handlers;
    handlers.on_headers = [passage](int status, const HttpHeaders& headers) {
      passage->responder->Start(status, headers);
    };
    handlers.on_body = [passage](std::string_view bytes) {
      passage->exchange->Pause();
      passage->responder->Write(std::string(bytes), [passage](bool /*ok*/) {
        passage->exchange->Resume();
      });
    };
    handlers.on_done = [passage] { passage->responder->Finish(); };
    handlers.on_failure = [passage](const HttpClientFailure& /*failure*/) {
      passage->responder->Abort();
    };
    passage->exchange =
        this->client->Start(std::move(onward), std::move(handlers));
  }

  std::string next;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::uint16_t port = 0;
  std::thread thread;
};

}  // namespace carobbank
