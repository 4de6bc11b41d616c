// EventLoop over asio::io_context, steady_timer and signal_set.

#include "LibHTTP/event_loop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <utility>

#include "LibHTTP/event_loop_implementation.h"

namespace carobbank {

namespace {

// Shared with the pending wait, so that a timer cancelled after its completion
// was queued does not run its task.
struct TimerState {
  explicit TimerState(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  // Empty after it ran or was cancelled.
  std::function<void()> task;
};

class AsioTimer final : public Timer {
 public:
  explicit AsioTimer(std::shared_ptr<TimerState> state)
      : state(std::move(state)) {}
  ~AsioTimer() override { this->Cancel(); }

  void Cancel() override {
    this->state->task = nullptr;
    this->state->timer.cancel();
  }

 private:
  std::shared_ptr<TimerState> state;
};

void RunTask(TimerState& state) {
  if (!state.task) {
    return;
  }
  // Moved out first: the task may destroy its own timer.
  const std::function<void()> task = std::move(state.task);
  state.task = nullptr;
  task();
}

void WaitForSignal(asio::signal_set& signals,
                   std::shared_ptr<std::function<void()>> task) {
  signals.async_wait([&signals, task = std::move(task)](
                         const asio::error_code& error, int /*number*/) {
    if (error) {
      return;
    }
    WaitForSignal(signals, task);
    (*task)();
  });
}

}  // namespace

EventLoop::EventLoop() : implementation(std::make_unique<Implementation>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  this->implementation->context.run();
  this->implementation->context.restart();
}

void EventLoop::Stop() {
  this->implementation->context.stop();
}

void EventLoop::Post(std::function<void()> task) {
  asio::post(this->implementation->context, std::move(task));
}

std::unique_ptr<Timer> EventLoop::CallAfter(Milliseconds delay,
                                            std::function<void()> task) {
  auto state = std::make_shared<TimerState>(this->implementation->context);
  state->task = std::move(task);
  state->timer.expires_after(delay);
  state->timer.async_wait([state](const asio::error_code& error) {
    if (!error) {
      RunTask(*state);
    }
  });
  return std::make_unique<AsioTimer>(std::move(state));
}

void EventLoop::OnSignal(int signal_number, std::function<void()> task) {
  auto signals = std::make_unique<asio::signal_set>(
      this->implementation->context, signal_number);
  WaitForSignal(*signals,
                std::make_shared<std::function<void()>>(std::move(task)));
  this->implementation->signals.push_back(std::move(signals));
}

}  // namespace carobbank
