// One attempt at a backend server: counts it in this gateway's view of the
// server's load and in the metrics, and reports its end to the quarantine.

#pragma once

#include "backend_request.h"
#include "gateway_environment.h"
#include "request_quarantine.h"

namespace carobbank {

// Counts the attempt as in flight until End(). The destructor ends an attempt
// that is still in flight as cancelled.
class InFlightAttempt {
 public:
  InFlightAttempt(GatewayEnvironment& environment,
                  const FleetServer& server,
                  const BackendRequest& request);
  ~InFlightAttempt() { this->End(AttemptEnd()); }
  InFlightAttempt(const InFlightAttempt&) = delete;
  InFlightAttempt& operator=(const InFlightAttempt&) = delete;

  // Call with the headers of every response.
  void OnHeaders(int status, const HttpHeaders& headers);
  // Only the first call has an effect.
  void End(const AttemptEnd& end);

  const std::string& ServerId() const { return this->attempt.server_id; }
  // When the server had started, as of the start of the attempt.
  WallMilliseconds ServerStart() const { return this->attempt.server_start; }
  const std::string& RequestId() const { return this->attempt.request_id; }
  const std::string& Digest() const { return this->attempt.digest; }
  MonotonicTime Began() const { return this->attempt.began; }
  Milliseconds Elapsed() const;

 private:
  // Logs and counts the attempt if its request has crashed servers before.
  void ReportSuspect(const AttemptEnd& end) const;

  GatewayEnvironment& environment;
  ServerAttempt attempt;
  WallMilliseconds sent_at;
  bool ended = false;
};

}  // namespace carobbank
