// Responds to a completion request with a stream under backpressure, or with
// one complete JSON body.

#include "completion_call.h"

#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr std::uint64_t kDefaultMaxTokens = 256;

std::variant<GenerationRequest, Problem> ReadRequest(
    const Json::Value& body,
    const ServiceDocument& document) {
  GenerationRequest request;
  request.prompt = JsonString(body, "prompt");
  if (request.prompt.empty()) {
    return BadRequest("'prompt' is missing, empty or not a string",
                      "send a prompt of at least one character");
  }
  const auto limit = static_cast<std::uint64_t>(document.limits.max_tokens);
  const std::int64_t requested = JsonInteger(
      body, "max_tokens",
      static_cast<std::int64_t>(std::min(kDefaultMaxTokens, limit)));
  if (requested < 1 || static_cast<std::uint64_t>(requested) > limit) {
    return BadRequest("'max_tokens' is " + std::to_string(requested),
                      "send a whole number from 1 to " + std::to_string(limit));
  }
  request.max_tokens = static_cast<std::uint64_t>(requested);
  request.seed = static_cast<std::uint64_t>(JsonInteger(body, "seed"));
  request.service = document.name;
  request.pool = document.pool;
  request.model = document.model;
  request.service_class = RouteClassOf(document.service_class);
  request.versions = VersionsOf(document);
  return request;
}

Json::Value SpansJson(const std::vector<TokenSpan>& spans) {
  Json::Value rows(Json::arrayValue);
  for (const TokenSpan& span : spans) {
    Json::Value row;
    row["from"] = Json::UInt64(span.from);
    row["to"] = Json::UInt64(span.to);
    row["version"] = Json::UInt64(span.version);
    rows.append(std::move(row));
  }
  return rows;
}

}  // namespace

CompletionCall::CompletionCall(CallEnvironment& environment,
                               AuthenticatedCall call,
                               std::shared_ptr<HttpResponder> responder)
    : environment(environment),
      call(std::move(call)),
      responder(std::move(responder)) {}

void CompletionCall::Begin(CallEnvironment& environment,
                           const HttpRequest& request,
                           std::shared_ptr<HttpResponder> responder) {
  const auto body = ParseJsonBody(request);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    responder->Send(problem->ToResponse());
    return;
  }
  const auto& object = std::get<Json::Value>(body);
  const std::string service =
      JsonString(object, "service", JsonString(object, "model"));
  auto opened =
      ValidateCall(environment, service, ServiceKind::kModel, request);
  if (const auto* problem = std::get_if<Problem>(&opened)) {
    responder->Send(problem->ToResponse());
    return;
  }
  auto& call = std::get<AuthenticatedCall>(opened);
  const ServiceDocument& document = call.service->document;
  ServiceLimiter& limiter = environment.limiters.Of(document);
  const auto refuse = [&](const Problem& problem) {
    limiter.CountRefusal(problem);
    responder->Send(problem.ToResponse());
  };
  auto read = ReadRequest(object, document);
  if (const auto* problem = std::get_if<Problem>(&read)) {
    refuse(*problem);
    return;
  }
  if (const auto wait = limiter.Begin(call.caller); wait) {
    refuse(RateLimited(*wait));
    return;
  }
  auto& generation_request = std::get<GenerationRequest>(read);
  generation_request.request_id = RequestIdOf(request, environment.random);
  generation_request.deadline_ms =
      DeadlineOf(request, document, environment.clock.WallNow());
  generation_request.configuration_offset = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, environment.control->configuration->offset));
  auto self = std::make_shared<CompletionCall>(environment, std::move(call),
                                               std::move(responder));
  self->Start(std::move(generation_request),
              JsonBoolean(object, "stream", false));
}

void CompletionCall::Start(GenerationRequest request, bool stream) {
  this->stream = stream;
  this->request_id = request.request_id;
  this->model = request.model;
  this->began = this->environment.clock.Now();
  this->Record(EventKind::kAdmit, "", "", this->call.caller, 0);
  const auto self = this->shared_from_this();
  GenerationHandlers handlers;
  handlers.on_chunk = [self](const GenerationChunk& chunk) {
    self->OnChunk(chunk);
  };
  handlers.on_done = [self](const GenerationOutput& output) {
    self->OnDone(output);
  };
  handlers.on_failure = [self](const Problem& problem) {
    self->OnFailure(problem);
  };
  handlers.on_attempt = [self](const WorkMetadata& metadata,
                               const AttemptTarget& target) {
    self->Record(EventKind::kSend, metadata.attempt_id, target.instance, "", 0);
  };
  handlers.on_retry = [self](const AttemptTarget& target,
                             const Problem& problem) {
    self->Record(EventKind::kRetry, "", target.instance, problem.code, 0);
  };
  this->generation = std::make_unique<Generation>(
      this->environment.generation, std::move(request), std::move(handlers));
  this->responder->OnClosed([weak = this->weak_from_this()] {
    if (const auto call = weak.lock(); call) {
      call->End(EventKind::kCancel, "the caller disconnected", 0);
    }
  });
  this->generation->Start();
}

