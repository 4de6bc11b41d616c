// Conditions, rate and outcomes of duty calls.

#include "duty_calls.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
// Part of the API's rate that this instance uses: a holder before may have sent
// calls within the same second.
constexpr double kUsedShareOfRate = 0.8;
// Calls of this part of a second may be sent at once.
constexpr double kBurstSeconds = 0.1;
// A call needs at least this part of the lease duration: the API may be slow,
// and a call that times out is repeated.
constexpr int kMinCallPercent = 30;

DutyCallOutcome OutcomeOf(const Outcome<HttpResponse>& outcome) {
  if (!outcome.Ok()) {
    return DutyCallOutcome::kFailed;
  }
  switch (outcome.Value().status) {
    case kOk:
      return DutyCallOutcome::kAccepted;
    case kConflict:
      return DutyCallOutcome::kFenced;
    case kTooManyRequests:
      return DutyCallOutcome::kThrottled;
    default:
      return DutyCallOutcome::kRejected;
  }
}

std::string_view OutcomeLabel(DutyCallOutcome outcome) {
  switch (outcome) {
    case DutyCallOutcome::kAccepted:
      return "accepted";
    case DutyCallOutcome::kFenced:
      return "fenced";
    case DutyCallOutcome::kThrottled:
      return "throttled";
    case DutyCallOutcome::kRejected:
      return "rejected";
    case DutyCallOutcome::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

DutyCalls::DutyCalls(GatewayEnvironment& environment, LogLease& lease)
    : environment(environment), lease(lease) {}

DutyCalls::~DutyCalls() {
  *this->alive = false;
}

Milliseconds DutyCalls::TimeForCall() const {
  const auto until = this->lease.ConfirmedUntil();
  if (!until || this->lease.FencingToken() <= this->fenced_token) {
    return Milliseconds(0);
  }
  const MonotonicTime now = this->environment.clock.BootNow();
  // A call of the holder before may be carried out late.
  if (!this->environment.settings.duties.tokens_checked &&
      now < this->lease.HeldSince() + this->lease.Duration()) {
    return Milliseconds(0);
  }
  const auto left = std::chrono::duration_cast<Milliseconds>(*until - now);
  return left < this->lease.Duration() * kMinCallPercent / 100 ? Milliseconds(0)
                                                               : left;
}

bool DutyCalls::TakeFromRate() {
  const double rate =
      this->environment.settings.duties.calls_per_s * kUsedShareOfRate;
  const double most = std::max(1.0, rate * kBurstSeconds);
  const MonotonicTime now = this->environment.clock.Now();
  if (this->allowance_at != MonotonicTime::min()) {
    const std::chrono::duration<double> elapsed = now - this->allowance_at;
    this->allowance = std::min(most, this->allowance + elapsed.count() * rate);
  }
  this->allowance_at = now;
  if (this->allowance < 1) {
    return false;
  }
  this->allowance -= 1;
  return true;
}

bool DutyCalls::Send(std::string_view duty,
                     std::string_view subject,
                     const Encode& encode,
                     Callback done) {
  const std::string key = std::string(duty) + "/" + std::string(subject);
  const Milliseconds time = this->TimeForCall();
  if (time.count() <= 0 || this->in_flight.contains(key) ||
      !this->TakeFromRate()) {
    return false;
  }
  const std::uint64_t token = this->lease.FencingToken();
  HttpClientRequest request =
      encode({this->environment.settings.duties.address,
              this->environment.settings.instance, token});
  request.timeout = time;
  request.connect_timeout = std::min(request.connect_timeout, time);
  this->in_flight.insert(key);
  this->environment.client.Fetch(
      std::move(request),
      [this, alive = this->alive, key, duty = std::string(duty), token,
       done = std::move(done)](const Outcome<HttpResponse>& response) {
        if (!*alive) {
          return;
        }
        this->in_flight.erase(key);
        const DutyCallOutcome outcome = OutcomeOf(response);
        this->OnResponse(duty, token, outcome);
        done(outcome);
      });
  return true;
}

void DutyCalls::OnResponse(std::string_view duty,
                           std::uint64_t token,
                           DutyCallOutcome outcome) {
  this->environment.metrics
      .GetCounter(metrics::kDutyCalls,
                  {{"duty", std::string(duty)},
                   {"outcome", std::string(OutcomeLabel(outcome))}})
      .Add();
  if (outcome == DutyCallOutcome::kFenced) {
    WriteLog(LogLevel::kWarning,
             "duty call refused: a higher fencing token was seen",
             {{"duty", std::string(duty)},
              {"fencing_token", std::to_string(token)}});
    this->fenced_token = std::max(this->fenced_token, token);
    this->lease.OnFenced(token);
  }
  const bool fails = outcome == DutyCallOutcome::kFailed ||
                     outcome == DutyCallOutcome::kRejected;
  if (outcome != DutyCallOutcome::kThrottled &&
      std::exchange(this->failing, fails) != fails) {
    WriteLog(fails ? LogLevel::kWarning : LogLevel::kInfo,
             fails ? "duty calls fail; will retry" : "duty calls succeed again",
             {{"duty", std::string(duty)},
              {"outcome", std::string(OutcomeLabel(outcome))}});
  }
}

}  // namespace carobbank
