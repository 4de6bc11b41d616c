// Decides whether a failed attempt is retried, and after which backoff.

#pragma once

#include <cstdint>
#include <optional>

#include "LibCore/core.h"

namespace carobbank {

struct RetryOptions {
  // Retries earned per first attempt: 0.1 allows one retry in ten.
  double budget_ratio = 0.1;
  // Maximum number of saved retries; also the initial budget of a service.
  double budget_burst = 10;
  std::uint32_t max_attempts = 4;
  Milliseconds initial_backoff{20};
  Milliseconds maximum_backoff{2000};
};

enum class AttemptExecution { kNotRun, kMayHaveRun };

struct FailedAttempt {
  AttemptExecution execution = AttemptExecution::kMayHaveRun;
  // The work may be retried even though it may have run.
  bool idempotent = false;
  // Attempts made so far, at least 1.
  std::uint32_t attempts = 1;
  // Until the request's deadline.
  Milliseconds remaining{0};
  // Minimum delay requested by the server in its refusal; 0 for none.
  Milliseconds retry_after{0};
};

enum class RetryRefusal {
  kNone,
  kMayHaveRun,
  kAttemptsExhausted,
  kBudgetExhausted,
  kDeadline,
};

struct RetryDecision {
  RetryRefusal refusal = RetryRefusal::kNone;
  // Delay before the next attempt.
  Milliseconds wait{0};

  bool Retry() const { return this->refusal == RetryRefusal::kNone; }
};

// Retry budget of one service: a token bucket filled by first attempts, so that
// retries stay a bounded fraction of the load in an outage.
class RetryPolicy {
 public:
  explicit RetryPolicy(RetryOptions options)
      : options(options), tokens(options.budget_burst) {}

  void OnFirstAttempt();
  // Consumes a token when the decision is to retry.
  RetryDecision Decide(const FailedAttempt& failed, Random& random);
  double Tokens() const { return this->tokens; }

 private:
  Milliseconds Backoff(const FailedAttempt& failed, Random& random) const;

  RetryOptions options;
  // Invariant: within [0, budget_burst].
  double tokens;
};

}  // namespace carobbank
