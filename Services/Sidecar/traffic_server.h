// The sidecar's HTTP port: health, metrics and timeline for operators; RPC and
// requests to the backend server for entries that prove the peer secret.

#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "LibContract/contract.h"
#include "LibHTTP/http.h"
#include "LibRPC/rpc.h"
#include "LibTimeline/timeline.h"
#include "Sidecar/work_dispatcher.h"

namespace carobbank {

struct TrafficEnvironment {
  const SidecarSettings& settings;
  const Clock& clock;
  EventTimeline& timeline;
  MetricRegistry& registry;
  const PeerProofVerifier& verifier;
  WorkDispatcher& work_dispatcher;
  // Wall-clock time in milliseconds when this process started.
  std::uint64_t incarnation = 0;
};

class TrafficServer {
 public:
  explicit TrafficServer(TrafficEnvironment environment);

  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

 private:
  struct Route {
    std::string_view method;
    std::string_view path;
    // Whether the request must prove the peer secret.
    bool requires_peer_proof;
    // Whether the request must carry the operators' token, if the settings have
    // one.
    bool requires_operator_token;
    void (TrafficServer::*handle)(HttpRequest request,
                                  std::shared_ptr<HttpResponder> responder);
  };
  static std::span<const Route> Routes();
  // The route of every request that matches no entry of Routes().
  static const Route& WorkRoute();
  static const Route& RouteOf(const HttpRequest& request);
  // The refusal, or nothing.
  std::optional<Problem> Authenticate(const Route& route,
                                      const HttpRequest& request);
  bool HasOperatorToken(const HttpRequest& request) const;

  void Health(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Ready(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Metrics(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Status(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Timeline(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Rpc(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Work(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  TrafficEnvironment environment;
  RpcDispatcher rpc_dispatcher;
};

}  // namespace carobbank
