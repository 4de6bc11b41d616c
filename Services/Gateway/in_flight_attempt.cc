// Bookkeeping at the start and the end of an attempt.

#include "in_flight_attempt.h"

#include <utility>

namespace carobbank {

namespace {

std::string_view OutcomeLabel(SendOutcome outcome, bool may_have_run) {
  switch (outcome) {
    case SendOutcome::kAnswered:
      return "answered";
    case SendOutcome::kRefused:
      return "refused";
    case SendOutcome::kFailed:
      return may_have_run ? "broken" : "unreachable";
    case SendOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace

InFlightAttempt::InFlightAttempt(GatewayEnvironment& environment,
                                 const FleetServer& server,
                                 std::string digest)
    : environment(environment),
      server_id(server.id),
      service(server.service),
      server_start(server.started_at),
      digest(std::move(digest)),
      began(environment.clock.Now()) {
  environment.loads.Begin(this->server_id);
}

Milliseconds InFlightAttempt::Elapsed() const {
  return std::chrono::duration_cast<Milliseconds>(
      this->environment.clock.Now() - this->began);
}

void InFlightAttempt::End(SendOutcome outcome, bool may_have_run) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->environment.loads.End(this->server_id, outcome, this->Elapsed(),
                              this->environment.clock.Now());
  this->environment.metrics
      .GetCounter(
          metrics::kAttempts,
          {{"service", this->service},
           {"outcome", std::string(OutcomeLabel(outcome, may_have_run))}})
      .Add();
}

}  // namespace carobbank
