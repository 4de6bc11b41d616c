// The entry process: connects the control thread, the traffic thread and the
// handlers of callers' and peers' requests.

#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "LibContract/contract.h"
#include "LibHTTP/http.h"
#include "LibProcess/process.h"
#include "LibTimeline/timeline.h"
#include "call_environment.h"
#include "entry_control_plane.h"
#include "peer_methods.h"

namespace carobbank {

class Entry {
 public:
  // Binds the port. Fails with kUnavailable when the port is in use.
  static Result<std::unique_ptr<Entry>> Create(EntrySettings settings);
  ~Entry();

  // Serves until SIGTERM or SIGINT, then drains and returns.
  void Run();

 private:
  Entry(EntrySettings settings, PeerProofVerifier verifier);
  Result<void> Listen();
  void OnSnapshot(std::shared_ptr<const EntryControlSnapshot> snapshot);
  StepService& StepsOf(std::string_view service);
  std::optional<StepPolicy> PolicyOf(std::string_view service) const;
  void QueryOwner(std::string_view owner,
                  std::string_view service,
                  std::string_view request_id,
                  const std::function<void(OwnerStatus)>& done);
  GroupCommitterOptions CommitterOptions() const;
  RetentionOptions Retention() const;

  // One row of the table of endpoints.
  struct Route {
    std::string_view method;
    std::string_view path;
    void (Entry::*handle)(HttpRequest request,
                          std::shared_ptr<HttpResponder> responder);
  };
  static const Route kRoutes[];
  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void HandleCompletions(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleSubmit(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandlePoll(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleAnnounce(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandlePlain(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleRpc(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleHealth(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleReady(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleMetrics(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleStatus(HttpRequest, std::shared_ptr<HttpResponder>);
  void HandleTimeline(HttpRequest, std::shared_ptr<HttpResponder>);
  // Sends a refusal and returns false when the settings require the operator
  // token and the request lacks it.
  bool IsOperator(const HttpRequest& request, HttpResponder& responder) const;
  Json::Value StatusJson() const;

  void BeginDrain();
  void ContinueDrain();
  bool Idle() const;

  // Construction order is dependency order.
  EntrySettings settings;
  SystemClock clock;
  Random random;
  EventTimeline timeline;
  MetricRegistry metrics;
  PeerProofSigner signer;
  PeerProofVerifier verifier;
  EventLoop control_loop;
  EventLoop traffic_loop;

  // Traffic thread.
  std::shared_ptr<const EntryControlSnapshot> control;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<LogClient> log;
  AttemptSender sender;
  HttpPeerRpcClient peers;
  RoutedPools pools;
  ServiceLimiters limiters;
  GenerationEnvironment generation;
  RolloutEnvironment rollouts;
  IdempotencyKeyService keys;
  LogWriter versions;
  std::map<std::string, std::unique_ptr<StepService>, std::less<>> steps;
  CallEnvironment calls;
  PeerMethods peer_methods;
  std::unique_ptr<HttpServer> server;
  bool draining = false;
  MonotonicTime drain_deadline{};
  std::unique_ptr<Timer> drain_timer;

  // Used by the control thread; created and destroyed while that thread is not
  // running.
  std::unique_ptr<EntryControlPlane> control_plane;
  std::thread control_thread;
};

}  // namespace carobbank
