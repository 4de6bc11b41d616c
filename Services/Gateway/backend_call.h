// One send of a whole request to one backend server, and what its answer
// proves: an answer that belongs to the request, a refusal that did not run it,
// or neither.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway_environment.h"
#include "in_flight_attempt.h"

namespace carobbank {

struct BackendRequest {
  std::string method;
  // Path and query.
  std::string target;
  // End-to-end fields, with the caller's host and request id.
  HttpHeaders headers;
  std::string body;
  std::string request_id;
  // How long the server may work on it.
  Milliseconds time_left{0};
};

enum class BackendCallOutcome {
  // The server's own whole answer, whatever its status.
  kAnswered,
  // Certainly not run.
  kNotRun,
  // May have run.
  kMayHaveRun,
};

struct BackendCallResult {
  BackendCallOutcome outcome = BackendCallOutcome::kMayHaveRun;
  HttpResponse response;
  // Why there is no answer, for log lines.
  std::string reason;
};

// Fields that concern one connection only, or that the gateway sets itself, are
// left out (RFC 9110, section 7.6.1).
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const WireHeaderNames& names);

// The request for one server, with the fields that the gateway adds.
HttpClientRequest RequestForServer(const BackendRequest& request,
                                   const FleetServer& server,
                                   const WireHeaderNames& names);

// True when the answer vouches that the server did not run the request.
bool IsNotRunResponse(int status,
                      const HttpHeaders& headers,
                      const WireHeaderNames& names);

class BackendCall {
 public:
  using Callback = std::function<void(BackendCallResult)>;

  // `done` is called once from the loop, not before Start() returned.
  static std::unique_ptr<BackendCall> Start(GatewayEnvironment& environment,
                                            const FleetServer& server,
                                            const BackendRequest& request,
                                            Callback done);
  // Gives the request up: closes its connection, calls nothing.
  ~BackendCall() = default;
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  const std::string& ServerId() const { return this->account.ServerId(); }

 private:
  BackendCall(GatewayEnvironment& environment,
              std::string server_id,
              std::string request_id,
              Callback done);
  HttpClientHandlers Handlers();
  void TakeBody(std::string_view bytes);
  void Done();
  void Failed(const HttpClientFailure& failure);
  void End(BackendCallResult answer, SendOutcome outcome);
  BackendCallResult Judge();

  GatewayEnvironment& environment;
  InFlightAttempt account;
  std::string request_id;
  Callback done;
  HttpResponse response;
  std::unique_ptr<HttpExchange> exchange;
};

}  // namespace carobbank
