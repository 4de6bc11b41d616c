// Waits for permits of servers that name limits, or refuses the call at once.

#include "forwarded_call.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "refusals.h"
#include "request_quarantine.h"

namespace carobbank {

namespace {

constexpr int kBadGateway = 502;
// A call waits for a permit no longer than this part of its time: its server
// needs time too, and a caller that is refused early can come again.
constexpr int kPermitWaitsInTimeLeft = 3;

}  // namespace

std::vector<std::string> ForwardedCall::HeldBackServers() const {
  std::vector<std::string> held_back;
  for (const FleetServer* const server :
       this->environment.fleet.Eligible(this->service)) {
    const bool may_be_chosen =
        std::find(this->excluded.begin(), this->excluded.end(), server->id) ==
            this->excluded.end() &&
        !this->environment.loads.InBackoff(server->id,
                                           this->environment.clock.Now());
    if (may_be_chosen && this->MayRun(*server) &&
        this->environment.permits.NeedsPermit(*server)) {
      held_back.push_back(server->id);
    }
  }
  return held_back;
}

bool ForwardedCall::HasPermitFor(const FleetServer& server) const {
  return this->permit && this->permit->server_id == server.id &&
         this->permit->valid_until > this->environment.clock.BootNow();
}

bool ForwardedCall::AwaitPermit() {
  if (this->awaiting_permit) {
    return true;
  }
  std::vector<std::string> held_back = this->HeldBackServers();
  if (held_back.empty()) {
    return false;
  }
  this->awaiting_permit = true;
  this->environment.permits.Acquire(
      std::move(held_back), this->TimeLeft() / kPermitWaitsInTimeLeft,
      [weak = this->weak_from_this()](const PermitOutcome& outcome) {
        const auto self = weak.lock();
        if (self && self->responder) {
          self->OnPermit(outcome);
        }
      });
  return true;
}

void ForwardedCall::OnPermit(const PermitOutcome& outcome) {
  this->awaiting_permit = false;
  if (outcome.permit) {
    this->permit = outcome.permit;
    this->StartAttempt();
    return;
  }
  if (!this->calls.empty()) {
    return;
  }
  this->environment.metrics
      .GetCounter(metrics::kHeldBack,
                  {{"service", this->service}, {"outcome", "refused"}})
      .Add();
  WriteLog(LogLevel::kInfo,
           "call refused: its backend servers are at the limits they named",
           {{"request", this->request.request_id},
            {"digest", this->request.digest},
            {"service", this->service},
            {"possible_runs", std::to_string(this->possible_runs)},
            {"retry_after_ms", std::to_string(outcome.retry_after.count())}});
  if (this->possible_runs > 0) {
    this->Fail(kBadGateway, "no_answer", this->last_failure);
    return;
  }
  this->Refuse("limited",
               "the backend servers are at the request limits that they named",
               outcome.retry_after);
}

}  // namespace carobbank
