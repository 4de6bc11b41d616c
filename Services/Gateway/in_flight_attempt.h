// Counts one attempt at a backend server in this gateway's view of the server's
// load.

#pragma once

#include <string>

#include "gateway_environment.h"

namespace carobbank {

// Counts the attempt as in flight until End(). The destructor ends an attempt
// that is still in flight as cancelled.
class InFlightAttempt {
 public:
  InFlightAttempt(GatewayEnvironment& environment, std::string server_id)
      : environment(environment),
        server_id(std::move(server_id)),
        began(environment.clock.Now()) {
    environment.loads.Begin(this->server_id);
  }
  ~InFlightAttempt() { this->End(SendOutcome::kCancelled); }
  InFlightAttempt(const InFlightAttempt&) = delete;
  InFlightAttempt& operator=(const InFlightAttempt&) = delete;

  // Only the first call has an effect.
  void End(SendOutcome outcome) {
    if (this->ended) {
      return;
    }
    this->ended = true;
    const MonotonicTime now = this->environment.clock.Now();
    this->environment.loads.End(
        this->server_id, outcome,
        std::chrono::duration_cast<Milliseconds>(now - this->began), now);
  }

  const std::string& ServerId() const { return this->server_id; }
  MonotonicTime Began() const { return this->began; }

 private:
  GatewayEnvironment& environment;
  std::string server_id;
  MonotonicTime began;
  bool ended = false;
};

}  // namespace carobbank