void CompletionCall::OnChunk(const GenerationChunk& chunk) {
  if (chunk.token_from == 0 && chunk.token_to > 0) {
    this->Record(EventKind::kFirstToken, chunk.attempt_id, "", "", 0);
    this->environment.metrics
        .GetTiming(metrics::kFirstTokenTime,
                   {{"service", this->call.service->document.name}})
        .Record(this->environment.clock.Now() - this->began);
  }
  if (!this->stream || this->ended) {
    return;
  }
  this->WriteEvent(WriteGenerationChunk(chunk, this->request_id, this->model));
}

void CompletionCall::WriteEvent(const ServerSentEvent& event) {
  if (!std::exchange(this->started, true)) {
    this->responder->Start(200, {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-store"},
                                 {"X-Request-Id", this->request_id}});
  }
  if (this->unwritten++ == 0 && this->generation) {
    this->generation->Pause();
  }
  this->responder->Write(WriteServerSentEvent(event),
                         [weak = this->weak_from_this()](bool ok) {
                           if (const auto call = weak.lock(); call) {
                             call->OnWritten(ok);
                           }
                         });
}

void CompletionCall::OnWritten(bool ok) {
  if (!ok) {
    this->End(EventKind::kCancel, "the caller disconnected", 0);
    return;
  }
  if (--this->unwritten == 0 && this->generation && !this->ended) {
    this->generation->Resume();
  }
}

void CompletionCall::OnDone(const GenerationOutput& output) {
  if (this->ended) {
    return;
  }
  if (this->stream) {
    this->WriteEvent({"", "[DONE]"});
    this->responder->Finish();
  } else {
    this->SendComplete(output);
  }
  constexpr int kOk = 200;
  if (ServiceLimiter* limiter =
          this->environment.limiters.Find(this->call.service->document.name)) {
    limiter->CountResponse(kOk);
  }
  this->End(EventKind::kFinish, "", static_cast<std::int64_t>(output.tokens));
}

void CompletionCall::SendComplete(const GenerationOutput& output) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = output.text;
  choice["finish_reason"] = output.finish_reason;
  Json::Value body;
  body["id"] = this->request_id;
  body["object"] = "text_completion";
  body["model"] = this->model;
  body["choices"].append(std::move(choice));
  body["spans"] = SpansJson(output.spans);
  body["usage"]["prompt_tokens"] = Json::UInt64(output.usage.prompt_tokens);
  body["usage"]["completion_tokens"] = Json::UInt64(output.tokens);
  body["usage"]["total_tokens"] =
      Json::UInt64(output.usage.prompt_tokens + output.tokens);
  HttpResponse response = JsonResponse(200, body);
  SetHeader(response.headers, "X-Request-Id", this->request_id);
  this->responder->Send(std::move(response));
}

void CompletionCall::OnFailure(const Problem& problem) {
  if (this->ended) {
    return;
  }
  ServiceLimiter* limiter =
      this->environment.limiters.Find(this->call.service->document.name);
  if (limiter) {
    limiter->CountRefusal(problem);
  }
  if (this->started) {
    this->environment.metrics
        .GetCounter(metrics::kCutAnswers,
                    {{"service", this->call.service->document.name}})
        .Add();
    this->WriteEvent({"error", WriteJson(problem.ToJson())});
    this->responder->Finish();
  } else {
    this->responder->Send(problem.ToResponse());
  }
  this->End(EventKind::kRefusal, problem.code, 0);
}

void CompletionCall::End(EventKind kind,
                         std::string detail,
                         std::int64_t number) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->Record(kind, "", "", std::move(detail), number);
  if (ServiceLimiter* limiter =
          this->environment.limiters.Find(this->call.service->document.name)) {
    limiter->End(this->call.caller, this->began);
  }
  // A callback of the generation may be on the stack, and the callbacks hold
  // the references that keep this call alive.
  std::shared_ptr<Generation> retired(std::move(this->generation));
  if (retired) {
    retired->Stop();
  }
  this->environment.loop.Post([retired] {});
}

void CompletionCall::Record(EventKind kind,
                            std::string attempt,
                            std::string server,
                            std::string detail,
                            std::int64_t number) {
  const ServiceDocument& document = this->call.service->document;
  if (document.quiet) {
    return;
  }
  Event event;
  event.kind = kind;
  event.service = document.name;
  event.request = this->request_id;
  event.attempt = std::move(attempt);
  event.server = std::move(server);
  event.detail = std::move(detail);
  event.number = number;
  this->environment.timeline.Record(std::move(event));
}

}  // namespace carobbank
