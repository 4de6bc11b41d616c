// An event loop on its own thread, and blocking access to it for tests.

#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>

#include "LibHTTP/http.h"

namespace carobbank {

class LoopThread {
 public:
  LoopThread() : thread([this] { this->loop.Run(); }) {}
  ~LoopThread() {
    this->loop.Stop();
    this->thread.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  EventLoop& Loop() { return this->loop; }

  // Runs `start` on the loop. The future gets the value that `start` passes to
  // its callback.
  template <typename Value>
  std::future<Value> Begin(
      std::function<void(std::function<void(Value)>)> start) {
    auto promise = std::make_shared<std::promise<Value>>();
    auto result = promise->get_future();
    this->loop.Post([start = std::move(start), promise] {
      start([promise](Value value) { promise->set_value(std::move(value)); });
    });
    return result;
  }

  // Waits for the result of Begin(). The only time limit is a guard against
  // hangs; throws std::runtime_error when it is exceeded.
  template <typename Value>
  static Value Finish(std::future<Value> result) {
    constexpr std::chrono::seconds kHangGuard{60};
    if (result.wait_for(kHangGuard) != std::future_status::ready) {
      throw std::runtime_error("no result within the 60 s hang guard");
    }
    return result.get();
  }

  template <typename Value>
  Value Await(std::function<void(std::function<void(Value)>)> start) {
    return Finish(this->Begin<Value>(std::move(start)));
  }

  // Runs `task` on the loop and waits for it.
  void Run(std::function<void()> task) {
    this->Await<bool>([task = std::move(task)](auto done) {
      task();
      done(true);
    });
  }

 private:
  EventLoop loop;
  std::thread thread;
};

}  // namespace carobbank
