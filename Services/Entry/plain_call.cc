// Forwards a plain service's request and response; a request with an
// idempotency key is claimed in the log first.

#include "plain_call.h"

#include <algorithm>
#include <array>
#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr int kBadGateway = 502;
// Responses to keyed requests are buffered completely until their outcome is in
// the log.
constexpr std::size_t kMaxKeyedResponseBytes = 8 * 1024 * 1024;

// Headers that concern one connection (RFC 9110, section 7.6.1), or that only
// this system uses. They are not forwarded.
constexpr std::array<std::string_view, 11> kUnforwardedHeaders = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "proxy-connection",
    "host",
    "authorization",
    "content-length",
    "expect"};

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

HttpHeaders ForwardedHeaders(const HttpHeaders& headers) {
  HttpHeaders forwarded;
  for (const HttpHeader& header : headers) {
    const std::string name = Lower(header.name);
    const bool unforwarded = std::ranges::find(kUnforwardedHeaders, name) !=
                             kUnforwardedHeaders.end();
    if (!unforwarded && !name.starts_with("x-carobbank-")) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

Problem BackendFailed(std::string detail) {
  Problem problem;
  problem.status = kBadGateway;
  problem.code = "backend_failed";
  problem.detail = std::move(detail);
  problem.remedy = "repeat the request only if it is idempotent";
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

}  // namespace

PlainCall::PlainCall(CallEnvironment& environment,
                     AuthenticatedCall call,
                     HttpRequest request,
                     std::shared_ptr<HttpResponder> responder)
    : environment(environment),
      call(std::move(call)),
      request(std::move(request)),
      responder(std::move(responder)) {}

void PlainCall::Begin(CallEnvironment& environment,
                      HttpRequest request,
                      std::string_view service,
                      std::string_view path,
                      std::shared_ptr<HttpResponder> responder) {
  auto opened =
      ValidateCall(environment, service, ServiceKind::kPlain, request);
  if (const auto* problem = std::get_if<Problem>(&opened)) {
    responder->Send(problem->ToResponse());
    return;
  }
  auto& call = std::get<AuthenticatedCall>(opened);
  ServiceLimiter& limiter = environment.limiters.Of(call.service->document);
  if (const auto wait = limiter.Begin(call.caller); wait) {
    const Problem refusal = RateLimited(*wait);
    limiter.CountRefusal(refusal);
    responder->Send(refusal.ToResponse());
    return;
  }
  request.target = path.empty() ? "/" : std::string(path);
  auto self = std::make_shared<PlainCall>(
      environment, std::move(call), std::move(request), std::move(responder));
  self->Start();
}

void PlainCall::Start() {
  this->began = this->environment.clock.Now();
  this->request_id = RequestIdOf(this->request, this->environment.random);
  this->deadline_ms = DeadlineOf(this->request, this->Document(),
                                 this->environment.clock.WallNow());
  this->digest = DigestOfRequest(this->request.method, this->request.target,
                                 this->request.body);
  this->Record(EventKind::kAdmit, "", this->call.caller);
  this->environment.generation.retries.OnFirstAttempt(this->Document().name);
  this->responder->OnClosed([weak = this->weak_from_this()] {
    if (const auto call = weak.lock(); call && !call->key) {
      call->End(EventKind::kCancel, "the caller disconnected");
    }
  });
  const auto key = FindHeader(this->request.headers,
                              this->Document().idempotency.key_header);
  const bool repeatable =
      this->Document().IsRepeatable(this->request.method, this->request.Path());
  if (repeatable) {
    this->repetition = Repetition::kRepeatable;
  } else if (key) {
    this->repetition = Repetition::kKeyed;
    auto read = this->ReadKey(*key);
    if (const auto* problem = std::get_if<Problem>(&read)) {
      this->Refuse(*problem);
      return;
    }
    this->ClaimKey(std::get<KeyClaimRequest>(std::move(read)));
    return;
  }
  this->BeginAttempt();
}

void PlainCall::BeginAttempt() {
  if (this->ended) {
    return;
  }
  if (this->environment.clock.WallNow() >= this->deadline_ms) {
    Problem problem =
        InternalProblem("the deadline passed before an attempt began");
    problem.status = 504;
    problem.code = "deadline_exceeded";
    problem.remedy =
        "allow more time: raise X-Deadline-Ms, or limits.deadline_ms in the "
        "service's document";
    problem.execution = Execution::kNotRun;
    this->Refuse(problem);
    return;
  }
  const std::size_t crashes = this->environment.pools.CrashCount(this->digest);
  if (crashes >= kCrashesBeforeQuarantine) {
    this->Refuse(QuarantinedProblem(this->may_have_run ? Execution::kMayHaveRun
                                                       : Execution::kNotRun));
    return;
  }
  this->exclusive = crashes > 0;
  SelectionRequest selection;
  selection.exclusive = this->exclusive;
  selection.service = this->Document().name;
  selection.pool = this->Document().pool;
  selection.service_class = RouteClassOf(this->Document().service_class);
  selection.digest = this->digest;
  selection.excluded = this->excluded;
  auto choice = this->environment.pools.Choose(selection);
  if (const auto* problem = std::get_if<Problem>(&choice)) {
    if (!this->ScheduleRetry(*problem)) {
      this->Refuse(*problem);
    }
    return;
  }
  this->target = std::get<AttemptTarget>(std::move(choice));
  this->attempt_open = true;
  this->status = 0;
  this->buffered.clear();
  if (!this->key) {
    this->attempt_id = this->environment.random.Identifier();
  }
  WorkMetadata metadata;
  metadata.service = this->Document().name;
  metadata.request_id = this->request_id;
  metadata.attempt_id = this->attempt_id;
  metadata.digest = this->digest;
  metadata.exclusive = this->exclusive;
  metadata.deadline_ms = this->deadline_ms;
  metadata.configuration_offset =
      static_cast<std::uint64_t>(std::max<std::int64_t>(
          0, this->environment.control->configuration->offset));
  HttpRequest sent = this->request;
  sent.headers = ForwardedHeaders(this->request.headers);
  this->Record(EventKind::kSend, this->target.instance, "");

  const auto self = this->shared_from_this();
  AttemptHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->OnHeaders(status, headers);
  };
  handlers.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  handlers.on_done = [self] { self->OnResponseEnd(); };
  handlers.on_failure = [self](const AttemptFailure& failure) {
    self->OnLinkFailure(failure);
  };
  handlers.on_load = [self](const LoadHint& load) {
    self->environment.pools.OnLoad(self->target.instance, load);
  };
  const bool idempotent = this->repetition == Repetition::kRepeatable;
  this->exchange = this->environment.sender.Start(
      this->target, metadata, sent, idempotent, std::move(handlers));
}

void PlainCall::OnHeaders(int status, const HttpHeaders& headers) {
  if (!this->attempt_open) {
    return;
  }
  this->status = status;
  this->refused_by_sidecar = IsSidecarRefusal(headers);
  this->response_headers = ForwardedHeaders(headers);
  this->streaming = !this->refused_by_sidecar && !this->key;
  if (this->streaming) {
    this->responder->Start(status, this->response_headers);
  }
}

void PlainCall::OnBody(std::string_view bytes) {
  // The exchange may deliver bytes that it has already read after the call has
  // ended.
  if (!this->attempt_open) {
    return;
  }
  if (!this->streaming) {
    if (this->buffered.size() + bytes.size() <= kMaxKeyedResponseBytes) {
      this->buffered += bytes;
    } else {
      this->AfterFailure(
          BackendFailed("the response is too large to be buffered"),
          AttemptOutcome::kRefused);
    }
    return;
  }
  if (this->unwritten++ == 0) {
    this->exchange->Pause();
  }
  this->responder->Write(
      std::string(bytes), [weak = this->weak_from_this()](bool ok) {
        const auto call = weak.lock();
        if (!call) {
          return;
        }
        if (!ok) {
          call->End(EventKind::kCancel, "the caller disconnected");
        } else if (--call->unwritten == 0 && call->exchange) {
          call->exchange->Resume();
        }
      });
}

void PlainCall::OnResponseEnd() {
  if (this->ended || !this->attempt_open) {
    return;
  }
  if (this->refused_by_sidecar) {
    const auto refusal = Problem::FromText(this->status, this->buffered);
    const Problem problem =
        refusal
            ? *refusal
            : BackendFailed("the sidecar's refusal is not a problem document");
    this->AfterFailure(problem, problem.code == "draining"
                                    ? AttemptOutcome::kDraining
                                : problem.code == "backend_crashed"
                                    ? AttemptOutcome::kBackendCrashed
                                    : AttemptOutcome::kRefused);
    return;
  }
  this->EndAttempt(AttemptOutcome::kComplete);
  this->environment.pools.OnFinished(this->digest);
  if (this->key) {
    this->FinishKeyed();
    return;
  }
  this->responder->Finish();
  if (ServiceLimiter* limiter =
          this->environment.limiters.Find(this->Document().name)) {
    limiter->CountResponse(this->status);
  }
  this->End(EventKind::kFinish, std::to_string(this->status));
}

void PlainCall::OnLinkFailure(const AttemptFailure& failure) {
  this->AfterFailure(failure.problem, AttemptOutcome::kLinkFailed);
}

void PlainCall::AfterFailure(const Problem& problem, AttemptOutcome outcome) {
  if (this->ended || !this->attempt_open) {
    return;
  }
  if (outcome == AttemptOutcome::kBackendCrashed) {
    this->environment.pools.OnCrash(this->target.instance, this->digest,
                                    this->exclusive);
  }
  this->may_have_run =
      this->may_have_run || problem.execution != Execution::kNotRun;
  this->EndAttempt(outcome);
  this->excluded.push_back(this->target.instance);
  if (this->streaming) {
    // The caller has received part of the response: aborting the connection is
    // the only way to report the failure.
    this->responder->Abort();
    this->End(EventKind::kRefusal, "cut: " + problem.code);
    return;
  }
  const bool repeatable = problem.execution == Execution::kNotRun ||
                          this->repetition == Repetition::kRepeatable;
  if (repeatable && this->ScheduleRetry(problem)) {
    return;
  }
  this->Refuse(problem);
}

bool PlainCall::ScheduleRetry(const Problem& problem) {
  ++this->failures;
  RetryContext context;
  context.service = this->Document().name;
  context.service_class = RouteClass::kLive;
  context.failures = this->failures;
  context.repeatable = true;
  context.retry_after = problem.retry_after;
  context.remaining =
      Milliseconds(this->deadline_ms - this->environment.clock.WallNow());
  const auto delay = this->environment.generation.retries.RetryDelay(context);
  if (!delay) {
    return false;
  }
  this->Record(EventKind::kRetry, this->target.instance, problem.code);
  this->retry_timer = this->environment.loop.CallAfter(
      *delay, [self = this->shared_from_this()] { self->BeginAttempt(); });
  return true;
}

void PlainCall::Refuse(const Problem& problem) {
  if (this->ended) {
    return;
  }
  if (ServiceLimiter* limiter =
          this->environment.limiters.Find(this->Document().name)) {
    limiter->CountRefusal(problem);
  }
  if (this->key && problem.execution == Execution::kNotRun) {
    this->environment.keys.Release(*this->key, this->attempt_id);
  }
  this->responder->Send(problem.ToResponse());
  this->End(EventKind::kRefusal, problem.code);
}

void PlainCall::EndAttempt(AttemptOutcome outcome) {
  if (!std::exchange(this->attempt_open, false)) {
    return;
  }
  this->environment.pools.OnEnded(this->target.instance, this->Document().name,
                                  outcome);
  // A callback of the exchange may be on the stack, so the exchange is
  // destroyed later.
  std::shared_ptr<HttpExchange> retired(std::move(this->exchange));
  this->environment.loop.Post([retired] {});
}

void PlainCall::End(EventKind kind, std::string detail) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->EndAttempt(AttemptOutcome::kCancelled);
  this->Record(kind, "", std::move(detail));
  if (ServiceLimiter* limiter =
          this->environment.limiters.Find(this->Document().name)) {
    limiter->End(this->call.caller, this->began);
  }
}

void PlainCall::Record(EventKind kind, std::string server, std::string detail) {
  if (this->Document().quiet) {
    return;
  }
  Event event;
  event.kind = kind;
  event.service = this->Document().name;
  event.request = this->request_id;
  event.attempt = this->attempt_id;
  event.server = std::move(server);
  event.detail = std::move(detail);
  this->environment.timeline.Record(std::move(event));
}

}  // namespace carobbank
