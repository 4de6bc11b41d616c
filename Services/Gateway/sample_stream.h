// One run of a sample at one backend server: the stream of its text, event by
// event, until it is whole or breaks.

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
  // The text is whole.
  kComplete,
  // Cut, silent or spoiled; what came before stands.
  kBroken,
  // The server vouches that it did not run.
  kNotRun,
  // The run failed at the server (500).
  kFailed,
  // The sample can never be done (422).
  kUnprocessable,
};

struct SampleStreamHandlers {
  // An event's data, its id and the version that generated it. False ends the
  // run as broken.
  std::function<bool(std::string_view data,
                     std::string_view event_id,
                     std::int64_t version)>
      on_event;
  // Once, not before Start() returned. May destroy the stream.
  std::function<void(SampleStreamOutcome end, std::string_view reason)> on_end;
};

class SampleStream {
 public:
  // `last_event_id`: the stream goes on after that event; empty from the start.
  static std::unique_ptr<SampleStream> Start(GatewayEnvironment& environment,
                                             const FleetServer& server,
                                             const BackendRequest& request,
                                             std::string_view last_event_id,
                                             SampleStreamHandlers handlers);
  ~SampleStream() = default;
  SampleStream(const SampleStream&) = delete;
  SampleStream& operator=(const SampleStream&) = delete;

  const std::string& ServerId() const { return this->account.ServerId(); }
  // When the server last sent something, or the run began.
  MonotonicTime LastActivity() const { return this->last_news; }
  bool HasBegun() const { return this->begun; }
  // Ends the run as broken. `outcome` says whether the server is to blame.
  void Abort(SendOutcome outcome, std::string_view reason);

 private:
  SampleStream(GatewayEnvironment& environment,
               std::string server_id,
               std::string request_id,
               SampleStreamHandlers handlers);
  HttpClientHandlers ClientHandlers();
  void TakeHeaders(int status, const HttpHeaders& headers);
  void TakeBody(std::string_view bytes);
  void NotePace();
  bool TakeEvent(const ServerSentEvent& event);
  void Done();
  void Failed(const HttpClientFailure& failure);
  void End(SampleStreamOutcome end,
           SendOutcome outcome,
           std::string_view reason);
  void EndByStatus();

  GatewayEnvironment& environment;
  InFlightAttempt account;
  std::string request_id;
  SampleStreamHandlers handlers;
  ServerSentEventReader reader;
  MonotonicTime last_news;
  // Arrival of the last few events.
  std::deque<MonotonicTime> event_times;
  int status = 0;
  bool not_run = false;
  bool begun = false;
  // Version of the event that comes next.
  std::int64_t version = 0;
  std::unique_ptr<HttpExchange> exchange;
};

}  // namespace carobbank
