// Attempts, hedging and the final response of a plain request.

#include "forwarded_call.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "caller_authentication.h"
#include "refusals.h"
#include "request_quarantine.h"
#include "retry_budgets.h"
#include "shutdown_window.h"

namespace carobbank {

namespace {

constexpr int kInternalServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Delay before the next round after all servers refused, multiplied by the
// round: about the time in which one concurrency slot of a loaded server
// becomes free.
constexpr Milliseconds kRefusalBackoff{25};
// Rounds over all servers before the caller receives a 503 response with
// Retry-After.
constexpr int kMaxRefusedRounds = 2;
// The same for a call that the gateway's own queue has admitted.
constexpr int kMaxAdmittedRounds = 20;
// The first round asks every server; a slot that has become free since is
// likely at the least loaded ones.
constexpr int kServersInLaterRounds = 2;
constexpr Milliseconds kRetryAfter{250};
// For a caller whose request needs a trial that this gateway could not claim.
constexpr Milliseconds kTrialRetryAfter{1'000};
// A suspect that has to wait is checked this often.
constexpr Milliseconds kSuspectCheckPeriod{20};
// A repeatable request goes to a second server after the first has used up this
// fraction of the route's objective: the rest is enough for a usual response.
constexpr double kHedgeFraction = 0.5;
// Limit of the requests of this gateway at one server, per slot of the server:
// requests beyond the slots wait in the server's own queue.
constexpr double kMaxRequestsPerSlot = 3.0;

std::optional<Milliseconds> ParseMilliseconds(std::string_view text) {
  const auto number = ParseInteger<std::int64_t>(text);
  if (!number || *number < 0) {
    return std::nullopt;
  }
  return Milliseconds(*number);
}

}  // namespace

ForwardedCall::ForwardedCall(GatewayEnvironment& environment,
                             const HostRoute& route,
                             HttpRequest request,
                             std::shared_ptr<HttpResponder> responder,
                             std::string_view workspace)
    : environment(environment),
      route(route),
      service(ChooseService(route, environment.random.Next())),
      responder(std::move(responder)),
      began(environment.clock.Now()),
      usage(environment.usage, workspace) {
  const WireHeaderNames& names = environment.dialect.HeaderNames();
  Milliseconds time_limit = route.timeout;
  if (const auto text = FindHeader(request.headers, names.deadline)) {
    time_limit =
        std::min(time_limit, ParseMilliseconds(*text).value_or(time_limit));
  }
  this->deadline = this->began + time_limit;
  this->request.method = std::move(request.method);
  this->request.target = std::move(request.target);
  this->request.headers = EndToEndHeaders(request.headers, names);
  this->request.body = std::move(request.body);
  this->request.fresh_connection = route.use != RouteUse::kRepeatable;
  this->request.digest =
      DigestOfRequest(this->request.method, route.host + this->request.target,
                      this->request.body);
  this->request.request_id =
      FindHeader(request.headers, names.request_id).value_or("");
}

std::shared_ptr<ForwardedCall> ForwardedCall::Start(
    GatewayEnvironment& environment,
    const HostRoute& route,
    HttpRequest request,
    std::shared_ptr<HttpResponder> responder,
    std::function<void(const std::shared_ptr<ForwardedCall>&)> ended,
    std::string workspace) {
  auto call = std::shared_ptr<ForwardedCall>(new ForwardedCall(
      environment, route, std::move(request), std::move(responder), workspace));
  call->ended = std::move(ended);
  call->request.workspace = std::move(workspace);
  call->route.priority =
      PriorityOf(*environment.configuration, route, call->request.workspace);
  call->Begin();
  return call;
}

void ForwardedCall::Begin() {
  this->responder->OnClosed([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Close();
    }
  });
  this->timeout = this->environment.loop.CallAfter(
      std::max(this->TimeLeft(), Milliseconds(1)),
      [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnDeadline();
        }
      });
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const auto resumed = FindHeader(this->request.headers, names.resumes);
  this->stream_id = resumed.value_or(this->request.request_id);
  const auto last_event =
      FindHeader(this->request.headers, names.last_event_id);
  this->last_event_id = last_event.value_or("");
  this->resumes = resumed || last_event;
  if (this->resumes) {
    this->BeginResumed();
    return;
  }
  this->environment.retries.OnFirstAttempt(this->service);
  this->AskAdmission();
}

Milliseconds ForwardedCall::TimeLeft() const {
  return std::chrono::duration_cast<Milliseconds>(
      this->deadline - this->environment.clock.Now());
}

bool ForwardedCall::MayRunAgain() const {
  if (this->possible_runs == 0) {
    return true;
  }
  return this->route.use == RouteUse::kRepeatable &&
         this->possible_runs < this->route.max_attempts;
}

