// Forwards a server's event stream to the client and continues it at servers of
// the software version that began it.

#include "forwarded_call.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "refusals.h"
#include "request_quarantine.h"
#include "retry_budgets.h"
#include "server_start_checks.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr std::string_view kRepeatedEvent = "the server sent an event again";
// Events that a caller has not read; its server is read again below that.
constexpr std::size_t kMaxUnwrittenBytes = 64 * 1024;
// A gateway that has just started reads the records of streams first.
constexpr Milliseconds kRecordsCheckPeriod{20};
constexpr Milliseconds kRetryAfter{250};
constexpr Milliseconds kStartCheckPeriod{20};
// Clients abandon a stream after a gap of two seconds. Entries of servers
// change about once a second, if no report names their start.
constexpr Milliseconds kLongestHold{1'900};
// An origin is recorded and read within this time, also when the log is slow.
constexpr Milliseconds kLongestWaitForOrigin{1'000};
// From the end of a stream until its caller takes it up.
constexpr Milliseconds kTimeToTakeUp{2'000};

}  // namespace

void ForwardedCall::BeginResumed() {
  RequestQuarantine& quarantine = this->environment.quarantine;
  if (quarantine.AwaitsRecords()) {
    this->retry_timer = this->environment.loop.CallAfter(
        kRecordsCheckPeriod, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->BeginResumed();
          }
        });
    return;
  }
  if (const auto begun = quarantine.Streams().Find(this->stream_id)) {
    this->TakeUp(*begun);
    return;
  }
  if (!this->route.streaming) {
    this->TakeUpPlain();
    return;
  }
  // Another gateway may have recorded the stream, or begun to use a further
  // origin, since this gateway last read.
  quarantine.Log().Refresh([weak = this->weak_from_this()](bool fresh) {
    const auto self = weak.lock();
    if (self && self->responder) {
      self->OnRecordsRead(fresh);
    }
  });
}

void ForwardedCall::OnRecordsRead(bool fresh) {
  RequestQuarantine& quarantine = this->environment.quarantine;
  if (const auto begun = quarantine.Streams().Find(this->stream_id)) {
    this->TakeUp(*begun);
    return;
  }
  const std::optional<StreamOrigin> only =
      fresh ? this->OnlyOrigin() : std::nullopt;
  if (!only) {
    this->RefuseResumed();
    return;
  }
  this->from_only_origin = true;
  this->TakeUp({this->stream_id, only->service, only->software_version, 0});
}

void ForwardedCall::TakeUpPlain() {
  const MonotonicTime begin =
      this->environment.clock.BootNow() - this->route.timeout - kTimeToTakeUp;
  const std::optional<std::string> software =
      this->environment.fleet.OnlySoftware(this->service, begin);
  if (!software) {
    this->RefuseResumed();
    return;
  }
  this->TakeUp({this->stream_id, this->service, *software, 0});
}

void ForwardedCall::TakeUp(const StreamVersion& begun) {
  if (begun.software_version.empty()) {
    this->RefuseResumed();
    return;
  }
  this->software_version = begun.software_version;
  if (!begun.service.empty()) {
    this->service = begun.service;
  }
  if (!this->HasServer()) {
    this->Refuse(
        "no_server",
        "no server of the software version that began the stream is registered",
        kRetryAfter);
    return;
  }
  this->environment.retries.OnFirstAttempt(this->service);
  this->StartAttempt();
}

void ForwardedCall::RefuseResumed() {
  WriteLog(LogLevel::kInfo,
           "stream not taken up: the software version that began it is unknown",
           {{"request", this->request.request_id},
            {"stream", this->stream_id},
            {"service", this->service}});
  this->Refuse("unknown_software_version",
               "the software version that began the stream is unknown",
               kRetryAfter);
}

