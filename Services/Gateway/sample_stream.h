// One attempt to generate a sample at one backend server: reads the stream of
// events until the output is complete or the stream breaks.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend_call.h"

namespace carobbank {

enum class SampleStreamOutcome {
  // The output is complete.
  kComplete,
  // The response was truncated, unresponsive or invalid. The events received
  // before remain valid.
  kBroken,
  // The server confirms that it did not run the sample, or was not reached.
  kNotRun,
  // The attempt failed at the server (500).
  kFailed,
  // The sample can never be completed (422).
  kUnprocessable,
  // Another client error, which does not ask for a repeat.
  kRejected,
};

enum class EventVerdict {
  kAccepted,
  // The event is of no use to the job; the server is not to blame.
  kRejected,
  // The output is longer than the sample allows.
  kOverrun,
  // The output has the event already.
  kRepeated,
};

struct SampleStreamHandlers {
  // Receives an event's data, its id and the weight version that generated it.
  // Any verdict but kAccepted ends the stream as broken.
  std::function<EventVerdict(std::string_view data,
                             std::string_view event_id,
                             std::int64_t version)>
      on_event;
  // Called once, not before Start() has returned. May destroy the stream.
  std::function<void(SampleStreamOutcome outcome, std::string_view reason)>
      on_end;
};

class SampleStream {
 public:
  // `last_event_id`: the stream resumes after that event; empty for a stream
  // from the first event.
  static std::unique_ptr<SampleStream> Start(GatewayEnvironment& environment,
                                             const FleetServer& server,
                                             const BackendRequest& request,
                                             std::string_view last_event_id,
                                             SampleStreamHandlers handlers);
  ~SampleStream() = default;
  SampleStream(const SampleStream&) = delete;
  SampleStream& operator=(const SampleStream&) = delete;

  const std::string& ServerId() const { return this->attempt.ServerId(); }
  const std::string& RequestId() const { return this->attempt.RequestId(); }
  // The attempt's digest, and when its server had started.
  const std::string& Digest() const { return this->attempt.Digest(); }
  WallMilliseconds ServerStart() const { return this->attempt.ServerStart(); }
  // When the server last sent its response's head or an event; initially the
  // start of the attempt.
  MonotonicTime LastActivity() const { return this->last_activity; }
  bool HasBegun() const { return this->events > 0; }
  // Replaces the handlers for the rest of the attempt.
  void SetHandlers(SampleStreamHandlers new_handlers) {
    this->handlers = std::move(new_handlers);
  }
  // Ends the attempt as broken; no effect if it has ended. `send_outcome`
  // states whether the server has failed.
  void Abort(SendOutcome send_outcome, std::string_view reason);

 private:
  SampleStream(GatewayEnvironment& environment,
               const FleetServer& server,
               const BackendRequest& request,
               SampleStreamHandlers handlers);
  HttpClientHandlers ClientHandlers();
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  void RecordEventGap();
  // False if the stream has ended.
  bool DeliverEvent(const ServerSentEvent& event);
  void OnDone();
  void OnFailure(const HttpClientFailure& failure);
  void End(SampleStreamOutcome outcome,
           SendOutcome send_outcome,
           std::string_view reason);
  void EndByStatus();

  GatewayEnvironment& environment;
  InFlightAttempt attempt;
  SampleStreamHandlers handlers;
  ServerSentEventReader reader;
  MonotonicTime last_activity;
  // Arrival times of the last few events.
  std::deque<MonotonicTime> event_times;
  int status = 0;
  bool not_run = false;
  // Of the body of a response without events.
  std::size_t failure_bytes = 0;
  // Since the last event.
  std::size_t bytes_without_event = 0;
  // Events received in this attempt.
  std::size_t events = 0;
  // Weight version of the next event, unless that event states another.
  std::int64_t version = 0;
  std::unique_ptr<HttpExchange> exchange;
};

}  // namespace carobbank
