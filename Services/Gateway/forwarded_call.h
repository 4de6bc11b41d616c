// Forwards a caller's plain request to backend servers: attempts within the
// route's limits, a hedged attempt when the first is slow, and one final
// response.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "backend_call.h"
#include "plain_call_admission.h"
#include "send_permits.h"
#include "stream_server.h"
#include "stream_versions.h"
#include "usage_recorder.h"

namespace carobbank {

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  // Calls `ended` once, when the caller has received its response or has
  // disconnected. The request counts as usage of `workspace`, unless that is
  // empty.
  static std::shared_ptr<ForwardedCall> Start(
      GatewayEnvironment& environment,
      const HostRoute& route,
      HttpRequest request,
      std::shared_ptr<HttpResponder> responder,
      std::function<void(const std::shared_ptr<ForwardedCall>&)> ended,
      std::string workspace = {});

  bool Ended() const { return !this->ended; }
  // Responds with what is known of the request, because the process is about to
  // exit. Does not change a response that is being written.
  void EndForShutdown();

 private:
  ForwardedCall(GatewayEnvironment& environment,
                const HostRoute& route,
                HttpRequest request,
                std::shared_ptr<HttpResponder> responder,
                std::string_view workspace);
  void Begin();
  // Starts the first attempt now or once the service has capacity, or refuses
  // the call.
  void AskAdmission();
  void OnAdmission(AdmissionState state);
  void ReportAttempt(const BackendCall& call, const BackendCallResult& result);
  // For a call that no server ran: by the pace of the service's queue, or
  // `otherwise` without one.
  Milliseconds RefusalRetryAfter(Milliseconds otherwise) const;
  Milliseconds TimeLeft() const;
  // Begins the stream that the caller takes up where it was begun, or refuses.
  void BeginResumed();
  void OnRecordsRead(bool fresh);
  void TakeUp(const StreamVersion& begun);
  void RefuseResumed();
  // Whether some server of the service may run the request.
  bool HasServer() const;
  // The stream can begin at no server yet, because the log doesn't hold their
  // origins.
  bool AwaitsOrigin() const;
  // For a route without streams, of which no origins are recorded.
  void TakeUpPlain();
  bool MayRunAgain() const;
  // The response can still be delivered if the request is sent to a server now.
  bool MayBegin() const;
  void RecordResponseTime();
  void StartAttempt();
  void SendTo(const FleetServer& server);
  // Sends the quarantined request once, if this gateway may.
  void StartTrial();
  void OnTrialClaimed(std::int64_t number);
  void StartAttemptAfter(Milliseconds delay);
  const FleetServer* ChooseServer(bool allow_backoff);
  // Servers that need a permit and could run the request once there is one.
  std::vector<std::string> HeldBackServers() const;
  // Asks for a permit if one of the servers needs one; false if none does.
  bool AwaitPermit();
  void OnPermit(const PermitOutcome& outcome);
  bool HasPermitFor(const FleetServer& server) const;
  void OnCallDone(const std::string& server_id, BackendCallResult result);
  void RefuseQuarantined(Milliseconds refused_for);
  void OnNotRun(const BackendCallResult& result);
  void OnTrialDone(BackendCallResult result);
  void RetryAfterBackoff();
  // Whether the service's retry budget allows a further attempt or round.
  bool TryRepeat();
  // No server can be tried in this round any more.
  bool RoundIsOver() const;
  void ScheduleHedge();
  void OnDeadline();
  // Ends a stream that has begun without its end.
  void Finish(HttpResponse response);
  // Finish the call with a response of this gateway and count it.
  void Refuse(std::string_view code,
              std::string_view detail,
              Milliseconds retry_after);
  void Fail(int status, std::string_view code, std::string_view detail);
  void RefuseForShutdown();
  void CountRefusal(std::string_view code, std::string_view execution) const;
  std::unique_ptr<BackendCall> StartBackendCall(const FleetServer& server);
  // The server may run the request: its software version is that of the stream.
  bool MayRun(const FleetServer& server) const;
  void OnStreamHead(StreamServer server, const HttpHeaders& headers);
  // Holds back the events of a server that continues the stream until it is
  // confirmed which start of the server sends them.
  void AwaitStart();
  void ScheduleStartCheck();
  void RequestStartReport(const StreamServer& server);
  // Keeps the software version that began the stream, once it is confirmed.
  void ConfirmOrigin();
  std::optional<StreamOrigin> OnlyOrigin() const;
  // The origin that this gateway took for the only one of the path still is.
  bool OnlyOriginHolds() const;
  void RecordStream();
  void OnEvents(std::string_view bytes, std::string_view event_id);
  void WriteEvents();
  void OnEventsWritten(bool written);
  // The attempt that streamed events ended.
  void OnStreamEnd(const BackendCallResult& result);
  void AbortStream(std::string_view reason);
  void Close();

  GatewayEnvironment& environment;
  HostRoute route;
  std::string service;
  BackendRequest request;
  std::shared_ptr<HttpResponder> responder;
  std::function<void(const std::shared_ptr<ForwardedCall>&)> ended;
  MonotonicTime began;
  MonotonicTime deadline;

  // Of the workspace whose key the caller sent.
  AttemptUsage usage;

  // Calls in flight; more than one only for repeatable requests.
  std::vector<std::unique_ptr<BackendCall>> calls;
  // Servers that may have run the request, or refused it in this round.
  std::vector<std::string> excluded;
  // Number of servers that may have run the request.
  std::int64_t possible_runs = 0;
  // Number of rounds in which every server refused the request.
  int refused_rounds = 0;
  // Servers that have refused the request in this round.
  int refusals_in_round = 0;
  bool claiming_trial = false;
  // Of a stream. Id of the client attempt that brought its first event.
  std::string stream_id;
  // The caller takes it up.
  bool resumes = false;
  // The caller's response began with its first event.
  bool stream_begun = false;
  bool stream_complete = false;
  HttpHeaders stream_head;
  std::string last_event_id;
  // Software version of the server that began the stream; empty if no other
  // server may continue it.
  std::string software_version;
  // The server that began the stream here, until its start is confirmed.
  std::optional<StreamServer> origin;
  // The software version is that of the only origin of the path.
  bool from_only_origin = false;
  // The server that continues the stream, while its events are held back.
  std::optional<StreamServer> held_back;
  MonotonicTime hold_until{};
  std::unique_ptr<Timer> start_timer;
  // Events that are not being written yet, and whether a write is in progress.
  std::string unwritten;
  bool writing = false;
  bool paused = false;
  bool awaiting_permit = false;
  // Null without the setting `admission`.
  std::unique_ptr<AdmissionPass> pass;
  std::optional<SendPermit> permit;
  std::string last_failure = "no backend server is registered";
  std::unique_ptr<Timer> timeout;
  std::unique_ptr<Timer> retry_timer;
  std::unique_ptr<Timer> hedge_timer;
};

}  // namespace carobbank
