// Looks up callers' keys, and decides on requests without a known one.

#include "caller_authentication.h"

#include <string>
#include <utility>

#include "backend_call.h"
#include "refusals.h"

namespace carobbank {

namespace {

constexpr int kUnauthorized = 401;
// The next read of the log, or of a peer's configuration.
constexpr Milliseconds kRetryAfter{500};

// The credential of the only field of that name; nothing if there are several,
// because it is unclear which one the caller means.
std::optional<std::string_view> OnlyCredential(const HttpHeaders& headers,
                                               const WireHeaderNames& names) {
  std::optional<std::string_view> value;
  for (const HttpHeader& header : headers) {
    if (!HeaderNamesEqual(header.name, names.authorization)) {
      continue;
    }
    if (value) {
      return std::nullopt;
    }
    value = header.value;
  }
  return value ? CredentialOf(*value, names.key_scheme) : std::nullopt;
}

}  // namespace

HttpResponse KeyRequiredResponse(const Caller& caller,
                                 const WireHeaderNames& names) {
  if (caller.kind == Caller::Kind::kUnverified) {
    return NotRunResponse(
        "key_unverified",
        "the key is unknown, and this instance may lack newer keys because it "
        "can't read the log",
        kRetryAfter);
  }
  HttpResponse response = ClientErrorResponse(
      kUnauthorized, "unknown_key", "the request has no known key",
      "send one '" + std::string(names.authorization) + ": " +
          std::string(names.key_scheme) +
          " KEY' with a key of the configuration");
  SetHeader(response.headers, "WWW-Authenticate",
            std::string(names.key_scheme));
  return response;
}

CallerAuthentication::CallerAuthentication(
    GatewayEnvironment& environment,
    std::function<bool()> configuration_is_current)
    : environment(environment),
      configuration_is_current(std::move(configuration_is_current)) {}

Caller CallerAuthentication::Identify(const Workspaces& workspaces,
                                      HttpHeaders& headers) const {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const std::optional<std::string_view> key = OnlyCredential(headers, names);
  const Workspace* const workspace = key ? workspaces.FindByKey(*key) : nullptr;
  RemoveIdentity(headers, names);
  if (workspace != nullptr) {
    return {Caller::Kind::kWorkspace, workspace->name};
  }
  return {this->configuration_is_current() ? Caller::Kind::kAnonymous
                                           : Caller::Kind::kUnverified,
          ""};
}

Authentication CallerAuthentication::Decide(
    Caller caller,
    bool needs_key,
    std::string_view outcome_without_key) const {
  if (!caller.HasNoKey()) {
    this->Count("accepted");
    return {std::move(caller), std::nullopt};
  }
  if (!needs_key) {
    this->Count(outcome_without_key);
    return {std::move(caller), std::nullopt};
  }
  this->Count(caller.kind == Caller::Kind::kAnonymous ? "unknown_key"
                                                      : "unverified_key");
  HttpResponse refusal =
      KeyRequiredResponse(caller, this->environment.dialect.HeaderNames());
  return {std::move(caller), std::move(refusal)};
}

Authentication CallerAuthentication::ForRoute(const HostRoute& route,
                                              HttpHeaders& headers) const {
  const auto& workspaces = this->environment.configuration->workspaces;
  if (!workspaces) {
    return {};
  }
  return this->Decide(this->Identify(*workspaces, headers), !route.is_public,
                      "public");
}

Authentication CallerAuthentication::ForJobCall(HttpHeaders& headers) const {
  const TrafficConfiguration& configuration = *this->environment.configuration;
  if (!configuration.workspaces) {
    return {};
  }
  return this->Decide(this->Identify(*configuration.workspaces, headers),
                      !configuration.routes.HavePublicJobs(), "job_decides");
}

void CallerAuthentication::Count(std::string_view outcome) const {
  this->environment.metrics
      .GetCounter(metrics::kAuthentications,
                  {{"outcome", std::string(outcome)}})
      .Add();
}

std::int64_t PriorityOf(const TrafficConfiguration& configuration,
                        const HostRoute& route,
                        std::string_view workspace) {
  const Workspace* const found =
      configuration.workspaces ? configuration.workspaces->FindByName(workspace)
                               : nullptr;
  return found == nullptr ? route.priority
                          : found->priority.value_or(route.priority);
}

}  // namespace carobbank
