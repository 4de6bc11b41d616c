// Hand-written fakes of the HTTP client and of a caller.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibHTTP/http.h"

namespace carobbank {

// What a server does with one request: bytes of its answer, then an ending.
struct ScriptedResponse {
  enum class Ending { kComplete, kTruncated, kNotSent };

  int status = 200;
  HttpHeaders headers;
  std::string body;
  Ending ending = Ending::kComplete;
  // Further bytes that had been read before the exchange was let go.
  std::string late_body{};
};

// Answers each request by the script, in order; `seen` keeps the requests.
class FakeHttpClient final : public HttpClient {
 public:
  explicit FakeHttpClient(EventLoop& loop) : loop(loop) {}

  // Called with each request; gives its answer.
  std::function<ScriptedResponse(const HttpClientRequest&)> answer;
  std::vector<HttpClientRequest> seen;

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    this->seen.push_back(request);
    auto alive = std::make_shared<bool>(true);
    this->loop.Post([answer = this->answer(request),
                     handlers = std::move(handlers),
                     alive = std::weak_ptr<bool>(alive)] {
      Play(answer, handlers, alive);
    });
    return std::make_unique<Exchange>(std::move(alive));
  }

 private:
  class Exchange final : public HttpExchange {
   public:
    explicit Exchange(std::shared_ptr<bool> alive) : alive(std::move(alive)) {}
    void Pause() override {}
    void Resume() override {}

   private:
    std::shared_ptr<bool> alive;
  };

  static void Play(const ScriptedResponse& answer,
                   const HttpClientHandlers& handlers,
                   const std::weak_ptr<bool>& alive) {
    if (alive.expired()) {
      return;
    }
    if (answer.ending == ScriptedResponse::Ending::kNotSent) {
      handlers.on_failure(
          {SendState::kNotSent, {ErrorKind::kUnavailable, "refused", "retry"}});
      return;
    }
    handlers.on_headers(answer.status, answer.headers);
    if (!alive.expired() && !answer.body.empty()) {
      handlers.on_body(answer.body);
    }
    if (!alive.expired() && !answer.late_body.empty()) {
      handlers.on_body(answer.late_body);
    }
    if (alive.expired()) {
      return;
    }
    if (answer.ending == ScriptedResponse::Ending::kComplete) {
      handlers.on_done();
    } else {
      handlers.on_failure({SendState::kMayHaveBeenSent,
                           {ErrorKind::kOutcomeUnknown, "cut", "retry"}});
    }
  }

  EventLoop& loop;
};

// What a caller received.
struct ReceivedResponse {
  int status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;
  HttpHeaders headers;
  // Call it to let the caller leave; empty when nobody would notice.
  std::function<void()> close;
  // The caller goes away while its first bytes are written.
  bool leaves = false;
};

class FakeResponder final : public HttpResponder {
 public:
  explicit FakeResponder(ReceivedResponse& view) : view(view) {}

  void Send(HttpResponse response) override {
    this->view.status = response.status;
    this->view.body = std::move(response.body);
    this->view.headers = std::move(response.headers);
    this->view.complete = true;
  }
  void Start(int status, HttpHeaders) override { this->view.status = status; }
  void Write(std::string chunk, std::function<void(bool)> written) override {
    this->view.body += chunk;
    written(!this->view.leaves);
  }
  void Finish() override { this->view.complete = true; }
  void Abort() override { this->view.aborted = true; }
  void OnClosed(std::function<void()> closed) override {
    this->view.close = std::move(closed);
  }

 private:
  ReceivedResponse& view;
};

}  // namespace carobbank
