// Asks whether the call may be sent now, and reports what its attempts show of
// the service's capacity.

#include <algorithm>
#include <utility>

#include "forwarded_call.h"
#include "refusals.h"

namespace carobbank {

namespace {

std::size_t BytesOf(const BackendRequest& request) {
  // Of the call's own state.
  constexpr std::size_t kOverhead = 1'024;
  std::size_t bytes = kOverhead + request.target.size() + request.body.size();
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

void ForwardedCall::AskAdmission() {
  PlainCallAdmission& admission = this->environment.admission;
  if (!admission.Enabled()) {
    this->StartAttempt();
    return;
  }
  CallToAdmit call;
  call.service = this->service;
  call.route = this->route.name;
  call.objective = this->route.objective;
  call.workspace = this->request.workspace;
  call.route_priority = this->route.priority;
  call.digest = this->request.digest;
  call.bytes = BytesOf(this->request);
  call.deadline = this->deadline;
  this->pass = admission.Ask(
      call, [weak = this->weak_from_this()](AdmissionState state) {
        const auto self = weak.lock();
        if (self && self->responder) {
          self->OnAdmission(state);
        }
      });
  if (this->pass->State() != AdmissionState::kWait) {
    this->OnAdmission(this->pass->State());
  }
}

void ForwardedCall::OnAdmission(AdmissionState state) {
  if (state == AdmissionState::kSend) {
    this->StartAttempt();
    return;
  }
  // Nothing has been sent.
  this->Refuse("overloaded",
               "the backend servers can't serve the request in time",
               this->pass->Refuse());
}

void ForwardedCall::ReportAttempt(const BackendCall& call,
                                  const BackendCallResult& result) {
  if (!this->pass) {
    return;
  }
  const MonotonicTime began = call.Began();
  // Only a response of the server shows that it lacks capacity; a server that
  // leaves refuses for another reason.
  constexpr int kServiceUnavailable = 503;
  constexpr int kFirstServerErrorStatus = 500;
  if (result.outcome == BackendCallOutcome::kNotRun &&
      result.response.status == kServiceUnavailable) {
    const FleetServer* const server =
        this->environment.fleet.Find(call.ServerId());
    if (server != nullptr && !server->Leaves()) {
      this->pass->OnRefused(began);
    }
  } else if (result.outcome == BackendCallOutcome::kAnswered &&
             result.response.status < kFirstServerErrorStatus) {
    this->pass->OnAnswered(began, this->route.streaming);
  }
}

Milliseconds ForwardedCall::RefusalRetryAfter(Milliseconds otherwise) const {
  return this->pass ? this->pass->Refuse() : otherwise;
}

}  // namespace carobbank