bool ForwardedCall::MayBegin() const {
  const ShutdownWindow* const shutdown = this->environment.shutdown;
  const bool repeatable =
      this->route.use == RouteUse::kRepeatable && !this->route.streaming;
  return this->possible_runs > 0 || shutdown == nullptr ||
         shutdown->MayBegin({this->route.name, this->TimeLeft(), repeatable},
                            this->environment.clock.Now());
}

void ForwardedCall::RecordResponseTime() {
  if (this->environment.shutdown != nullptr) {
    this->environment.shutdown->OnEnded(
        this->route.name, std::chrono::duration_cast<Milliseconds>(
                              this->environment.clock.Now() - this->began));
  }
}

const FleetServer* ForwardedCall::ChooseServer(bool allow_backoff) {
  std::vector<const FleetServer*> servers =
      this->environment.fleet.Eligible(this->service);
  std::erase_if(servers, [this](const FleetServer* server) {
    return !this->MayRun(*server) ||
           (this->environment.permits.NeedsPermit(*server) &&
            !this->HasPermitFor(*server));
  });
  BackendQuery query;
  query.servers = servers;
  query.excluded = this->excluded;
  query.data_center = this->environment.settings.data_center;
  query.max_in_flight_per_slot = kMaxRequestsPerSlot;
  query.allow_backoff = allow_backoff;
  if (this->permit) {
    query.preferred_id = this->permit->server_id;
  }
  return this->environment.quarantine.Choose(query, this->request.digest);
}

void ForwardedCall::RefuseQuarantined(Milliseconds refused_for) {
  constexpr std::string_view kCode = "quarantined";
  constexpr std::string_view kDetail =
      "backend servers crashed while they ran this request";
  if (this->possible_runs > 0) {
    this->Fail(kBadGateway, kCode, kDetail);
    return;
  }
  this->Refuse(kCode, kDetail, refused_for);
}

void ForwardedCall::StartAttempt() {
  if (!this->responder || this->claiming_trial || !this->MayRunAgain()) {
    return;
  }
  const bool first = this->calls.empty();
  if (!this->MayBegin()) {
    this->RefuseForShutdown();
    return;
  }
  const Milliseconds refused_for =
      this->environment.quarantine.RefusedFor(this->request.digest);
  if (refused_for.count() > 0) {
    if (first) {
      this->RefuseQuarantined(refused_for);
    }
    return;
  }
  if (this->environment.quarantine.AwaitsRecords() || this->AwaitsOrigin() ||
      this->environment.quarantine.MustWait(this->request.digest)) {
    if (first) {
      this->StartAttemptAfter(kSuspectCheckPeriod);
    }
    return;
  }
  if (this->environment.quarantine.NeedsTrial(this->request.digest)) {
    if (first) {
      this->StartTrial();
    }
    return;
  }
  const FleetServer* server = nullptr;
  if (!this->RoundIsOver()) {
    server = this->ChooseServer(false);
    if (server == nullptr && first) {
      server = this->ChooseServer(true);
    }
  }
  if (server == nullptr) {
    if (first && !this->AwaitPermit()) {
      this->RetryAfterBackoff();
    }
    return;
  }
  this->SendTo(*server);
  this->ScheduleHedge();
}

void ForwardedCall::StartTrial() {
  if (this->ChooseServer(true) == nullptr) {
    if (!this->AwaitPermit()) {
      this->RetryAfterBackoff();
    }
    return;
  }
  this->claiming_trial = true;
  TrialClaims& trials = this->environment.quarantine.Trials();
  trials.Claim(this->request.digest,
               [weak = this->weak_from_this(), &trials,
                digest = this->request.digest](std::int64_t number) {
                 const auto self = weak.lock();
                 if (self && self->responder) {
                   self->OnTrialClaimed(number);
                 } else if (number > 0) {
                   trials.Cancel(digest, number);
                 }
               });
}

void ForwardedCall::OnTrialClaimed(std::int64_t number) {
  this->claiming_trial = false;
  RequestQuarantine& quarantine = this->environment.quarantine;
  const bool may_begin = this->MayBegin();
  const FleetServer* const server =
      number == 0 || !may_begin ? nullptr : this->ChooseServer(true);
  if (server != nullptr) {
    this->request.trial = number;
    this->SendTo(*server);
    return;
  }
  if (number > 0) {
    quarantine.Trials().Cancel(this->request.digest, number);
  }
  if (!may_begin) {
    this->RefuseForShutdown();
    return;
  }
  this->RefuseQuarantined(
      std::max(quarantine.RefusedFor(this->request.digest), kTrialRetryAfter));
}

void ForwardedCall::SendTo(const FleetServer& server) {
  this->request.time_left = std::max(this->TimeLeft(), Milliseconds(1));
  if (this->HasPermitFor(server)) {
    this->permit.reset();
  }
  ++this->possible_runs;
  if (!this->route.streaming) {
    this->usage.OnSent(server.id, this->environment.clock.WallNow());
  }
  this->excluded.push_back(server.id);
  this->calls.push_back(this->StartBackendCall(server));
}

