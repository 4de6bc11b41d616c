// Limits of each service at this entry: concurrency, request rate and retry
// budget; counts its requests, responses and refusals.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibContract/contract.h"
#include "LibRouting/routing.h"
#include "LibTimeline/timeline.h"
#include "retry_controller.h"

namespace carobbank {

// One service's limits and metric handles.
class ServiceLimiter {
 public:
  ServiceLimiter(const Clock& clock,
                 MetricRegistry& metrics,
                 std::string service);

  // Applies the document's limits and retry rules. Running counts and the
  // request bucket are retained; changed retry rules start a new retry budget.
  void Configure(const ServiceDocument& document);

  // Nothing when the request may begin; it must then end with End(). Otherwise
  // the delay before a retry.
  std::optional<Milliseconds> Begin(std::string_view caller);
  void End(std::string_view caller, MonotonicTime began);

  RetryPolicy& Retries() { return *this->retries; }
  void CountRefusal(const Problem& problem);
  void CountResponse(int status);
  void CountRetry();

 private:
  const Clock& clock;
  MetricRegistry& metrics;
  std::string service;
  ServiceLimits limits;
  RetryRules retry_rules;
  std::int64_t streams_per_caller = 0;
  std::unique_ptr<RetryPolicy> retries;
  // Token bucket of limits.requests_per_s; holds at most one second's worth.
  double request_tokens = 0;
  MonotonicTime refilled{};
  std::int64_t running = 0;
  std::map<std::string, std::int64_t, std::less<>> running_by_caller;
  Gauge& in_progress;
  Timing& request_time;
  Counter& requests;
  Counter& retry_count;

  friend class ServiceLimiters;
};

// The limiters of all services, and the retry controller that uses their
// budgets.
class ServiceLimiters final : public RetryController {
 public:
  ServiceLimiters(const Clock& clock,
                  Random& random,
                  MetricRegistry& metrics,
                  std::int64_t streams_per_caller)
      : clock(clock),
        random(random),
        metrics(metrics),
        streams_per_caller(streams_per_caller) {}

  ServiceLimiter& Of(const ServiceDocument& document);
  ServiceLimiter* Find(std::string_view service);

  void OnFirstAttempt(std::string_view service) override;
  std::optional<Milliseconds> RetryDelay(const RetryContext& context) override;

 private:
  const Clock& clock;
  Random& random;
  MetricRegistry& metrics;
  std::int64_t streams_per_caller;
  std::map<std::string, std::unique_ptr<ServiceLimiter>, std::less<>> limiters;
};

}  // namespace carobbank