bool ForwardedCall::MayRun(const FleetServer& server) const {
  if (!this->stream_begun && !this->resumes) {
    return this->environment.quarantine.Origins().MayBegin(this->route, server);
  }
  // Only the events of a stream can be held back until it is confirmed which
  // start of the server has answered.
  return (server.started_at == 0 || this->route.streaming) &&
         server.software_version == this->software_version;
}

bool ForwardedCall::AwaitsOrigin() const {
  const bool may_wait =
      this->route.streaming && !this->resumes && !this->stream_begun &&
      this->environment.clock.Now() - this->began < kLongestWaitForOrigin;
  if (!may_wait) {
    return false;
  }
  return !this->HasServer() &&
         !this->environment.fleet.Eligible(this->service).empty();
}

bool ForwardedCall::HasServer() const {
  const std::vector<const FleetServer*> servers =
      this->environment.fleet.Eligible(this->service);
  return std::any_of(
      servers.begin(), servers.end(),
      [this](const FleetServer* server) { return this->MayRun(*server); });
}

void ForwardedCall::OnStreamHead(StreamServer server,
                                 const HttpHeaders& headers) {
  if (!this->stream_begun) {
    this->stream_head = headers;
  }
  if (!this->stream_begun && !this->resumes) {
    this->origin = std::move(server);
    return;
  }
  this->held_back = std::move(server);
  this->hold_until = this->environment.clock.Now() + kLongestHold;
  if (StartOf(this->environment.fleet, *this->held_back) ==
      StreamServerStart::kConfirmed) {
    this->held_back.reset();
    return;
  }
  this->calls.front()->Pause();
  this->RequestStartReport(*this->held_back);
  this->ScheduleStartCheck();
}

void ForwardedCall::ScheduleStartCheck() {
  this->start_timer = this->environment.loop.CallAfter(
      kStartCheckPeriod, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->held_back) {
          self->AwaitStart();
        }
      });
}

void ForwardedCall::AwaitStart() {
  const StreamServerStart start =
      StartOf(this->environment.fleet, *this->held_back);
  if (start == StreamServerStart::kConfirmed && this->OnlyOriginHolds()) {
    this->held_back.reset();
    this->paused = false;
    this->calls.front()->Resume();
    this->WriteEvents();
    return;
  }
  if (start == StreamServerStart::kUnconfirmed &&
      this->environment.clock.Now() < this->hold_until) {
    this->RequestStartReport(*this->held_back);
    this->ScheduleStartCheck();
    return;
  }
  // Not the id in `held_back`, which OnCallDone() resets.
  this->OnCallDone(this->calls.front()->ServerId(),
                   {BackendCallOutcome::kMayHaveRun,
                    {},
                    "it is not confirmed which start of the server responds"});
}

void ForwardedCall::RequestStartReport(const StreamServer& server) {
  if (this->environment.start_checks != nullptr) {
    this->environment.start_checks->Request(server.id, server.started_at,
                                            server.connected_at);
  }
}

void ForwardedCall::ConfirmOrigin() {
  if (!this->origin) {
    return;
  }
  if (StartOf(this->environment.fleet, *this->origin) ==
      StreamServerStart::kConfirmed) {
    this->software_version = this->origin->software_version;
    this->origin.reset();
  } else if (this->route.resumable) {
    this->RequestStartReport(*this->origin);
  }
}

bool ForwardedCall::OnlyOriginHolds() const {
  if (!this->from_only_origin) {
    return true;
  }
  const std::optional<StreamOrigin> only = this->OnlyOrigin();
  return only && only->software_version == this->software_version;
}

std::optional<StreamOrigin> ForwardedCall::OnlyOrigin() const {
  std::string_view path = this->request.target;
  path = path.substr(0, path.find('?'));
  return this->environment.quarantine.Origins().Only(this->route.host, path);
}

