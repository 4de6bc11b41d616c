// Trials of quarantined requests, claimed in the log: of all gateways, one runs
// a request's trial, after all have the outcome of the trial before.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "gateway_environment.h"
#include "request_record_log.h"

namespace carobbank {

class TrialClaims {
 public:
  // `is_due`: the digest's next trial may be claimed.
  TrialClaims(GatewayEnvironment& environment,
              RequestRecordLog& log,
              std::function<bool(std::string_view digest)> is_due)
      : environment(environment), log(log), is_due(std::move(is_due)) {}

  const QuarantineTrials& Trials() const { return this->trials; }
  // A record of a trial was read.
  void OnRecord(QuarantineTrial trial);
  void OnRemoved(const QuarantineTrial& trial) {
    this->trials.Remove(trial.digest, trial.number);
  }
  void Reset() { this->trials = QuarantineTrials(); }

  // Claims the digest's next trial for this gateway. `done` receives its
  // number, or zero when another gateway was first or the log does not accept
  // the claim; called once, from the event loop.
  using Callback = std::function<void(std::int64_t number)>;
  void Claim(const std::string& digest, Callback done);
  // Nothing was sent for the trial.
  void Cancel(const std::string& digest, std::int64_t number);
  void End(const std::string& digest, std::int64_t number, bool completed);
  // The digest's trials no longer count, for any gateway.
  void RemoveAll(const std::string& digest);

 private:
  struct PendingClaim {
    Callback done;
    int attempts = 0;
    std::unique_ptr<Timer> retry;
  };

  void TryClaim(const std::string& digest);
  void OnClaimed(const QuarantineTrial& trial, AppendStatus status);
  void EndClaim(const std::string& digest, std::int64_t number);

  GatewayEnvironment& environment;
  RequestRecordLog& log;
  std::function<bool(std::string_view)> is_due;
  QuarantineTrials trials;
  // By digest.
  std::map<std::string, PendingClaim, std::less<>> claims;
};

}  // namespace carobbank
