// One bounded run of streamed completions against given addresses, in an open
// or a closed loop, on one thread.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibHTTP/http.h"

namespace carobbank {

struct LoadPlan {
  // Base addresses, taken in turn: "http://127.0.0.1:9001".
  std::vector<std::string> urls;
  // The addresses are engines, not entries: no service, no token.
  bool direct = false;
  // Of the engines called directly.
  std::string model;
  std::string service;
  std::string token;
  // Taken in turn.
  std::vector<std::string> prompts;
  std::uint64_t max_tokens = 16;
  // Requests begun each second in the open loop; 0 takes the closed loop.
  double requests_per_second = 0;
  // Requests in progress at once: the number in the closed loop, the bound in
  // the open one (a request that would exceed it is counted as not begun).
  std::uint64_t concurrency = 1;
  // Begins at most so many, for at most so long.
  std::uint64_t max_requests = 100'000;
  Milliseconds duration{5'000};
  // Not measured: requests begun this early.
  Milliseconds warm_up{500};
  Milliseconds request_timeout{30'000};
  // Of the first request; each one has its own.
  std::uint64_t seed = 1;
};

// What became of the measured requests. Times are microseconds from the moment
// at which the request was begun.
struct LoadResult {
  std::vector<std::int64_t> latencies;
  std::vector<std::int64_t> first_tokens;
  std::uint64_t chunks = 0;
  std::uint64_t tokens = 0;
  // Requests by outcome: "whole", "cut", "unreachable", "error_event", or the
  // status of a refusal.
  std::map<std::string, std::uint64_t> outcomes;
  // Open loop: requests that the bound of concurrency kept back.
  std::uint64_t not_begun = 0;
  // Open loop: the latest beginning behind its due time.
  std::int64_t most_late_us = 0;
  double measured_seconds = 0;
};

class LoadRun {
 public:
  explicit LoadRun(LoadPlan plan);
  ~LoadRun();

  // Blocks until the last request has ended.
  LoadResult Run();

 private:
  struct Call;

  void Tick();
  void BeginDue(MonotonicTime now);
  void FillUp();
  bool MayBegin(MonotonicTime now) const;
  void Begin(MonotonicTime now);
  HttpClientRequest MakeRequest() const;
  HttpClientHandlers MakeHandlers(std::uint64_t id);
  void TakeBody(std::uint64_t id, std::string_view bytes);
  void TakeEvent(Call& call, const ServerSentEvent& event);
  void End(std::uint64_t id, std::string outcome);
  void Measure(const Call& call, std::string outcome);

  LoadPlan plan;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<Timer> timer;
  MonotonicTime started;
  std::uint64_t begun = 0;
  // Open loop: requests that were due so far. Invariant: begun + not_begun.
  std::uint64_t due = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  // Ended ones, which their own callbacks may not destroy.
  std::vector<std::unique_ptr<Call>> ended;
  LoadResult result;
};

}  // namespace carobbank
