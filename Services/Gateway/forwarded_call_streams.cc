// Forwards a server's event stream to the client and continues it at servers of
// the software version that began it.

#include "forwarded_call.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "refusals.h"
#include "request_quarantine.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
// Events that a caller has not read; its server is read again below that.
constexpr std::size_t kMaxUnwrittenBytes = 64 * 1024;
// From the end of a stream until its caller takes it up.
constexpr Milliseconds kTimeToTakeUp{2'000};

}  // namespace

std::optional<std::string> ForwardedCall::SoftwareOfResumed() const {
  if (auto recorded =
          this->environment.quarantine.Streams().Find(this->stream_id)) {
    return recorded;
  }
  const MonotonicTime begin =
      this->environment.clock.BootNow() - this->route.timeout - kTimeToTakeUp;
  return this->environment.fleet.OnlySoftware(this->service, begin);
}

bool ForwardedCall::MayRun(const FleetServer& server) const {
  // A server with a start time may be back under its id at another version.
  return (!this->stream_begun && !this->resumes) ||
         (server.started_at == 0 &&
          server.software_version == this->software_version);
}

void ForwardedCall::OnStreamHead(const std::string& server_id,
                                 const HttpHeaders& headers) {
  if (this->stream_begun) {
    return;
  }
  this->stream_head = headers;
  const FleetServer* const server = this->environment.fleet.Find(server_id);
  this->software_version = server != nullptr && server->started_at == 0
                               ? server->software_version
                               : std::string();
}

void ForwardedCall::OnEvents(std::string_view bytes,
                             std::string_view event_id) {
  if (!this->responder) {
    return;
  }
  if (!std::exchange(this->stream_begun, true)) {
    this->usage.OnFirstEvent(this->environment.clock.WallNow());
    this->responder->Start(
        kOk, EndToEndHeaders(this->stream_head,
                             this->environment.dialect.HeaderNames()));
    if (this->route.resumable && !this->software_version.empty()) {
      this->environment.quarantine.Streams().OnBegun(
          this->stream_id, this->service, this->software_version);
    }
  }
  const auto number = ParseInteger<std::uint64_t>(event_id);
  const auto last = ParseInteger<std::uint64_t>(this->last_event_id);
  if (number && last && *number <= *last) {
    this->AbortStream("the server sent an event again");
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
  if (result.outcome == BackendCallOutcome::kAnswered) {
    this->stream_complete = true;
    this->WriteEvents();
    return;
  }
  if (!this->route.resumable || this->software_version.empty() ||
      this->last_event_id.empty() || !this->MayRunAgain() ||
      !this->TryRepeat()) {
    this->AbortStream(result.reason);
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
