// Enforces the limits of one service at one entry and counts its requests.

#include "service_limiter.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr Milliseconds kRetryAfterConcurrency{100};
constexpr double kMillisecondsPerSecond = 1'000;

RetryOptions OptionsOf(const RetryRules& rules) {
  RetryOptions options;
  options.budget_ratio = rules.budget_ratio;
  options.max_attempts = static_cast<std::uint32_t>(rules.max_attempts);
  options.initial_backoff = Milliseconds(rules.backoff_ms);
  options.maximum_backoff = Milliseconds(rules.max_backoff_ms);
  return options;
}

bool Same(const RetryRules& left, const RetryRules& right) {
  return left.budget_ratio == right.budget_ratio &&
         left.max_attempts == right.max_attempts &&
         left.backoff_ms == right.backoff_ms &&
         left.max_backoff_ms == right.max_backoff_ms;
}

}  // namespace

ServiceLimiter::ServiceLimiter(const Clock& clock,
                               MetricRegistry& metrics,
                               std::string service)
    : clock(clock),
      metrics(metrics),
      service(std::move(service)),
      in_progress(
          metrics.GetGauge(metrics::kInProgress, {{"service", this->service}})),
      request_time(metrics.GetTiming(metrics::kRequestTime,
                                     {{"service", this->service}})),
      requests(
          metrics.GetCounter(metrics::kRequests, {{"service", this->service}})),
      retry_count(metrics.GetCounter(metrics::kRetries,
                                     {{"service", this->service}})) {}

void ServiceLimiter::Configure(const ServiceDocument& document) {
  if (!this->retries || !Same(this->retry_rules, document.retry)) {
    this->retries = std::make_unique<RetryPolicy>(OptionsOf(document.retry));
    this->retry_rules = document.retry;
  }
  this->limits = document.limits;
}

std::optional<Milliseconds> ServiceLimiter::Begin(std::string_view caller) {
  if (this->running >= this->limits.concurrency) {
    return kRetryAfterConcurrency;
  }
  const auto by_caller = this->running_by_caller.find(caller);
  if (by_caller != this->running_by_caller.end() &&
      by_caller->second >= this->streams_per_caller) {
    return kRetryAfterConcurrency;
  }
  if (this->limits.requests_per_s > 0) {
    const auto rate = static_cast<double>(this->limits.requests_per_s);
    const MonotonicTime now = this->clock.Now();
    const std::chrono::duration<double> passed = now - this->refilled;
    this->request_tokens =
        std::min(rate, this->request_tokens + passed.count() * rate);
    this->refilled = now;
    if (this->request_tokens < 1) {
      const double wait =
          (1 - this->request_tokens) / rate * kMillisecondsPerSecond;
      return Milliseconds(static_cast<std::int64_t>(wait) + 1);
    }
    this->request_tokens -= 1;
  }
  ++this->running;
  ++this->running_by_caller[std::string(caller)];
  this->in_progress.Add(1);
  this->requests.Add();
  return std::nullopt;
}

void ServiceLimiter::End(std::string_view caller, MonotonicTime began) {
  --this->running;
  const auto by_caller = this->running_by_caller.find(caller);
  if (by_caller != this->running_by_caller.end() && --by_caller->second == 0) {
    this->running_by_caller.erase(by_caller);
  }
  this->in_progress.Add(-1);
  this->request_time.Record(this->clock.Now() - began);
}

void ServiceLimiter::CountRefusal(const Problem& problem) {
  const bool not_run = problem.execution == Execution::kNotRun;
  this->metrics
      .GetCounter(metrics::kRefusals,
                  {{"service", this->service},
                   {"code", problem.code},
                   {"execution", not_run ? "not_run" : "may_have_run"}})
      .Add();
}

void ServiceLimiter::CountResponse(int status) {
  this->metrics
      .GetCounter(metrics::kAnswers, {{"service", this->service},
                                      {"status", std::to_string(status)}})
      .Add();
}

void ServiceLimiter::CountRetry() {
  this->retry_count.Add();
}

ServiceLimiter& ServiceLimiters::Of(const ServiceDocument& document) {
  std::unique_ptr<ServiceLimiter>& limiter = this->limiters[document.name];
  if (!limiter) {
    limiter = std::make_unique<ServiceLimiter>(this->clock, this->metrics,
                                               document.name);
    limiter->streams_per_caller = this->streams_per_caller;
  }
  limiter->Configure(document);
  return *limiter;
}

ServiceLimiter* ServiceLimiters::Find(std::string_view service) {
  const auto found = this->limiters.find(service);
  return found == this->limiters.end() ? nullptr : found->second.get();
}

void ServiceLimiters::OnFirstAttempt(std::string_view service) {
  ServiceLimiter* limiter = this->Find(service);
  if (limiter && limiter->retries) {
    limiter->Retries().OnFirstAttempt();
  }
}

std::optional<Milliseconds> ServiceLimiters::RetryDelay(
    const RetryContext& context) {
  // A step retries its failed samples itself and without a budget; its window
  // bounds the load.
  if (context.service_class == RouteClass::kTraining) {
    return std::nullopt;
  }
  ServiceLimiter* limiter = this->Find(context.service);
  if (!limiter || !limiter->retries) {
    return std::nullopt;
  }
  FailedAttempt failed;
  failed.execution = AttemptExecution::kMayHaveRun;
  failed.idempotent = context.repeatable;
  failed.attempts = context.failures;
  failed.remaining = context.remaining;
  failed.retry_after = context.retry_after.value_or(Milliseconds(0));
  const RetryDecision decision =
      limiter->Retries().Decide(failed, this->random);
  if (!decision.Retry()) {
    return std::nullopt;
  }
  limiter->CountRetry();
  return decision.wait;
}

}  // namespace carobbank
