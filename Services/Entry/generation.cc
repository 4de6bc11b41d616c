// Runs the attempts of one generation: chooses servers, validates chunks,
// retries and resumes.

#include "generation.h"

#include <algorithm>
#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr int kStatusOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
// At most this many failed servers are excluded; the next failure clears the
// list first.
constexpr std::size_t kMaxExcluded = 8;
constexpr std::size_t kMaxRefusalBytes = 64 * 1024;

Problem BrokenStream(std::string code, std::string detail) {
  Problem problem;
  problem.status = kBadGateway;
  problem.code = std::move(code);
  problem.detail = std::move(detail);
  problem.remedy = "send the request again";
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

Problem DeadlineProblem(const Problem& cause) {
  Problem problem;
  problem.status = kGatewayTimeout;
  problem.code = "deadline_exceeded";
  problem.detail = "last failure: " + cause.code + ": " + cause.detail;
  problem.remedy = "allow more time or send the request later";
  problem.execution = cause.execution;
  return problem;
}

AttemptOutcome OutcomeOf(const AttemptFailure& failure) {
  if (failure.backend_crashed) {
    return AttemptOutcome::kBackendCrashed;
  }
  if (failure.link_failed) {
    return AttemptOutcome::kLinkFailed;
  }
  if (failure.problem.code == "draining") {
    return AttemptOutcome::kDraining;
  }
  return AttemptOutcome::kRefused;
}

}  // namespace

std::string DigestOfPrompt(std::string_view model, std::string_view prompt) {
  std::string text(model);
  text += '\n';
  text += prompt;
  return Sha256Hex(text);
}

void GenerationOutput::Append(const GenerationChunk& chunk) {
  this->text += chunk.text;
  this->tokens = chunk.token_to;
  if (!chunk.finish_reason.empty()) {
    this->finish_reason = chunk.finish_reason;
  }
  if (chunk.usage) {
    this->usage = *chunk.usage;
  }
  if (chunk.token_from == chunk.token_to) {
    return;
  }
  const std::uint64_t version = *chunk.weight_version;
  if (!this->spans.empty() && this->spans.back().version == version) {
    this->spans.back().to = chunk.token_to;
    return;
  }
  this->spans.push_back({chunk.token_from, chunk.token_to, version});
}

Generation::Generation(GenerationEnvironment& environment,
                       GenerationRequest request,
                       GenerationHandlers handlers)
    : environment(environment),
      request(std::move(request)),
      handlers(std::move(handlers)),
      digest(this->IsOwed()
                 ? std::string()
                 : DigestOfPrompt(this->request.model, this->request.prompt)) {}

Generation::~Generation() {
  this->EndAttempt(AttemptOutcome::kCancelled);
}

void Generation::Start(GenerationOutput partial) {
  this->output = std::move(partial);
  this->environment.retries.OnFirstAttempt(this->request.service);
  if (this->request.crashes == 0) {
    this->BeginAttempt();
  } else {
    this->BeginAttemptAfter(OwedWorkDelay(this->request.crashes));
  }
}

void Generation::BeginAttemptAfter(Milliseconds delay) {
  this->retry_timer =
      this->environment.loop.CallAfter(delay, [this] { this->BeginAttempt(); });
}

void Generation::Stop() {
  this->finished = true;
  this->EndAttempt(AttemptOutcome::kCancelled);
}

void Generation::Pause() {
  this->paused = true;
  if (this->exchange) {
    this->exchange->Pause();
  }
}

void Generation::Resume() {
  this->paused = false;
  if (this->exchange) {
    this->exchange->Resume();
  }
}

