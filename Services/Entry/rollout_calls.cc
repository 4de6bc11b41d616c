// Parses trainers' requests and writes the responses.

#include "rollout_calls.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr std::int64_t kMaxSamplesPerGroup = 4'096;
constexpr std::uint64_t kMaxSamplesPerStep = 65'536;
constexpr std::int64_t kMaxWaitMs = 30'000;
constexpr std::size_t kSamplesPerPoll = 256;
constexpr std::size_t kMaxIdentifierLength = 128;
constexpr Milliseconds kAnnounceTimeout{5'000};

bool IsIdentifier(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdentifierLength &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.' ||
                  c == ':';
         });
}

std::variant<PromptGroup, Problem> ReadGroup(const Json::Value& value,
                                             const ServiceLimits& limits) {
  PromptGroup group;
  group.group_id = JsonString(value, "group_id");
  if (!IsIdentifier(group.group_id)) {
    return BadRequest("a group's 'group_id' is missing or not an identifier",
                      "send 1 to 128 of the characters A-Z a-z 0-9 - _ . :");
  }
  group.prompt = JsonString(value, "prompt");
  if (group.prompt.empty()) {
    return BadRequest("group '" + group.group_id + "' has no 'prompt'",
                      "send a prompt of at least one character");
  }
  const std::int64_t samples = JsonInteger(value, "samples", 1);
  if (samples < 1 || samples > kMaxSamplesPerGroup) {
    return BadRequest("group '" + group.group_id + "' asks for " +
                          std::to_string(samples) + " samples",
                      "request 1 to " + std::to_string(kMaxSamplesPerGroup));
  }
  const std::int64_t max_tokens =
      JsonInteger(value, "max_tokens", limits.max_tokens);
  if (max_tokens < 1 || max_tokens > limits.max_tokens) {
    return BadRequest("group '" + group.group_id + "' has 'max_tokens' " +
                          std::to_string(max_tokens),
                      "send 1 to " + std::to_string(limits.max_tokens));
  }
  group.samples = static_cast<std::uint32_t>(samples);
  group.max_tokens = static_cast<std::uint32_t>(max_tokens);
  return group;
}

// Fills in the groups of `accept`. Returns the refusal if a group is invalid.
std::optional<Problem> ReadGroups(const Json::Value& body,
                                  const ServiceLimits& limits,
                                  AcceptEntry& accept) {
  const Json::Value& groups = body["groups"];
  if (!groups.isArray() || groups.empty()) {
    return BadRequest("'groups' is missing or empty",
                      "send an array of at least one group");
  }
  std::set<std::string> names;
  for (const Json::Value& value : groups) {
    auto read = ReadGroup(value, limits);
    if (auto* problem = std::get_if<Problem>(&read)) {
      return std::move(*problem);
    }
    PromptGroup& group = std::get<PromptGroup>(read);
    if (!names.insert(group.group_id).second) {
      return BadRequest("group_id '" + group.group_id + "' occurs twice",
                        "give each group of a step its own group_id");
    }
    accept.groups.push_back(std::move(group));
  }
  if (accept.ExpectedSamples() > kMaxSamplesPerStep) {
    return BadRequest(
        "the step asks for " + std::to_string(accept.ExpectedSamples()) +
            " samples",
        "request at most " + std::to_string(kMaxSamplesPerStep) + " a step");
  }
  return std::nullopt;
}

std::variant<AcceptEntry, Problem> ReadStep(const Json::Value& body,
                                            const ServiceDocument& document,
                                            std::uint64_t newest_version) {
  AcceptEntry accept;
  accept.request_id = JsonString(body, "request_id");
  if (!IsIdentifier(accept.request_id)) {
    return BadRequest("'request_id' is missing or not an identifier",
                      "send 1 to 128 of the characters A-Z a-z 0-9 - _ . :");
  }
  const Json::Value& step = body["step"];
  accept.step = step.isString()     ? step.asString()
                : step.isIntegral() ? std::to_string(step.asInt64())
                                    : accept.request_id;
  accept.model = JsonString(body, "model", document.model);
  if (accept.model != document.model) {
    return BadRequest("'model' is '" + accept.model + "'",
                      "leave it out or send '" + document.model + "'");
  }
  const std::int64_t named = JsonInteger(
      body, "named_version", static_cast<std::int64_t>(newest_version));
  if (named < 0) {
    return BadRequest("'named_version' is negative",
                      "send the weight version that the step trains on");
  }
  accept.named_version = static_cast<std::uint64_t>(named);
  accept.max_age_versions =
      static_cast<std::uint64_t>(document.versions.staleness_bound);
  accept.request_digest = Sha256Hex(WriteJson(body));
  if (auto problem = ReadGroups(body, document.limits, accept); problem) {
    return std::move(*problem);
  }
  return accept;
}

