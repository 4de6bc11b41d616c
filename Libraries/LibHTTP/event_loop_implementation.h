// EventLoop's asio::io_context. Only for LibHTTP's own sources.

#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <vector>

#include "LibHTTP/event_loop.h"

namespace carobbank {

struct EventLoop::Implementation {
  // One thread runs the loop; posting stays safe from any thread.
  static constexpr int kThreads = 1;

  asio::io_context context{kThreads};
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(this->context);
  std::vector<std::unique_ptr<asio::signal_set>> signals;
};

}  // namespace carobbank
