// Bookkeeping at the start and the end of an attempt.

#include "in_flight_attempt.h"

#include <utility>

#include "LibProcess/process.h"
#include "leaving_servers.h"
#include "server_limits.h"

namespace carobbank {

namespace {

constexpr int kFirstClientErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

std::string_view KindLabel(const ServerAttempt& attempt) {
  if (attempt.owed) {
    return "sample_or_reward";
  }
  return attempt.trial > 0 ? "trial" : "call";
}

std::string_view OutcomeLabel(const AttemptEnd& end) {
  switch (end.outcome) {
    case SendOutcome::kAnswered:
      if (end.status >= kFirstServerErrorStatus) {
        return "server_error";
      }
      return end.status >= kFirstClientErrorStatus ? "rejected" : "answered";
    case SendOutcome::kRefused:
      return "refused";
    case SendOutcome::kFailed:
      return end.may_have_run ? "broken" : "unreachable";
    case SendOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace

InFlightAttempt::InFlightAttempt(GatewayEnvironment& environment,
                                 const FleetServer& server,
                                 const BackendRequest& request)
    : environment(environment),
      attempt{server.id,
              server.service,
              server.address,
              server.started_at,
              environment.clock.Now(),
              request.request_id,
              request.digest,
              request.owed,
              request.trial},
      sent_at(environment.clock.WallNow()) {
  environment.loads.Begin(this->attempt.server_id);
  environment.quarantine.OnAttemptStarted(this->attempt);
  if (environment.limits.Find(server) != nullptr) {
    environment.metrics
        .GetCounter(metrics::kLimitedAttempts,
                    {{"service", server.service},
                     {"kind", std::string(KindLabel(this->attempt))}})
        .Add();
  }
}

Milliseconds InFlightAttempt::Elapsed() const {
  return std::chrono::duration_cast<Milliseconds>(
      this->environment.clock.Now() - this->attempt.began);
}

void InFlightAttempt::OnHeaders(int status, const HttpHeaders& headers) {
  ObserveLeavingServer(this->environment,
                       {this->attempt.server_id, this->sent_at}, status,
                       headers);
  this->environment.limits.Observe(
      {this->attempt.server_id, this->attempt.server_start,
       this->attempt.request_id},
      status, headers);
}

void InFlightAttempt::End(const AttemptEnd& end) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->environment.loads.End(this->attempt.server_id, end.outcome,
                              this->Elapsed(), this->environment.clock.Now());
  this->environment.metrics
      .GetCounter(metrics::kAttempts,
                  {{"service", this->attempt.service},
                   {"outcome", std::string(OutcomeLabel(end))}})
      .Add();
  this->ReportSuspect(end);
  this->environment.quarantine.OnAttemptEnded(this->attempt, end,
                                              this->Elapsed());
}

void InFlightAttempt::ReportSuspect(const AttemptEnd& end) const {
  const RequestQuarantine& quarantine = this->environment.quarantine;
  const std::size_t crashes =
      this->attempt.owed ? quarantine.OwedCrashesOf(this->attempt.digest)
                         : quarantine.CrashesOf(this->attempt.digest);
  if (crashes == 0) {
    return;
  }
  const std::string outcome(OutcomeLabel(end));
  this->environment.metrics
      .GetCounter(metrics::kSuspectAttempts,
                  {{"service", this->attempt.service}, {"outcome", outcome}})
      .Add();
  WriteLog(LogLevel::kInfo, "attempt of a request that crashed servers ended",
           {{"request", this->attempt.request_id},
            {"digest", this->attempt.digest},
            {"server", this->attempt.server_id},
            {"server_started_at", std::to_string(this->attempt.server_start)},
            {"crashes_before", std::to_string(crashes)},
            {"outcome", outcome},
            {"status", std::to_string(end.status)},
            {"attempt_ms", std::to_string(this->Elapsed().count())}});
}

}  // namespace carobbank