Json::Value SampleJson(const CommitEntry& commit) {
  Json::Value value;
  value["sample_id"] = commit.sample_id;
  const std::size_t slash = commit.sample_id.rfind('/');
  value["group_id"] = commit.sample_id.substr(0, slash);
  value["text"] = commit.text;
  value["tokens"] = Json::UInt64(commit.tokens);
  value["finish_reason"] = commit.finish_reason;
  value["attempt"] = commit.attempt;
  value["spans"] = Json::arrayValue;
  for (const TokenSpan& span : commit.spans) {
    Json::Value row;
    row["from"] = Json::UInt64(span.from);
    row["to"] = Json::UInt64(span.to);
    row["version"] = Json::UInt64(span.version);
    value["spans"].append(std::move(row));
  }
  return value;
}

Json::Value ResultJson(const SampleResult& result) {
  if (const auto* commit = std::get_if<CommitEntry>(&result)) {
    return SampleJson(*commit);
  }
  const auto& failed = std::get<FailEntry>(result);
  Json::Value value;
  value["sample_id"] = failed.sample_id;
  value["failed"] = failed.code;
  return value;
}

Json::Value PollJson(const PolledSamples& polled) {
  Json::Value body;
  body["samples"] = Json::arrayValue;
  for (const SampleResult& result : polled.results) {
    body["samples"].append(ResultJson(result));
  }
  body["cursor"] = polled.next.Text();
  body["done"] = polled.done;
  body["remaining"] = Json::UInt64(polled.remaining);
  if (!polled.end_reason.empty()) {
    body["end_reason"] = polled.end_reason;
  }
  return body;
}

std::int64_t WaitOf(const HttpRequest& request) {
  const std::string text = request.Query("wait_ms").value_or("0");
  std::int64_t wait = 0;
  std::from_chars(text.data(), text.data() + text.size(), wait);
  return std::clamp<std::int64_t>(wait, 0, kMaxWaitMs);
}

void RecordDelivery(CallEnvironment& environment,
                    std::string_view service,
                    const PolledSamples& polled) {
  for (const SampleResult& result : polled.results) {
    const auto* commit = std::get_if<CommitEntry>(&result);
    if (!commit) {
      continue;
    }
    Event event;
    event.kind = EventKind::kDeliver;
    event.service = std::string(service);
    event.request = commit->request_id;
    event.sample = commit->sample_id;
    event.attempt = commit->attempt;
    event.number = static_cast<std::int64_t>(commit->tokens);
    environment.timeline.Record(std::move(event));
  }
  environment.metrics
      .GetCounter(metrics::kSamples,
                  {{"service", std::string(service)}, {"outcome", "delivered"}})
      .Add(polled.results.size());
}

}  // namespace

void SubmitStep(CallEnvironment& environment,
                const HttpRequest& request,
                std::shared_ptr<HttpResponder> responder) {
  const auto body = ParseJsonBody(request);
  if (const auto* problem = std::get_if<Problem>(&body)) {
    responder->Send(problem->ToResponse());
    return;
  }
  const auto& object = std::get<Json::Value>(body);
  const auto opened = ValidateCall(environment, JsonString(object, "service"),
                                   ServiceKind::kModel, request);
  if (const auto* problem = std::get_if<Problem>(&opened)) {
    responder->Send(problem->ToResponse());
    return;
  }
  const ServiceDocument& document =
      std::get<AuthenticatedCall>(opened).service->document;
  ServiceLimiter& limiter = environment.limiters.Of(document);
  auto read = ReadStep(object, document,
                       environment.control->NewestVersion(document.model));
  if (const auto* problem = std::get_if<Problem>(&read)) {
    limiter.CountRefusal(*problem);
    responder->Send(problem->ToResponse());
    return;
  }
  auto& accept = std::get<AcceptEntry>(read);
  const std::uint64_t samples = accept.ExpectedSamples();
  environment.steps(document.name)
      .Submit(std::move(accept),
              [responder, samples,
               &limiter](const std::variant<Cursor, Problem>& result) {
                if (const auto* problem = std::get_if<Problem>(&result)) {
                  limiter.CountRefusal(*problem);
                  responder->Send(problem->ToResponse());
                  return;
                }
                Json::Value accepted;
                accepted["cursor"] = std::get<Cursor>(result).Text();
                accepted["samples"] = Json::UInt64(samples);
                responder->Send(JsonResponse(202, accepted));
              });
}

