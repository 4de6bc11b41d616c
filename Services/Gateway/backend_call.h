// One attempt to send a complete request to one backend server. The result says
// what the response proves: it belongs to the request, the server refused the
// request without running it, or neither.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend_request.h"
#include "gateway_environment.h"
#include "in_flight_attempt.h"

namespace carobbank {

enum class BackendCallOutcome {
  // The server's own complete response, with any status.
  kAnswered,
  // The request certainly did not run.
  kNotRun,
  // The request may have run.
  kMayHaveRun,
};

struct BackendCallResult {
  BackendCallOutcome outcome = BackendCallOutcome::kMayHaveRun;
  HttpResponse response;
  // Why there is no usable response, for log lines.
  std::string reason;
  // Number of events that were delivered to StreamHandlers::on_events.
  std::size_t events = 0;
};

// Receives a stream of events while it arrives.
struct StreamHandlers {
  // The head of the server's own response, before its first event.
  // `connected_at`: when its connection was established, by Clock::BootNow().
  std::function<void(const HttpHeaders& headers, MonotonicTime connected_at)>
      on_head;
  // Complete events as the server sent them, and the id of the last one.
  std::function<void(std::string_view bytes, std::string_view last_event_id)>
      on_events;
};

// Copies `headers` without hop-by-hop fields (RFC 9110, section 7.6.1) and
// without the fields that the gateway sets itself.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const WireHeaderNames& names);

// Removes the caller's key, and the workspace that the caller stated.
void RemoveIdentity(HttpHeaders& headers, const WireHeaderNames& names);

// The request for one server, with the fields that the gateway adds. A request
// with a workspace carries no other identity.
HttpClientRequest RequestForServer(const BackendRequest& request,
                                   const FleetServer& server,
                                   const WireHeaderNames& names);

// True when the response confirms that the server did not run the request.
bool IsNotRunResponse(int status,
                      const HttpHeaders& headers,
                      const WireHeaderNames& names);

// Whether an event repeats one of its stream, whose ids increase. Ids that are
// no numbers are not compared.
bool RepeatsEvent(std::string_view event_id, std::string_view last_event_id);

// True for a client error that does not ask for a repeat.
bool IsRejection(int status);

class BackendCall {
 public:
  using Callback = std::function<void(BackendCallResult)>;

  // Calls `done` once from the event loop, never before Start() returns.
  static std::unique_ptr<BackendCall> Start(GatewayEnvironment& environment,
                                            const FleetServer& server,
                                            const BackendRequest& request,
                                            Callback done);
  // The same for a response that is the server's own stream of events with
  // status 200: the result of a complete one has no body. Any other response is
  // collected.
  static std::unique_ptr<BackendCall> StartStream(
      GatewayEnvironment& environment,
      const FleetServer& server,
      const BackendRequest& request,
      StreamHandlers stream,
      Callback done);
  // Aborts the request and closes its connection without calling `done`.
  ~BackendCall() = default;
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  const std::string& ServerId() const { return this->attempt.ServerId(); }
  const std::string& RequestId() const { return this->attempt.RequestId(); }
  MonotonicTime Began() const { return this->attempt.Began(); }
  // Replaces the callback that Start() received.
  void SetCallback(Callback callback) { this->done = std::move(callback); }
  // Stops and resumes reading, for a caller that reads slowly.
  void Pause() { this->exchange->Pause(); }
  void Resume() { this->exchange->Resume(); }

 private:
  BackendCall(GatewayEnvironment& environment,
              const FleetServer& server,
              const BackendRequest& request,
              Callback done);
  HttpClientHandlers Handlers();
  void OnHeaders(int status, const HttpHeaders& headers);
  // The response has the request's id and a signature.
  bool IsOwnResponse() const;
  void AppendBody(std::string_view bytes);
  void ForwardEvents(std::string_view bytes);
  void OnDone();
  void OnFailure(const HttpClientFailure& failure);
  void End(BackendCallResult result, SendOutcome outcome);
  void LogWithoutResponse(std::string_view reason) const;
  BackendCallResult ClassifyResponse();

  GatewayEnvironment& environment;
  InFlightAttempt attempt;
  // The time that the server was given.
  Milliseconds time_left;
  Callback done;
  // The body is in `body` until the response is complete.
  HttpResponse response;
  BufferedBody body;
  // Empty for a response that is collected.
  StreamHandlers stream;
  bool streaming = false;
  ServerSentEventReader reader;
  // Of an event that is not complete.
  std::string partial_event;
  std::size_t events = 0;
  // Expires with this call, which its callbacks may destroy.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::unique_ptr<HttpExchange> exchange;
};

}  // namespace carobbank
