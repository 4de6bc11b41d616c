// Fakes of the sidecar's interfaces: the entry's connection, the backend
// server, timers and the entries' RPC. All calls are synchronous.

#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibProcess/process.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

// What an entry has received of one response.
struct ReceivedWorkResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // The end of the response arrived.
  bool complete = false;
  // The sidecar closed the connection before the end.
  bool aborted = false;
  // While set, writes stay pending until CompleteWrite().
  bool slow = false;
  std::function<void(bool)> pending_write;
  std::function<void()> closed;

  std::string Code() const {
    const std::size_t data = this->body.rfind("data: ");
    const std::string text = this->status == 200 && data != std::string::npos
                                 ? this->body.substr(data + 6)
                                 : this->body;
    const auto problem = Problem::FromText(this->status, text);
    return problem ? problem->code : "";
  }
  bool NotRun() const {
    return this->body.find("not_run") != std::string::npos;
  }
  void CompleteWrite() {
    const auto written = std::exchange(this->pending_write, nullptr);
    written(true);
  }
};

class PausableFakeResponder final : public HttpResponder {
 public:
  explicit PausableFakeResponder(std::shared_ptr<ReceivedWorkResponse> received)
      : received(std::move(received)) {}

  void Send(HttpResponse response) override {
    this->received->status = response.status;
    this->received->headers = std::move(response.headers);
    this->received->body = std::move(response.body);
    this->received->complete = true;
  }
  void Start(int status, HttpHeaders headers) override {
    this->received->status = status;
    this->received->headers = std::move(headers);
  }
  void Write(std::string chunk, std::function<void(bool)> written) override {
    this->received->body += chunk;
    if (this->received->slow) {
      this->received->pending_write = std::move(written);
    } else {
      written(true);
    }
  }
  void Finish() override { this->received->complete = true; }
  void Abort() override { this->received->aborted = true; }
  void OnClosed(std::function<void()> closed) override {
    this->received->closed = std::move(closed);
  }

 private:
  std::shared_ptr<ReceivedWorkResponse> received;
};

// One request that the backend server received.
struct BackendExchange {
  HttpClientRequest request;
  HttpClientHandlers handlers;
  bool paused = false;
  // The sidecar destroyed the exchange, before or after its end.
  bool dropped = false;
};

class FakeBackendClient final : public HttpClient {
 public:
  std::vector<std::shared_ptr<BackendExchange>> exchanges;

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    auto exchange = std::make_shared<BackendExchange>();
    exchange->request = std::move(request);
    exchange->handlers = std::move(handlers);
    this->exchanges.push_back(exchange);
    return std::make_unique<Handle>(exchange);
  }

 private:
  class Handle final : public HttpExchange {
   public:
    explicit Handle(std::shared_ptr<BackendExchange> exchange)
        : exchange(std::move(exchange)) {}
    ~Handle() override { this->exchange->dropped = true; }
    void Pause() override { this->exchange->paused = true; }
    void Resume() override { this->exchange->paused = false; }

   private:
    std::shared_ptr<BackendExchange> exchange;
  };
};

class FakeTimers final : public ControlTimers {
 public:
  std::unique_ptr<Timer> CallAfter(Milliseconds delay,
                                   std::function<void()> task) override {
    auto pending = std::make_shared<Pending>();
    pending->delay = delay;
    pending->task = std::move(task);
    this->pending.push_back(pending);
    return std::make_unique<Handle>(pending);
  }

  // Runs every timer that is set now, regardless of its delay.
  void RunAll() {
    const auto due = std::exchange(this->pending, {});
    for (const auto& timer : due) {
      if (timer->task) {
        const auto task = std::exchange(timer->task, nullptr);
        task();
      }
    }
  }

 private:
  struct Pending {
    Milliseconds delay{0};
    // Empty once cancelled or run.
    std::function<void()> task;
  };
  class Handle final : public Timer {
   public:
    explicit Handle(std::shared_ptr<Pending> pending)
        : pending(std::move(pending)) {}
    ~Handle() override { this->pending->task = nullptr; }
    void Cancel() override { this->pending->task = nullptr; }

   private:
    std::shared_ptr<Pending> pending;
  };

  std::deque<std::shared_ptr<Pending>> pending;
};

class FakePeers final : public PeerRpcClient {
 public:
  struct CallRecord {
    std::string address;
    Json::Value parameters;
    Callback callback;
  };
  std::vector<CallRecord> calls;

  void Call(std::string_view address,
            std::string_view,
            Json::Value parameters,
            Milliseconds,
            Callback callback) override {
    this->calls.push_back(
        {std::string(address), std::move(parameters), std::move(callback)});
  }
};

}  // namespace carobbank
