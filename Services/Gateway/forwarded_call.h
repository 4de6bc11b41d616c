// A caller's plain request on its way to a backend server: attempts within the
// route's bounds, a second one when the first is slow, and one final answer.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "backend_call.h"

namespace carobbank {

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  // `ended` is called once, when the caller has its answer or has left.
  static std::shared_ptr<ForwardedCall> Start(
      GatewayEnvironment& environment,
      const HostRoute& route,
      HttpRequest request,
      std::shared_ptr<HttpResponder> responder,
      std::function<void(const std::shared_ptr<ForwardedCall>&)> ended);

  bool Ended() const { return !this->ended; }

 private:
  ForwardedCall(GatewayEnvironment& environment,
                const HostRoute& route,
                HttpRequest request,
                std::shared_ptr<HttpResponder> responder);
  void Begin();
  Milliseconds TimeLeft() const;
  bool MayRunAgain() const;
  void Attempt();
  const FleetServer* ChooseServer(bool allow_backoff);
  void Answered(const std::string& server_id, BackendCallResult answer);
  void NotRun(const BackendCallResult& answer);
  void WaitAndAttempt();
  void WatchSlowness();
  void OutOfTime();
  void Finish(HttpResponse response);
  void Close();

  GatewayEnvironment& environment;
  HostRoute route;
  std::string service;
  BackendRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::function<void(const std::shared_ptr<ForwardedCall>&)> ended;
  MonotonicTime deadline;

  // Sends under way; more than one only for repeatable requests.
  std::vector<std::unique_ptr<BackendCall>> sends;
  // Servers that may have run it or refused it in this round.
  std::vector<std::string> tried;
  // Servers that may have run it.
  std::int64_t runs = 0;
  // Rounds over all servers that ended with refusals only.
  int refused_rounds = 0;
  std::string last_reason = "no backend server is known";
  std::unique_ptr<Timer> timeout;
  std::unique_ptr<Timer> retry_timer;
  std::unique_ptr<Timer> slowness_timer;
};

}  // namespace carobbank
