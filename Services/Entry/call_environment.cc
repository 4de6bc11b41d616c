// Authentication and checks that all kinds of calls share.

#include "call_environment.h"

#include <algorithm>

#include "problems.h"

namespace carobbank {

namespace {

constexpr std::string_view kTokenScheme = "Bearer";
constexpr std::size_t kMaxRequestIdLength = 128;

bool IsPlainIdentifier(std::string_view text) {
  return !text.empty() && text.size() <= kMaxRequestIdLength &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < 127; });
}

}  // namespace

std::variant<AuthenticatedCall, Problem> AuthenticateCall(
    const EntryControlSnapshot& control,
    std::string_view service,
    const HttpHeaders& headers) {
  const auto found = control.configuration->services.find(service);
  const bool known = found != control.configuration->services.end() &&
                     !found->second->document.retired;
  if (!known) {
    return control.configuration_known ? UnknownService(service)
                                       : StartingProblem();
  }
  const std::string digest = CredentialDigest(headers, kTokenScheme);
  AuthenticatedCall call;
  call.service = found->second;
  bool matched = false;
  // Compares every caller, so that the response time does not reveal which one
  // matched.
  for (const CallerCredential& rule : found->second->document.callers) {
    if (ConstantTimeEqual(rule.token_sha256, digest)) {
      matched = true;
      call.caller = rule.name;
    }
  }
  if (!matched) {
    return Unauthenticated();
  }
  return call;
}

std::variant<Json::Value, Problem> ParseJsonBody(const HttpRequest& request) {
  auto body = Capture([&] { return ParseJson(request.body); });
  if (body.Ok() && body.Value().isObject()) {
    return std::move(body.Value());
  }
  return BadRequest(
      body.Ok() ? "the body is not a JSON object" : body.GetError().message,
      "send one JSON object");
}

namespace {

// Nothing when the endpoint accepts the request.
std::optional<Problem> CheckAgainstDocument(const ServiceDocument& document,
                                            ServiceKind kind,
                                            const HttpRequest& request) {
  if (document.kind != kind) {
    return document.kind == ServiceKind::kPlain
               ? BadRequest("'" + document.name + "' is a plain service",
                            "call it below /plain/" + document.name)
               : BadRequest("'" + document.name + "' is a model service",
                            "call POST /v1/completions or POST /v1/rollouts");
  }
  const auto limit = static_cast<std::uint64_t>(document.limits.body_bytes);
  if (request.body.size() > limit) {
    return BodyTooLarge(limit);
  }
  return std::nullopt;
}

}  // namespace

std::variant<AuthenticatedCall, Problem> ValidateCall(
    CallEnvironment& environment,
    std::string_view service,
    ServiceKind kind,
    const HttpRequest& request) {
  auto opened =
      AuthenticateCall(*environment.control, service, request.headers);
  const auto* call = std::get_if<AuthenticatedCall>(&opened);
  if (!call) {
    return opened;
  }
  const ServiceDocument& document = call->service->document;
  if (auto refusal = CheckAgainstDocument(document, kind, request); refusal) {
    environment.limiters.Of(document).CountRefusal(*refusal);
    return std::move(*refusal);
  }
  return opened;
}

VersionRange VersionsOf(const ServiceDocument& document) {
  VersionRange range;
  if (document.versions.pinned > 0) {
    range.oldest = static_cast<std::uint64_t>(document.versions.pinned);
    range.newest = range.oldest;
  } else if (document.versions.minimum > 0) {
    range.oldest = static_cast<std::uint64_t>(document.versions.minimum);
  }
  return range;
}

RouteClass RouteClassOf(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kLive:
      return RouteClass::kLive;
    case ServiceClass::kTraining:
      return RouteClass::kTraining;
    case ServiceClass::kBackground:
      return RouteClass::kBackground;
  }
  return RouteClass::kBackground;
}

std::string RequestIdOf(const HttpRequest& request, Random& random) {
  const auto given = FindHeader(request.headers, "X-Request-Id");
  if (given && IsPlainIdentifier(*given)) {
    return std::string(*given);
  }
  return random.Identifier();
}

WallMilliseconds DeadlineOf(const HttpRequest& request,
                            const ServiceDocument& document,
                            WallMilliseconds now_ms) {
  std::int64_t allowed = document.limits.deadline_ms;
  const auto given = FindHeader(request.headers, "X-Deadline-Ms");
  if (given) {
    const auto requested = ParseInteger<std::int64_t>(*given);
    if (requested && *requested > 0) {
      allowed = std::min(allowed, *requested);
    }
  }
  return now_ms + allowed;
}

}  // namespace carobbank
