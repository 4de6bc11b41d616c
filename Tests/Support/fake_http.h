// Fakes of the HTTP client and of an HTTP responder.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"

namespace carobbank {

// A server's response to one request: headers and body, then an ending.
struct ScriptedResponse {
  enum class Ending { kComplete, kTruncated, kNotSent };

  int status = 200;
  HttpHeaders headers;
  std::string body;
  Ending ending = Ending::kComplete;
  // A second part of the body, delivered only while the exchange exists.
  std::string late_body{};
};

// Responds to each request with the result of `answer`, on the event loop.
class FakeHttpClient final : public HttpClient {
 public:
  explicit FakeHttpClient(EventLoop& loop) : loop(loop) {}

  // Returns the response to a request.
  std::function<ScriptedResponse(const HttpClientRequest&)> answer;
  // All requests but probes, oldest first.
  std::vector<HttpClientRequest> seen;
  // Requests for this path are probes: they get an empty response, or no
  // connection.
  std::string probe_path = "/health";
  bool probes_reach_servers = true;
  std::vector<HttpClientRequest> probes;
  // Responds to requests for `status_path`, which are then kept in
  // `status_requests`; without it they go to `answer`.
  std::string status_path = "/status";
  std::function<ScriptedResponse(const HttpClientRequest&)> answer_status;
  std::vector<HttpClientRequest> status_requests;

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    auto state = std::make_shared<ExchangeState>();
    this->loop.Post([response = this->Respond(request),
                     handlers = std::move(handlers),
                     weak = std::weak_ptr<ExchangeState>(state)] {
      Play(response, handlers, weak);
    });
    return std::make_unique<Exchange>(this->loop, std::move(state));
  }

 private:
  struct ExchangeState {
    bool paused = false;
    // What is delivered after Resume(); empty for nothing.
    std::function<void()> rest;
  };
  class Exchange final : public HttpExchange {
   public:
    Exchange(EventLoop& loop, std::shared_ptr<ExchangeState> state)
        : loop(loop), state(std::move(state)) {}
    void Pause() override { this->state->paused = true; }
    void Resume() override {
      this->state->paused = false;
      if (this->state->rest) {
        this->loop.Post(std::exchange(this->state->rest, nullptr));
      }
    }

   private:
    EventLoop& loop;
    // Expires with this exchange.
    std::shared_ptr<ExchangeState> state;
  };

  ScriptedResponse Respond(const HttpClientRequest& request) {
    if (request.url.ends_with(this->probe_path)) {
      this->probes.push_back(request);
      return this->AnswerToProbe();
    }
    if (this->answer_status && request.url.ends_with(this->status_path)) {
      this->status_requests.push_back(request);
      return this->answer_status(request);
    }
    this->seen.push_back(request);
    return this->answer(request);
  }

  ScriptedResponse AnswerToProbe() const {
    ScriptedResponse response;
    response.ending = this->probes_reach_servers
                          ? ScriptedResponse::Ending::kComplete
                          : ScriptedResponse::Ending::kNotSent;
    return response;
  }

  static void Play(const ScriptedResponse& response,
                   const HttpClientHandlers& handlers,
                   const std::weak_ptr<ExchangeState>& weak) {
    if (weak.expired()) {
      return;
    }
    if (response.ending == ScriptedResponse::Ending::kNotSent) {
      handlers.on_failure(
          {SendState::kNotSent, {ErrorKind::kUnavailable, "refused", "retry"}});
      return;
    }
    handlers.on_headers(response.status, response.headers);
    if (!weak.expired() && weak.lock()->paused) {
      weak.lock()->rest = [response, handlers, weak] {
        PlayBody(response, handlers, weak);
      };
      return;
    }
    PlayBody(response, handlers, weak);
  }

  static void PlayBody(const ScriptedResponse& response,
                       const HttpClientHandlers& handlers,
                       const std::weak_ptr<ExchangeState>& weak) {
    if (!weak.expired() && !response.body.empty()) {
      handlers.on_body(response.body);
    }
    if (!weak.expired() && !response.late_body.empty()) {
      handlers.on_body(response.late_body);
    }
    if (weak.expired()) {
      return;
    }
    if (response.ending == ScriptedResponse::Ending::kComplete) {
      handlers.on_done();
    } else {
      handlers.on_failure({SendState::kMayHaveBeenSent,
                           {ErrorKind::kOutcomeUnknown, "truncated", "retry"}});
    }
  }

  EventLoop& loop;
};

// The response as its caller received it.
struct ReceivedResponse {
  int status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;
  HttpHeaders headers;
  // The handler set with OnClosed(); calling it simulates that the caller
  // disconnects. Empty when no handler is set.
  std::function<void()> close;
  // The caller disconnects during the first write.
  bool leaves = false;
};

class FakeResponder final : public HttpResponder {
 public:
  explicit FakeResponder(ReceivedResponse& received) : received(received) {}

  void Send(HttpResponse response) override {
    this->received.status = response.status;
    this->received.body = std::move(response.body);
    this->received.headers = std::move(response.headers);
    this->received.complete = true;
  }
  void Start(int status, HttpHeaders headers) override {
    this->received.status = status;
    this->received.headers = std::move(headers);
  }
  void Write(std::string chunk, std::function<void(bool)> written) override {
    this->received.body += chunk;
    written(!this->received.leaves);
  }
  void Finish() override { this->received.complete = true; }
  void Abort() override { this->received.aborted = true; }
  void OnClosed(std::function<void()> closed) override {
    this->received.close = std::move(closed);
  }

 private:
  ReceivedResponse& received;
};

}  // namespace carobbank
