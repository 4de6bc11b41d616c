// The endpoint table, and the endpoints for operators.

#include <algorithm>
#include <charconv>
#include <utility>

#include "completion_call.h"
#include "entry.h"
#include "plain_call.h"
#include "problems.h"
#include "rollout_calls.h"

namespace carobbank {

namespace {

constexpr std::string_view kRolloutPrefix = "/v1/rollouts/";
constexpr std::string_view kSamplesSuffix = "/samples";
constexpr std::string_view kModelPrefix = "/v1/models/";
constexpr std::string_view kVersionsSuffix = "/versions";
constexpr std::string_view kPlainPrefix = "/plain/";
constexpr std::size_t kEventsPerPage = 5'000;

// The part of `path` between a prefix and a suffix.
std::string_view Between(std::string_view path,
                         std::string_view prefix,
                         std::string_view suffix) {
  if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
      path.size() < prefix.size() + suffix.size()) {
    return "";
  }
  path.remove_prefix(prefix.size());
  path.remove_suffix(suffix.size());
  return path;
}

Json::Value ServerJson(const KnownServer& server) {
  Json::Value row;
  row["instance"] = server.instance.id;
  row["address"] = server.instance.address;
  row["pool"] = server.instance.pool;
  row["data_center"] = server.instance.data_center;
  row["takes_new_work"] = server.takes_new_work;
  row["version"] = Json::UInt64(server.version);
  row["running"] = server.load.running;
  row["waiting"] = server.load.waiting;
  return row;
}

HttpResponse TextResponse(std::string_view content_type, std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  SetHeader(response.headers, "Content-Type", std::string(content_type));
  return response;
}

}  // namespace

// A path that ends in '/' matches everything below it; an empty method
// matches any.
const Entry::Route Entry::kRoutes[] = {
    {"POST", "/v1/completions", &Entry::HandleCompletions},
    {"POST", "/v1/rollouts", &Entry::HandleSubmit},
    {"GET", "/v1/rollouts/", &Entry::HandlePoll},
    {"POST", "/v1/models/", &Entry::HandleAnnounce},
    {"", "/plain/", &Entry::HandlePlain},
    {"POST", "/rpc", &Entry::HandleRpc},
    {"GET", "/healthz", &Entry::HandleHealth},
    {"GET", "/readyz", &Entry::HandleReady},
    {"GET", "/metrics", &Entry::HandleMetrics},
    {"GET", "/status", &Entry::HandleStatus},
    {"GET", "/timeline", &Entry::HandleTimeline},
};

void Entry::Handle(HttpRequest request,
                   std::shared_ptr<HttpResponder> responder) {
  const std::string_view path = request.Path();
  for (const Route& route : kRoutes) {
    const bool method = route.method.empty() || route.method == request.method;
    const bool matches = route.path.ends_with('/')
                             ? path.starts_with(route.path)
                             : path == route.path;
    if (method && matches) {
      (this->*route.handle)(std::move(request), std::move(responder));
      return;
    }
  }
  responder->Send(UnknownPath(path).ToResponse());
}

void Entry::HandleCompletions(HttpRequest request,
                              std::shared_ptr<HttpResponder> responder) {
  CompletionCall::Begin(this->calls, request, std::move(responder));
}

void Entry::HandleSubmit(HttpRequest request,
                         std::shared_ptr<HttpResponder> responder) {
  if (this->draining) {
    responder->Send(DrainingProblem().ToResponse());
    return;
  }
  SubmitStep(this->calls, request, std::move(responder));
}

void Entry::HandlePoll(HttpRequest request,
                       std::shared_ptr<HttpResponder> responder) {
  const std::string service(
      Between(request.Path(), kRolloutPrefix, kSamplesSuffix));
  if (service.empty()) {
    responder->Send(UnknownPath(request.Path()).ToResponse());
    return;
  }
  if (this->draining) {
    responder->Send(DrainingProblem().ToResponse());
    return;
  }
  PollSamples(this->calls, request, service, std::move(responder));
}

void Entry::HandleAnnounce(HttpRequest request,
                           std::shared_ptr<HttpResponder> responder) {
  const std::string model(
      Between(request.Path(), kModelPrefix, kVersionsSuffix));
  if (model.empty()) {
    responder->Send(UnknownPath(request.Path()).ToResponse());
    return;
  }
  AnnounceVersion(this->calls, request, model, std::move(responder));
}

void Entry::HandlePlain(HttpRequest request,
                        std::shared_ptr<HttpResponder> responder) {
  const std::string target = request.target.substr(kPlainPrefix.size());
  const std::size_t end = target.find_first_of("/?");
  const std::string service = target.substr(0, end);
  std::string path = end == std::string::npos ? "/" : target.substr(end);
  if (path.front() == '?') {
    path.insert(path.begin(), '/');
  }
  PlainCall::Begin(this->calls, std::move(request), service, path,
                   std::move(responder));
}