void Generation::BeginAttempt() {
  if (this->finished) {
    return;
  }
  const std::size_t crashes =
      this->IsOwed() ? 0 : this->environment.selector.CrashCount(this->digest);
  this->exclusive = crashes > 0;
  if (crashes >= kCrashesBeforeQuarantine) {
    this->Fail(QuarantinedProblem(this->attempts > 0 ? Execution::kMayHaveRun
                                                     : Execution::kNotRun));
    return;
  }
  SelectionRequest selection;
  selection.service = this->request.service;
  selection.pool = this->request.pool;
  selection.service_class = this->request.service_class;
  selection.prompt = this->request.prompt;
  selection.digest = this->digest;
  selection.versions = this->request.versions;
  selection.excluded = this->excluded;
  selection.idle_only = this->request.duplicate;
  selection.exclusive = this->exclusive;
  auto choice = this->environment.selector.Choose(selection);
  if (const Problem* problem = std::get_if<Problem>(&choice)) {
    this->excluded.clear();
    this->RetryOrFail(*problem);
    return;
  }
  this->target = std::get<AttemptTarget>(std::move(choice));
  const bool named = this->attempts == 0 && !this->request.attempt_id.empty();
  this->attempt_id =
      named ? this->request.attempt_id : this->environment.random.Identifier();
  this->reader = ServerSentEventReader();
  this->end_received = false;
  this->status = 0;
  this->refusal_body.clear();
  this->attempt_open = true;
  ++this->attempts;
  this->environment.selector.OnStarted(this->target.instance,
                                       this->request.service);

  const WorkMetadata metadata = this->MakeMetadata();
  if (this->handlers.on_attempt) {
    this->handlers.on_attempt(metadata, this->target);
  }
  AttemptHandlers attempt_handlers;
  attempt_handlers.on_headers = [this](int status, const HttpHeaders&) {
    this->status = status;
  };
  attempt_handlers.on_load = [this](const LoadHint& load) {
    this->environment.selector.OnLoad(this->target.instance, load);
  };
  attempt_handlers.on_body = [this](std::string_view bytes) {
    this->OnBody(bytes);
  };
  attempt_handlers.on_done = [this] { this->OnResponseEnd(); };
  attempt_handlers.on_failure = [this](const AttemptFailure& failure) {
    this->FailAttempt(failure);
  };
  constexpr bool kIdempotent = true;
  this->exchange = this->environment.sender.Start(
      this->target, metadata, this->MakeRequest(), kIdempotent,
      std::move(attempt_handlers));
  if (this->paused) {
    this->exchange->Pause();
  }
}

WorkMetadata Generation::MakeMetadata() const {
  WorkMetadata metadata;
  metadata.service = this->request.service;
  metadata.request_id = this->request.request_id;
  metadata.attempt_id = this->attempt_id;
  metadata.sample_id = this->request.sample_id;
  metadata.digest = this->digest;
  metadata.versions = this->request.versions;
  metadata.expected_tokens = this->request.expected_tokens;
  metadata.slack = this->request.slack;
  metadata.exclusive = this->exclusive;
  metadata.duplicate = this->request.duplicate;
  metadata.kept_alive = true;
  metadata.deadline_ms = this->request.deadline_ms;
  metadata.configuration_offset = this->request.configuration_offset;
  return metadata;
}

HttpRequest Generation::MakeRequest() const {
  Json::Value body;
  body["model"] = this->request.model;
  body["prompt"] = this->request.prompt;
  body["max_tokens"] = Json::UInt64(this->request.max_tokens);
  body["seed"] = Json::UInt64(this->request.seed);
  body["stream"] = true;
  body["attempt_id"] = this->attempt_id;
  if (this->output.tokens > 0) {
    body["resume"]["text"] = this->output.text;
    body["resume"]["tokens"] = Json::UInt64(this->output.tokens);
  }
  HttpRequest sent;
  sent.method = "POST";
  sent.target = "/v1/completions";
  sent.body = WriteJson(body);
  SetHeader(sent.headers, "Content-Type", "application/json");
  return sent;
}

void Generation::OnBody(std::string_view bytes) {
  if (this->status != kStatusOk) {
    if (this->refusal_body.size() + bytes.size() > kMaxRefusalBytes) {
      this->FailAttempt({BrokenStream("backend_failed",
                                      "the refusal is longer than its limit")});
      return;
    }
    this->refusal_body += bytes;
    return;
  }
  const auto events = Capture([&] { return this->reader.Feed(bytes); });
  if (!events.Ok()) {
    this->FailAttempt(
        {BrokenStream("backend_failed", events.GetError().Text())});
    return;
  }
  for (const ServerSentEvent& event : events.Value()) {
    const std::string current_attempt = this->attempt_id;
    const auto parsed = Capture([&] { return ParseGenerationEvent(event); });
    if (!parsed.Ok()) {
      this->FailAttempt(
          {BrokenStream("backend_failed", parsed.GetError().Text())});
      return;
    }
    const std::weak_ptr<bool> token = this->alive;
    this->OnEvent(parsed.Value());
    // A handler may have destroyed this object or ended the attempt.
    if (token.expired() || !this->attempt_open ||
        this->attempt_id != current_attempt) {
      return;
    }
  }
}

void Generation::OnEvent(const GenerationEvent& event) {
  if (const auto* chunk = std::get_if<GenerationChunk>(&event)) {
    this->OnChunk(*chunk);
    return;
  }
  if (const auto* problem = std::get_if<Problem>(&event)) {
    AttemptFailure failure;
    failure.problem = *problem;
    failure.backend_crashed = problem->code == "backend_crashed";
    this->FailAttempt(failure);
    return;
  }
  this->end_received = true;
}

