// Retry budget, and exponential backoff with jitter.

#include "LibRouting/retry_policy.h"

#include <algorithm>

namespace carobbank {

namespace {

// Limits the shift below; the backoff has reached its maximum by then.
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

void RetryPolicy::OnFirstAttempt() {
  this->tokens = std::min(this->options.budget_burst,
                          this->tokens + this->options.budget_ratio);
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& failed, Random& random) {
  const bool repeatable =
      failed.execution == AttemptExecution::kNotRun || failed.idempotent;
  if (!repeatable) {
    return {RetryRefusal::kMayHaveRun, Milliseconds(0)};
  }
  if (failed.attempts >= this->options.max_attempts) {
    return {RetryRefusal::kAttemptsExhausted, Milliseconds(0)};
  }
  const Milliseconds wait = this->Backoff(failed, random);
  if (wait >= failed.remaining) {
    return {RetryRefusal::kDeadline, Milliseconds(0)};
  }
  if (this->tokens < 1) {
    return {RetryRefusal::kBudgetExhausted, Milliseconds(0)};
  }
  this->tokens -= 1;
  return {RetryRefusal::kNone, wait};
}

Milliseconds RetryPolicy::Backoff(const FailedAttempt& failed,
                                  Random& random) const {
  const std::uint32_t doublings =
      std::min(std::max(failed.attempts, 1U) - 1, kMaxDoublings);
  const Milliseconds full = std::min(
      this->options.maximum_backoff,
      Milliseconds(this->options.initial_backoff.count() << doublings));
  const double jitter = 0.5 + 0.5 * random.Unit();
  const Milliseconds wait(
      static_cast<std::int64_t>(static_cast<double>(full.count()) * jitter));
  return std::max(wait, failed.retry_after);
}

}  // namespace carobbank
