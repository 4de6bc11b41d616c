// Generates load: streamed completions against given addresses, in an open or a
// closed loop, on one thread. Duration and number of requests are bounded.

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
  // Base addresses, used round robin: "http://127.0.0.1:9001".
  std::vector<std::string> urls;
  // The addresses are engines, not entries; requests have no service or token.
  bool direct = false;
  // Model of the engines; only for direct requests.
  std::string model;
  std::string service;
  std::string token;
  // Used round robin.
  std::vector<std::string> prompts;
  std::uint64_t max_tokens = 16;
  // Requests started per second in the open loop; 0 selects the closed loop.
  double requests_per_second = 0;
  // Number of in-flight requests in the closed loop, and their upper bound in
  // the open loop. A request above the bound is not started and counts as
  // not_begun.
  std::uint64_t concurrency = 1;
  // The run starts no request after max_requests, or after duration.
  std::uint64_t max_requests = 100'000;
  Milliseconds duration{5'000};
  // Requests started within this time from the start are not measured.
  Milliseconds warm_up{500};
  Milliseconds request_timeout{30'000};
  // Seed of the first request; each further request adds 1.
  std::uint64_t seed = 1;
};

// Outcomes of the measured requests. Times are microseconds since the start of
// the request.
struct LoadResult {
  std::vector<std::int64_t> latencies;
  std::vector<std::int64_t> first_tokens;
  std::uint64_t chunks = 0;
  std::uint64_t tokens = 0;
  // Requests by outcome: "whole", "cut", "unreachable", "error_event", or the
  // status of a refusal.
  std::map<std::string, std::uint64_t> outcomes;
  // Open loop: requests not started because of the concurrency bound.
  std::uint64_t not_begun = 0;
  // Open loop: the longest delay of a start behind its due time.
  std::int64_t most_late_us = 0;
  double measured_seconds = 0;
};

class LoadRun {
 public:
  explicit LoadRun(LoadPlan plan);
  ~LoadRun();

  // Blocks until the last request has finished.
  LoadResult Run();

 private:
  struct InFlightRequest;

  void Tick();
  void StartDueRequests(MonotonicTime now);
  void FillConcurrency();
  bool MayStartRequest(MonotonicTime now) const;
  void StartRequest(MonotonicTime now);
  HttpClientRequest MakeRequest() const;
  HttpClientHandlers MakeHandlers(std::uint64_t id);
  void HandleBody(std::uint64_t id, std::string_view bytes);
  void HandleEvent(InFlightRequest& request, const ServerSentEvent& event);
  void FinishRequest(std::uint64_t id, std::string outcome);
  void RecordResult(const InFlightRequest& request, std::string outcome);

  LoadPlan plan;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<Timer> timer;
  MonotonicTime run_started;
  std::uint64_t requests_started = 0;
  // Open loop: requests that were due so far. Invariant: equals
  // requests_started + not_begun.
  std::uint64_t due_requests = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<InFlightRequest>>
      in_flight_requests;
  // Finished requests, destroyed on the next tick because a request may not be
  // destroyed by its own callback.
  std::vector<std::unique_ptr<InFlightRequest>> finished_requests;
  LoadResult result;
};

}  // namespace carobbank