std::unique_ptr<BackendCall> ForwardedCall::StartBackendCall(
    const FleetServer& server) {
  auto done = [weak = this->weak_from_this(),
               id = server.id](BackendCallResult result) {
    if (const auto self = weak.lock()) {
      self->OnCallDone(id, std::move(result));
    }
  };
  if (!this->route.streaming) {
    return BackendCall::Start(this->environment, server, this->request,
                              std::move(done));
  }
  StreamHandlers stream;
  stream.on_head =
      [weak = this->weak_from_this(),
       answers =
           StreamServer{server.id, server.started_at, server.software_version}](
          const HttpHeaders& headers, MonotonicTime connected_at) mutable {
        if (const auto self = weak.lock()) {
          answers.connected_at = connected_at;
          answers.answered_at = self->environment.clock.WallNow();
          self->OnStreamHead(std::move(answers), headers);
        }
      };
  stream.on_events = [weak = this->weak_from_this()](
                         std::string_view bytes, std::string_view event_id) {
    if (const auto self = weak.lock()) {
      self->OnEvents(bytes, event_id);
    }
  };
  return BackendCall::StartStream(this->environment, server, this->request,
                                  std::move(stream), std::move(done));
}

void ForwardedCall::ScheduleHedge() {
  if (this->hedge_timer || this->route.streaming ||
      this->route.use != RouteUse::kRepeatable) {
    return;
  }
  const auto delay = std::chrono::duration_cast<Milliseconds>(
      this->route.objective * kHedgeFraction);
  this->hedge_timer =
      this->environment.loop.CallAfter(delay, [weak = this->weak_from_this()] {
        // A suspect that runs on two servers may crash both.
        const auto self = weak.lock();
        if (self && self->calls.size() == 1 && self->MayRunAgain() &&
            !self->environment.quarantine.IsSuspect(self->request.digest) &&
            !self->environment.admission.Congested(self->service) &&
            self->TryRepeat()) {
          self->StartAttempt();
        }
      });
}

void ForwardedCall::OnCallDone(const std::string& server_id,
                               BackendCallResult result) {
  const auto found = std::find_if(
      this->calls.begin(), this->calls.end(),
      [&](const auto& call) { return call->ServerId() == server_id; });
  if (found == this->calls.end() || !this->responder) {
    return;
  }
  // Kept until the end of this function, because its callback is running.
  const std::unique_ptr<BackendCall> finished_call = std::move(*found);
  this->calls.erase(found);
  this->held_back.reset();
  this->start_timer.reset();
  if (result.outcome == BackendCallOutcome::kNotRun) {
    this->usage.OnNotRun(server_id);
  }
  this->ReportAttempt(*finished_call, result);
  if (result.outcome == BackendCallOutcome::kAnswered) {
    this->RecordResponseTime();
  }
  if (this->stream_begun && result.outcome != BackendCallOutcome::kNotRun) {
    this->OnStreamEnd(result);
    return;
  }
  if (this->request.trial > 0) {
    this->OnTrialDone(std::move(result));
    return;
  }
  switch (result.outcome) {
    case BackendCallOutcome::kNotRun:
      this->OnNotRun(result);
      return;
    case BackendCallOutcome::kMayHaveRun:
      this->last_failure = result.reason;
      break;
    case BackendCallOutcome::kAnswered:
      if (result.response.status != kInternalServerError ||
          this->route.use != RouteUse::kRepeatable) {
        this->Finish(std::move(result.response));
        return;
      }
      this->last_failure = "the server responded with status 500";
      WriteLog(LogLevel::kInfo, "attempt ended with status 500",
               {{"request", this->request.request_id},
                {"digest", this->request.digest},
                {"server", server_id},
                {"possible_runs", std::to_string(this->possible_runs)},
                {"time_left_ms", std::to_string(this->TimeLeft().count())}});
      break;
  }
  if (!this->calls.empty()) {
    return;
  }
  if (!this->MayRunAgain() || !this->TryRepeat()) {
    if (result.outcome == BackendCallOutcome::kAnswered) {
      this->Finish(std::move(result.response));
    } else {
      this->Fail(kBadGateway, "no_answer", this->last_failure);
    }
    return;
  }
  if (this->environment.quarantine.IsSuspect(this->request.digest)) {
    this->StartAttemptAfter(kSuspectCheckPeriod);
  } else {
    this->StartAttempt();
  }
}