void Entry::HandleRpc(HttpRequest request,
                      std::shared_ptr<HttpResponder> responder) {
  const auto proof = FindHeader(request.headers, kPeerProofHeader).value_or("");
  const auto verified = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(
        this->verifier.Verify({request.method, request.target, request.body},
                              proof, this->clock.WallNow()));
    return true;
  });
  if (!verified.Ok()) {
    this->metrics.GetCounter(metrics::kPeerProofRefused).Add();
    Problem problem;
    problem.status = 401;
    problem.code = "unauthenticated";
    problem.detail = verified.GetError().message;
    problem.remedy = verified.GetError().remedy;
    responder->Send(problem.ToResponse());
    return;
  }
  this->peer_methods.Handle(request, std::move(responder));
}

void Entry::HandleHealth(HttpRequest,
                         std::shared_ptr<HttpResponder> responder) {
  responder->Send(TextResponse("text/plain", "ok\n"));
}

void Entry::HandleReady(HttpRequest, std::shared_ptr<HttpResponder> responder) {
  const bool ready = !this->draining && this->control->configuration_known;
  HttpResponse response =
      TextResponse("text/plain", ready ? "ready\n" : "not ready\n");
  response.status = ready ? 200 : 503;
  responder->Send(std::move(response));
}

void Entry::HandleMetrics(HttpRequest,
                          std::shared_ptr<HttpResponder> responder) {
  responder->Send(TextResponse("text/plain; version=0.0.4",
                               this->metrics.PrometheusText()));
}

bool Entry::IsOperator(const HttpRequest& request,
                       HttpResponder& responder) const {
  const std::string& wanted = this->settings.operator_token_sha256;
  if (wanted.empty()) {
    return true;
  }
  if (ConstantTimeEqual(wanted, CredentialDigest(request.headers, "Bearer"))) {
    return true;
  }
  responder.Send(Unauthenticated().ToResponse());
  return false;
}

void Entry::HandleStatus(HttpRequest request,
                         std::shared_ptr<HttpResponder> responder) {
  if (this->IsOperator(request, *responder)) {
    responder->Send(JsonResponse(200, this->StatusJson()));
  }
}

void Entry::HandleTimeline(HttpRequest request,
                           std::shared_ptr<HttpResponder> responder) {
  if (!this->IsOperator(request, *responder)) {
    return;
  }
  const std::string after = request.Query("after").value_or("0");
  std::uint64_t from = 0;
  std::from_chars(after.data(), after.data() + after.size(), from);
  responder->Send(JsonResponse(
      200, TimelinePageToJson(this->timeline.Read(from, kEventsPerPage))));
}

Json::Value Entry::StatusJson() const {
  const EntryControlSnapshot& snapshot = *this->control;
  Json::Value status;
  status["role"] = "entry";
  status["instance"] = this->settings.place.instance;
  status["data_center"] = this->settings.place.data_center;
  status["draining"] = this->draining;
  status["offset"] = Json::Int64(snapshot.configuration->offset);
  status["digest"] = snapshot.configuration->digest;
  status["log_reachable"] = snapshot.log_reachable;
  status["instance_list_reachable"] = snapshot.list_reachable;
  status["services"] = Json::arrayValue;
  for (const auto& [name, service] : snapshot.configuration->services) {
    Json::Value row;
    row["name"] = name;
    row["team"] = service->document.team;
    row["class"] =
        std::string(ServiceClassName(service->document.service_class));
    row["share"] = Json::Int64(service->document.share);
    row["revision"] = Json::Int64(service->revision);
    row["digest"] = service->digest;
    status["services"].append(std::move(row));
  }
  status["servers"] = Json::arrayValue;
  for (const KnownServer& server : *snapshot.servers) {
    const auto watched = std::ranges::find(
        snapshot.watched, server.instance.id,
        [](const KnownServer& each) { return each.instance.id; });
    status["servers"].append(
        ServerJson(watched == snapshot.watched.end() ? server : *watched));
  }
  status["versions"] = Json::objectValue;
  for (const ModelVersion& version : snapshot.versions) {
    status["versions"][version.model] = Json::UInt64(version.newest);
  }
  status["quarantine"] = Json::arrayValue;
  for (const std::string& digest : snapshot.quarantined) {
    status["quarantine"].append(digest);
  }
  status["keys"] = this->keys.StatusJson();
  status["rollouts"] = Json::arrayValue;
  for (const auto& [name, service] : this->steps) {
    status["rollouts"].append(service->StatusJson());
  }
  status["timeline_dropped"] = Json::UInt64(this->timeline.Dropped());
  return status;
}

}  // namespace carobbank