void PollSamples(CallEnvironment& environment,
                 const HttpRequest& request,
                 std::string_view service,
                 std::shared_ptr<HttpResponder> responder) {
  auto authenticated =
      AuthenticateCall(*environment.control, service, request.headers);
  if (const auto* problem = std::get_if<Problem>(&authenticated)) {
    responder->Send(problem->ToResponse());
    return;
  }
  const auto cursor = Capture([&]() -> Result<Cursor> {
    return Cursor::Parse(request.Query("cursor").value_or(""));
  });
  if (!cursor.Ok()) {
    responder->Send(CursorProblem(cursor.GetError()).ToResponse());
    return;
  }
  if (cursor.Value().service != service) {
    responder->Send(CursorProblem({ErrorKind::kInvalidArgument,
                                   "the cursor belongs to another service",
                                   "poll the service that the step was "
                                   "submitted to"})
                        .ToResponse());
    return;
  }
  const std::string name(service);
  environment.steps(service).Poll(
      cursor.Value(), Milliseconds(WaitOf(request)), kSamplesPerPoll,
      [&environment, responder,
       name](const std::variant<PolledSamples, Problem>& result) {
        if (const auto* problem = std::get_if<Problem>(&result)) {
          responder->Send(problem->ToResponse());
          return;
        }
        const auto& polled = std::get<PolledSamples>(result);
        RecordDelivery(environment, name, polled);
        responder->Send(JsonResponse(200, PollJson(polled)));
      });
}

void AnnounceVersion(CallEnvironment& environment,
                     const HttpRequest& request,
                     std::string_view model,
                     std::shared_ptr<HttpResponder> responder) {
  std::optional<Problem> refusal = UnknownService(model);
  for (const auto& [name, service] :
       environment.control->configuration->services) {
    if (service->document.model != model) {
      continue;
    }
    const auto call =
        AuthenticateCall(*environment.control, name, request.headers);
    if (std::holds_alternative<AuthenticatedCall>(call)) {
      refusal.reset();
      break;
    }
    refusal = std::get<Problem>(call);
  }
  if (refusal) {
    responder->Send(refusal->ToResponse());
    return;
  }
  const auto body = Capture([&] { return ParseJson(request.body); });
  const std::int64_t version =
      body.Ok() ? JsonInteger(body.Value(), "version") : 0;
  if (version < 1) {
    responder->Send(
        BadRequest("'version' is missing or below 1", "send {\"version\": N}")
            .ToResponse());
    return;
  }
  AnnounceEntry entry;
  entry.model = std::string(model);
  entry.version = static_cast<std::uint64_t>(version);
  auto responded = std::make_shared<bool>(false);
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return environment.versions.Append(
        EncodeAnnounceEntry(entry),
        [responder, responded, timer](LogPosition position) {
          if (std::exchange(*responded, true)) {
            return;
          }
          timer->reset();
          Json::Value accepted;
          accepted["offset"] = Json::UInt64(position.offset);
          responder->Send(JsonResponse(202, accepted));
        });
  });
  if (!added.Ok()) {
    responder->Send(OverloadedProblem(added.GetError()).ToResponse());
    return;
  }
  *timer = environment.loop.CallAfter(kAnnounceTimeout, [responder, responded] {
    if (!std::exchange(*responded, true)) {
      responder->Send(LogUnavailable(Execution::kMayHaveRun).ToResponse());
    }
  });
}

}  // namespace carobbank
