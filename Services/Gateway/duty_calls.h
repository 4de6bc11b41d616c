// Sends the calls of the lease holder's duties to the platform's API: only
// while the lease is certainly this instance's, with its fencing token, within
// the API's rate, and one call at a time per subject.

#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "gateway_environment.h"
#include "log_lease.h"

namespace carobbank {

enum class DutyCallOutcome {
  kAccepted,
  // The receiver has seen a higher fencing token.
  kFenced,
  // More calls than the receiver accepts.
  kThrottled,
  // Any other response.
  kRejected,
  // No response: the call may still be carried out.
  kFailed,
};

class DutyCalls {
 public:
  DutyCalls(GatewayEnvironment& environment, LogLease& lease);
  ~DutyCalls();
  DutyCalls(const DutyCalls&) = delete;
  DutyCalls& operator=(const DutyCalls&) = delete;

  using Encode = std::function<HttpClientRequest(const DutyCaller&)>;
  using Callback = std::function<void(DutyCallOutcome)>;
  // Sends the call that `encode` returns for this caller, and calls `done` from
  // the event loop. Returns false, without a call, when none may be sent now;
  // try again a little later. `subject` is unique within `duty`.
  bool Send(std::string_view duty,
            std::string_view subject,
            const Encode& encode,
            Callback done);

 private:
  // How long a call that begins now may take; zero when none may be sent.
  Milliseconds TimeForCall() const;
  bool TakeFromRate();
  void OnResponse(std::string_view duty,
                  std::uint64_t token,
                  DutyCallOutcome outcome);

  GatewayEnvironment& environment;
  LogLease& lease;
  // "<duty>/<subject>" of the calls in flight.
  std::set<std::string, std::less<>> in_flight;
  // Calls that may be sent at once.
  double allowance = 1;
  MonotonicTime allowance_at = MonotonicTime::min();
  // No call is sent with this token or a lower one.
  std::uint64_t fenced_token = 0;
  bool failing = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