std::optional<Problem> Generation::CheckChunk(
    const GenerationChunk& chunk) const {
  if (chunk.attempt_id != this->attempt_id) {
    return BrokenStream(
        "crossed_answer",
        "the response belongs to another attempt, " + chunk.attempt_id);
  }
  if (chunk.token_from != this->output.tokens) {
    return BrokenStream("backend_failed",
                        "expected token " +
                            std::to_string(this->output.tokens) + ", got " +
                            std::to_string(chunk.token_from));
  }
  if (this->request.max_tokens > 0 &&
      chunk.token_to > this->request.max_tokens) {
    return BrokenStream("backend_failed",
                        "the engine generated more than the " +
                            std::to_string(this->request.max_tokens) +
                            " tokens that were asked for");
  }
  if (chunk.token_from == chunk.token_to) {
    return std::nullopt;
  }
  if (!chunk.weight_version) {
    return BrokenStream("version_unknown",
                        "the engine reported no weight version for a chunk");
  }
  if (!this->request.versions.Contains(*chunk.weight_version)) {
    return BrokenStream("version_out_of_bound",
                        "version " + std::to_string(*chunk.weight_version) +
                            " is outside " +
                            VersionRangeText(this->request.versions));
  }
  return std::nullopt;
}

void Generation::OnChunk(const GenerationChunk& chunk) {
  if (auto problem = this->CheckChunk(chunk); problem) {
    this->FailAttempt({std::move(*problem)});
    return;
  }
  this->output.Append(chunk);
  this->failures_in_row = 0;
  if (chunk.weight_version) {
    this->environment.selector.OnVersion(this->target.instance,
                                         *chunk.weight_version);
  }
  if (this->handlers.on_chunk) {
    this->handlers.on_chunk(chunk);
  }
}

void Generation::OnResponseEnd() {
  if (this->status != kStatusOk) {
    AttemptFailure failure;
    auto refusal = Problem::FromText(this->status, this->refusal_body);
    failure.problem =
        refusal ? std::move(*refusal)
                : BrokenStream("backend_failed",
                               "status " + std::to_string(this->status));
    failure.backend_crashed = failure.problem.code == "backend_crashed";
    this->FailAttempt(failure);
    return;
  }
  if (!this->end_received || this->output.finish_reason.empty()) {
    this->FailAttempt(
        {BrokenStream("backend_failed",
                      "the response ended without a finish reason "
                      "or [DONE]")});
    return;
  }
  this->EndAttempt(AttemptOutcome::kComplete);
  if (!this->IsOwed()) {
    this->environment.selector.OnFinished(this->digest);
  }
  this->finished = true;
  this->handlers.on_done(this->output);
}

void Generation::EndAttempt(AttemptOutcome outcome) {
  // Destroying an unfinished exchange cancels it.
  this->exchange.reset();
  if (!this->attempt_open) {
    return;
  }
  this->attempt_open = false;
  this->environment.selector.OnEnded(this->target.instance,
                                     this->request.service, outcome);
}

void Generation::FailAttempt(const AttemptFailure& failure) {
  if (failure.backend_crashed) {
    this->OnCrash();
  }
  this->EndAttempt(OutcomeOf(failure));
  if (this->excluded.size() >= kMaxExcluded) {
    this->excluded.clear();
  }
  this->excluded.push_back(this->target.instance);
  if (this->handlers.on_retry) {
    this->handlers.on_retry(this->target, failure.problem);
  }
  this->RetryOrFail(failure.problem, failure.backend_crashed
                                         ? OwedWorkDelay(this->request.crashes)
                                         : Milliseconds(0));
}

void Generation::OnCrash() {
  if (this->IsOwed()) {
    ++this->request.crashes;
  }
  this->environment.selector.OnCrash(this->target.instance, this->digest,
                                     this->exclusive);
}

void Generation::RetryOrFail(const Problem& problem, Milliseconds least_delay) {
  ++this->failures_in_row;
  const WallMilliseconds now = this->environment.clock.WallNow();
  RetryContext context;
  context.service = this->request.service;
  context.service_class = this->request.service_class;
  context.failures = this->failures_in_row;
  // Generating tokens has no side effect.
  context.repeatable = true;
  context.retry_after = problem.retry_after;
  context.remaining = Milliseconds(this->request.deadline_ms - now);
  if (context.remaining <= Milliseconds(0)) {
    this->Fail(DeadlineProblem(problem));
    return;
  }
  const auto delay = this->environment.retries.RetryDelay(context);
  if (!delay) {
    this->Fail(problem);
    return;
  }
  this->BeginAttemptAfter(std::max(*delay, least_delay));
}

void Generation::Fail(const Problem& problem) {
  this->finished = true;
  this->handlers.on_failure(problem);
}

}  // namespace carobbank
