// One attempt at a backend server: counts it in this gateway's view of the
// server's load, and in the metrics by outcome.

#pragma once

#include <string>

#include "gateway_environment.h"

namespace carobbank {

// Counts the attempt as in flight until End(). The destructor ends an attempt
// that is still in flight as cancelled.
class InFlightAttempt {
 public:
  InFlightAttempt(GatewayEnvironment& environment,
                  const FleetServer& server,
                  std::string digest);
  ~InFlightAttempt() { this->End(SendOutcome::kCancelled, true); }
  InFlightAttempt(const InFlightAttempt&) = delete;
  InFlightAttempt& operator=(const InFlightAttempt&) = delete;

  // Only the first call has an effect. `may_have_run`: false when the request
  // certainly did not run.
  void End(SendOutcome outcome, bool may_have_run);

  const std::string& ServerId() const { return this->server_id; }
  // When the server had started, as of the start of the attempt.
  WallMilliseconds ServerStart() const { return this->server_start; }
  const std::string& Digest() const { return this->digest; }
  MonotonicTime Began() const { return this->began; }
  Milliseconds Elapsed() const;

 private:
  GatewayEnvironment& environment;
  std::string server_id;
  std::string service;
  WallMilliseconds server_start;
  std::string digest;
  MonotonicTime began;
  bool ended = false;
};

}  // namespace carobbank
