// The policies of the services, and their counters.

#include "retry_budgets.h"

#include <limits>

namespace carobbank {

namespace {

// The route bounds the attempts of a call. Another server is tried without a
// delay.
constexpr RetryOptions kOptions = {
    .budget_ratio = 0.2,
    .max_attempts = std::numeric_limits<std::uint32_t>::max(),
    .initial_backoff = Milliseconds(0),
    .maximum_backoff = Milliseconds(0)};

}  // namespace

RetryPolicy& RetryBudgets::PolicyOf(const std::string& service) {
  return this->policies.try_emplace(service, kOptions).first->second;
}

void RetryBudgets::OnFirstAttempt(const std::string& service) {
  this->PolicyOf(service).OnFirstAttempt();
}

bool RetryBudgets::TryRepeat(const std::string& service,
                             Milliseconds remaining) {
  FailedAttempt failed;
  // Whether the call may run again is decided by its route.
  failed.execution = AttemptExecution::kNotRun;
  failed.remaining = remaining;
  const RetryDecision decision =
      this->PolicyOf(service).Decide(failed, this->random);
  if (decision.Retry()) {
    this->metrics.GetCounter(metrics::kRetries, {{"service", service}}).Add();
  } else if (decision.refusal == RetryRefusal::kBudgetExhausted) {
    this->metrics
        .GetCounter(metrics::kRetryBudgetExhausted, {{"service", service}})
        .Add();
  }
  return decision.Retry();
}

}  // namespace carobbank
