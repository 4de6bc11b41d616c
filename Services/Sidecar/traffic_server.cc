// The table of routes and their handlers.

#include "Sidecar/traffic_server.h"

#include <charconv>
#include <utility>

#include "Sidecar/problems.h"
#include "Sidecar/status_report.h"

namespace carobbank {

namespace {

constexpr int kStatusOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kTimelinePageEvents = 1'000;
constexpr std::string_view kTokenScheme = "Bearer";

std::uint64_t QueryNumber(const HttpRequest& request,
                          std::string_view name,
                          std::uint64_t fallback) {
  const auto text = request.Query(name);
  std::uint64_t value = fallback;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), value);
  }
  return value;
}

HttpResponse Text(int status, std::string body, std::string type) {
  return {status, {{"Content-Type", std::move(type)}}, std::move(body)};
}

}  // namespace

std::span<const TrafficServer::Route> TrafficServer::Routes() {
  static constexpr Route kRoutes[] = {
      {"GET", "/healthz", false, false, &TrafficServer::Health},
      {"GET", "/readyz", false, false, &TrafficServer::Ready},
      {"GET", "/metrics", false, false, &TrafficServer::Metrics},
      {"GET", "/status", false, true, &TrafficServer::Status},
      {"GET", "/timeline", false, true, &TrafficServer::Timeline},
      {"POST", "/rpc", true, false, &TrafficServer::Rpc},
  };
  return kRoutes;
}

const TrafficServer::Route& TrafficServer::WorkRoute() {
  static constexpr Route kWork = {"", "", true, false, &TrafficServer::Work};
  return kWork;
}

TrafficServer::TrafficServer(TrafficEnvironment environment)
    : environment(environment) {
  this->rpc_dispatcher.Register(
      "status", [this](const Json::Value& parameters) {
        // Heartbeats request only the members that routing needs.
        if (parameters.isObject() && parameters["brief"].isBool()) {
          return RpcOutcome(BriefStatusJson(this->environment.settings,
                                            this->environment.work_dispatcher));
        }
        return RpcOutcome(StatusJson(this->environment.settings,
                                     this->environment.incarnation,
                                     this->environment.work_dispatcher));
      });
  this->rpc_dispatcher.Register(
      "quarantine", [this](const Json::Value& parameters) {
        const std::string digest = JsonString(parameters, "digest");
        if (digest.empty()) {
          return RpcOutcome(RpcError{RpcError::kInvalidParameters,
                                     "digest is missing", Json::Value()});
        }
        this->environment.work_dispatcher.Quarantine(digest);
        return RpcOutcome(Json::Value(true));
      });
}

const TrafficServer::Route& TrafficServer::RouteOf(const HttpRequest& request) {
  // A request for the backend server may have the same path as a route of the
  // sidecar; the attempt header tells them apart.
  if (FindHeader(request.headers, "X-Carobbank-Attempt")) {
    return WorkRoute();
  }
  for (const Route& route : Routes()) {
    if (route.method == request.method && route.path == request.Path()) {
      return route;
    }
  }
  return WorkRoute();
}

void TrafficServer::Handle(HttpRequest request,
                           std::shared_ptr<HttpResponder> responder) {
  if (const auto stamp = FindHeader(request.headers, "X-Carobbank-Time")) {
    const auto time = Capture([&] { return HybridTime::Parse(*stamp); });
    if (time.Ok()) {
      this->environment.timeline.Observe(time.Value());
    }
  }
  const Route& route = RouteOf(request);
  if (const auto refusal = this->Authenticate(route, request)) {
    responder->Send(refusal->ToResponse());
    return;
  }
  (this->*route.handle)(std::move(request), std::move(responder));
}

std::optional<Problem> TrafficServer::Authenticate(const Route& route,
                                                   const HttpRequest& request) {
  if (route.requires_operator_token && !this->HasOperatorToken(request)) {
    return UnauthenticatedProblem("the operators' token is missing or wrong");
  }
  if (!route.requires_peer_proof) {
    return std::nullopt;
  }
  const auto proof = FindHeader(request.headers, kPeerProofHeader);
  const auto verified = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->environment.verifier.Verify(
        {request.method, request.target, request.body}, proof.value_or(""),
        this->environment.clock.WallNow()));
    return true;
  });
  if (verified.Ok()) {
    return std::nullopt;
  }
  this->environment.registry.GetCounter(metrics::kPeerProofRefused).Add();
  return UnauthenticatedProblem(verified.GetError().message);
}

bool TrafficServer::HasOperatorToken(const HttpRequest& request) const {
  const std::string& expected =
      this->environment.settings.operator_token_sha256;
  if (expected.empty()) {
    return true;
  }
  return ConstantTimeEqual(CredentialDigest(request.headers, kTokenScheme),
                           expected);
}

void TrafficServer::Health(HttpRequest,
                           std::shared_ptr<HttpResponder> responder) {
  responder->Send(Text(kStatusOk, "ok\n", "text/plain"));
}

void TrafficServer::Ready(HttpRequest,
                          std::shared_ptr<HttpResponder> responder) {
  const bool serving =
      IsServing(this->environment.settings, this->environment.work_dispatcher);
  responder->Send(Text(serving ? kStatusOk : kServiceUnavailable,
                       serving ? "ready\n" : "not ready\n", "text/plain"));
}

void TrafficServer::Metrics(HttpRequest,
                            std::shared_ptr<HttpResponder> responder) {
  responder->Send(Text(kStatusOk, this->environment.registry.PrometheusText(),
                       "text/plain; version=0.0.4"));
}

void TrafficServer::Status(HttpRequest,
                           std::shared_ptr<HttpResponder> responder) {
  responder->Send(JsonResponse(
      kStatusOk,
      StatusJson(this->environment.settings, this->environment.incarnation,
                 this->environment.work_dispatcher)));
}

void TrafficServer::Timeline(HttpRequest request,
                             std::shared_ptr<HttpResponder> responder) {
  const TimelinePage page = this->environment.timeline.Read(
      QueryNumber(request, "from", 0),
      std::min<std::uint64_t>(QueryNumber(request, "max", kTimelinePageEvents),
                              kTimelinePageEvents));
  responder->Send(JsonResponse(kStatusOk, TimelinePageToJson(page)));
}

void TrafficServer::Rpc(HttpRequest request,
                        std::shared_ptr<HttpResponder> responder) {
  responder->Send(Text(kStatusOk, this->rpc_dispatcher.Handle(request.body),
                       "application/json"));
}

void TrafficServer::Work(HttpRequest request,
                         std::shared_ptr<HttpResponder> responder) {
  this->environment.work_dispatcher.Admit(std::move(request),
                                          std::move(responder));
}

}  // namespace carobbank