// A trial is one send: whatever its outcome, no other server gets the request.
void ForwardedCall::OnTrialDone(BackendCallResult result) {
  switch (result.outcome) {
    case BackendCallOutcome::kAnswered:
      this->Finish(std::move(result.response));
      return;
    case BackendCallOutcome::kMayHaveRun:
      this->Fail(kBadGateway, "no_answer", result.reason);
      return;
    case BackendCallOutcome::kNotRun:
      --this->possible_runs;
      this->RefuseQuarantined(std::max(
          this->environment.quarantine.RefusedFor(this->request.digest),
          kRetryAfter));
      return;
  }
}

void ForwardedCall::StartAttemptAfter(Milliseconds delay) {
  this->retry_timer =
      this->environment.loop.CallAfter(delay, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->calls.empty()) {
          self->StartAttempt();
        }
      });
}

void ForwardedCall::OnNotRun(const BackendCallResult& result) {
  --this->possible_runs;
  ++this->refusals_in_round;
  this->last_failure = result.reason;
  if (this->calls.empty()) {
    this->StartAttempt();
  }
}

bool ForwardedCall::TryRepeat() {
  return this->environment.retries.TryRepeat(this->service, this->TimeLeft());
}

bool ForwardedCall::RoundIsOver() const {
  return this->refused_rounds > 0 &&
         this->refusals_in_round >= kServersInLaterRounds;
}

// Every server is excluded: clear the exclusions and retry after a backoff, for
// a limited number of rounds.
void ForwardedCall::RetryAfterBackoff() {
  ++this->refused_rounds;
  const bool no_servers =
      this->environment.fleet.Eligible(this->service).empty();
  // An admitted call keeps its place while its service is overloaded.
  const int rounds = this->pass ? kMaxAdmittedRounds : kMaxRefusedRounds;
  if (no_servers || this->refused_rounds > rounds ||
      this->TimeLeft() <= 2 * kRefusalBackoff || !this->TryRepeat()) {
    if (this->possible_runs == 0) {
      this->Refuse(
          "no_server", this->last_failure,
          no_servers ? kRetryAfter : this->RefusalRetryAfter(kRetryAfter));
    } else {
      this->Fail(kBadGateway, "no_answer", this->last_failure);
    }
    return;
  }
  this->excluded.clear();
  this->refusals_in_round = 0;
  this->StartAttemptAfter(kRefusalBackoff *
                          std::min(this->refused_rounds, kMaxRefusedRounds));
}

void ForwardedCall::OnDeadline() {
  if (this->possible_runs == 0) {
    this->Refuse("deadline",
                 "no server accepted the request before its deadline",
                 this->RefusalRetryAfter(kRetryAfter));
    return;
  }
  this->RecordResponseTime();
  this->Fail(kGatewayTimeout, "deadline",
             "no response arrived before the deadline of the request");
}

void ForwardedCall::Refuse(std::string_view code,
                           std::string_view detail,
                           Milliseconds retry_after) {
  this->CountRefusal(code, "not_run");
  this->Finish(NotRunResponse(code, detail, retry_after));
}

void ForwardedCall::Fail(int status,
                         std::string_view code,
                         std::string_view detail) {
  this->CountRefusal(code, "may_have_run");
  this->Finish(MayHaveRunResponse(status, code, detail));
}

void ForwardedCall::CountRefusal(std::string_view code,
                                 std::string_view execution) const {
  if (!this->responder || this->stream_begun) {
    return;
  }
  this->environment.metrics
      .GetCounter(metrics::kRefusals, {{"service", this->service},
                                       {"code", std::string(code)},
                                       {"execution", std::string(execution)}})
      .Add();
}

void ForwardedCall::EndForShutdown() {
  if (!this->responder || this->stream_complete) {
    return;
  }
  if (this->stream_begun) {
    this->AbortStream("the instance shuts down");
    return;
  }
  if (this->possible_runs == 0) {
    this->RefuseForShutdown();
    return;
  }
  this->Fail(kBadGateway, "draining",
             "the instance shut down before a server responded");
}

void ForwardedCall::RefuseForShutdown() {
  this->CountRefusal("draining", "not_run");
  this->Finish(ShutdownRefusal());
}

void ForwardedCall::Finish(HttpResponse response) {
  if (!this->responder) {
    return;
  }
  if (this->stream_begun) {
    this->AbortStream("no server continued it in time");
    return;
  }
  const std::shared_ptr<HttpResponder> answered = std::move(this->responder);
  this->responder = nullptr;
  response.headers = EndToEndHeaders(response.headers,
                                     this->environment.dialect.HeaderNames());
  answered->Send(std::move(response));
  this->Close();
}

void ForwardedCall::Close() {
  this->responder = nullptr;
  this->calls.clear();
  this->pass.reset();
  this->timeout.reset();
  this->retry_timer.reset();
  this->hedge_timer.reset();
  this->start_timer.reset();
  if (this->ended) {
    const auto report = std::move(this->ended);
    this->ended = nullptr;
    report(this->shared_from_this());
  }
}

}  // namespace carobbank