void ForwardedCall::RecordStream() {
  if (!this->route.resumable) {
    return;
  }
  StreamVersions& streams = this->environment.quarantine.Streams();
  const auto record = [this, &streams](const std::string& id) {
    if (this->origin) {
      const StreamOrigin begun{this->route.host, this->route.path_prefix,
                               this->service, this->origin->software_version};
      streams.OnBegun(id, begun, *this->origin);
    } else if (!this->software_version.empty()) {
      streams.OnBegun(id, {this->route.host, this->route.path_prefix,
                           this->service, this->software_version});
    }
  };
  record(this->stream_id);
  // The caller may name its last attempt instead of the first.
  if (this->stream_id != this->request.request_id) {
    record(this->request.request_id);
  }
}

void ForwardedCall::OnEvents(std::string_view bytes,
                             std::string_view event_id) {
  if (!this->responder) {
    return;
  }
  const bool repeated = RepeatsEvent(event_id, this->last_event_id);
  if (repeated && !this->stream_begun) {
    this->Fail(kBadGateway, "no_answer", kRepeatedEvent);
    return;
  }
  this->ConfirmOrigin();
  if (!std::exchange(this->stream_begun, true)) {
    this->usage.OnFirstEvent(this->environment.clock.WallNow());
    this->responder->Start(
        kOk, EndToEndHeaders(this->stream_head,
                             this->environment.dialect.HeaderNames()));
    this->RecordStream();
  }
  if (repeated) {
    this->AbortStream(kRepeatedEvent);
    return;
  }
  this->last_event_id = event_id;
  this->unwritten.append(bytes);
  this->WriteEvents();
}

void ForwardedCall::WriteEvents() {
  if (this->writing || !this->responder) {
    return;
  }
  if (!this->unwritten.empty()) {
    this->writing = true;
    this->responder->Write(std::exchange(this->unwritten, {}),
                           [weak = this->weak_from_this()](bool written) {
                             if (const auto self = weak.lock()) {
                               self->OnEventsWritten(written);
                             }
                           });
  } else if (this->stream_complete) {
    const std::shared_ptr<HttpResponder> answered = std::move(this->responder);
    this->responder = nullptr;
    answered->Finish();
    this->Close();
    return;
  }
  if (this->held_back) {
    return;
  }
  const bool too_many = this->unwritten.size() > kMaxUnwrittenBytes;
  if (too_many != this->paused && this->calls.size() == 1) {
    this->paused = too_many;
    too_many ? this->calls.front()->Pause() : this->calls.front()->Resume();
  }
}

void ForwardedCall::OnEventsWritten(bool written) {
  this->writing = false;
  if (written) {
    this->WriteEvents();
  } else {
    this->Close();
  }
}

void ForwardedCall::OnStreamEnd(const BackendCallResult& result) {
  this->paused = false;
  const bool answered = result.outcome == BackendCallOutcome::kAnswered;
  // Only the end of a server's own events is the end of the stream. A server
  // that took it up may have answered with an error, or with nothing.
  if (answered && result.events > 0) {
    this->stream_complete = true;
    this->WriteEvents();
    return;
  }
  const std::string reason = answered
                                 ? "the server responded with status " +
                                       std::to_string(result.response.status) +
                                       " in place of further events"
                                 : result.reason;
  this->ConfirmOrigin();
  if (!this->route.resumable || this->software_version.empty() ||
      this->last_event_id.empty() || !this->MayRunAgain() ||
      !this->TryRepeat()) {
    this->AbortStream(reason);
    return;
  }
  SetHeader(this->request.headers,
            this->environment.dialect.HeaderNames().last_event_id,
            this->last_event_id);
  this->StartAttempt();
}

void ForwardedCall::AbortStream(std::string_view reason) {
  WriteLog(LogLevel::kInfo, "stream ended without its end",
           {{"request", this->request.request_id},
            {"service", this->service},
            {"last_event_id", this->last_event_id},
            {"software", this->software_version},
            {"reason", std::string(reason)}});
  const std::shared_ptr<HttpResponder> broken = std::move(this->responder);
  this->responder = nullptr;
  broken->Abort();
  this->Close();
}

}  // namespace carobbank
