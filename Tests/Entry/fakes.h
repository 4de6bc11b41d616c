// Hand-written fakes at the seams of the entry: sidecars, routing, retries.

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Services/Entry/generation.h"
#include "Support/fake_log.h"
#include "Support/loop_runner.h"
#include "Support/manual_clock.h"

namespace carobbank {

// What a sidecar does with one request: bytes of its answer, then an ending.
struct ScriptedAnswer {
  enum class Ending { kWhole, kCut, kNotSent };

  int status = 200;
  HttpHeaders headers;
  std::string body;
  Ending ending = Ending::kWhole;
  // Further bytes that had been read before the exchange was let go.
  std::string late_body{};
};

// Answers each request by the script, in order; `seen` keeps the requests.
class FakeHttpClient final : public HttpClient {
 public:
  explicit FakeHttpClient(EventLoop& loop) : loop(loop) {}

  // Called with each request; gives its answer.
  std::function<ScriptedAnswer(const HttpClientRequest&)> answer;
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

  static void Play(const ScriptedAnswer& answer,
                   const HttpClientHandlers& handlers,
                   const std::weak_ptr<bool>& alive) {
    if (alive.expired()) {
      return;
    }
    if (answer.ending == ScriptedAnswer::Ending::kNotSent) {
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
    if (answer.ending == ScriptedAnswer::Ending::kWhole) {
      handlers.on_done();
    } else {
      handlers.on_failure({SendState::kMayHaveBeenSent,
                           {ErrorKind::kOutcomeUnknown, "cut", "retry"}});
    }
  }

  EventLoop& loop;
};

// What a caller received.
struct CallerView {
  int status = 0;
  std::string body;
  bool whole = false;
  bool aborted = false;
  // The caller goes away while its first bytes are written.
  bool leaves = false;
};

class FakeResponder final : public HttpResponder {
 public:
  explicit FakeResponder(CallerView& view) : view(view) {}

  void Send(HttpResponse response) override {
    this->view.status = response.status;
    this->view.body = std::move(response.body);
    this->view.whole = true;
  }
  void Start(int status, HttpHeaders) override { this->view.status = status; }
  void Write(std::string chunk, std::function<void(bool)> written) override {
    this->view.body += chunk;
    written(!this->view.leaves);
  }
  void Finish() override { this->view.whole = true; }
  void Abort() override { this->view.aborted = true; }
  void OnClosed(std::function<void()>) override {}

 private:
  CallerView& view;
};

// Gives the servers s1, s2, ... in turn and keeps the evidence.
class FakeSelector final : public ServerSelector {
 public:
  std::vector<AttemptEnd> ends;
  std::vector<SelectionRequest> requests;
  std::size_t crashes = 0;
  int open = 0;

  std::variant<AttemptTarget, Problem> Choose(
      const SelectionRequest& request) override {
    this->requests.push_back(request);
    const std::string number = std::to_string(this->requests.size());
    return AttemptTarget{"s" + number, "127.0.0.1:" + number};
  }
  void OnStarted(std::string_view, std::string_view) override { ++this->open; }
  void OnEnded(std::string_view, std::string_view, AttemptEnd end) override {
    --this->open;
    this->ends.push_back(end);
  }
  void OnLoad(std::string_view, const LoadHint&) override {}
  void OnVersion(std::string_view, std::uint64_t) override {}
  void OnCrash(std::string_view, std::string_view, bool) override {
    ++this->crashes;
  }
  void OnFinished(std::string_view) override {}
  std::size_t Crashes(std::string_view) const override { return this->crashes; }
};

// Allows `allowed` retries, at once.
class FakeRetryGate final : public RetryGate {
 public:
  std::uint32_t allowed = 5;

  void OnFirstAttempt(std::string_view) override {}
  std::optional<Milliseconds> Ask(const RetryQuestion&) override {
    if (this->allowed == 0) {
      return std::nullopt;
    }
    --this->allowed;
    return Milliseconds(0);
  }
};

}  // namespace carobbank
