// Keyed non-idempotent requests: the claim in the log that lets at most one
// attempt be sent, and the outcome that a repeat gets.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "LibLedger/ledger.h"
#include "log_stream_follower.h"
#include "log_writer.h"

namespace carobbank {

struct KeyClaimRequest {
  IdempotencyKey name;
  WallMilliseconds issued_ms = 0;
  WallMilliseconds deadline_ms = 0;
  std::string request_digest;
};

// The attempt may be sent, once.
struct ClaimWon {
  std::string attempt;
};

// Won, answered before, or refused.
using ClaimResult = std::variant<ClaimWon, StoredOutcome, Problem>;

struct IdempotencyKeyServiceEnvironment {
  EventLoop& loop;
  const Clock& clock;
  Random& random;
  LogClient& log;
  EventTimeline& timeline;
  MetricRegistry& metrics;
  GroupCommitterOptions committer;
  RetentionOptions retention;
  Milliseconds key_window{0};
  // How long a claim waits for the log.
  Milliseconds claim_timeout{5'000};
};

class IdempotencyKeyService {
 public:
  explicit IdempotencyKeyService(IdempotencyKeyServiceEnvironment environment);

  void Start();

  void Claim(KeyClaimRequest request, std::function<void(ClaimResult)> done);
  // Certain that the attempt did not run and never will.
  void Release(const IdempotencyKey& name, const std::string& attempt);
  // The attempt ran. `done` is called when the outcome is in the log, or when
  // the wait for it is over; the writer goes on trying.
  void Finish(const IdempotencyKey& name,
              const std::string& attempt,
              StoredOutcome outcome,
              std::function<void()> done);

  bool WritesPending() const { return this->writer.BufferedEntries() > 0; }
  Json::Value StatusJson() const;

 private:
  void ResetFold(std::uint64_t first_retained);
  void WhenCaughtUp(std::function<void(bool)> then);
  KeyDecision DecideNow(const KeyClaimRequest& request) const;
  void Decide(const KeyClaimRequest& request,
              const std::function<void(ClaimResult)>& done);
  void AppendClaim(const KeyClaimRequest& request,
                   const std::function<void(ClaimResult)>& done);
  void AfterClaim(const KeyClaimRequest& request,
                  const std::string& attempt,
                  const LogPosition& claimed_at,
                  const std::function<void(ClaimResult)>& done);
  void Record(const IdempotencyKey& name,
              std::string attempt,
              std::string detail);

  IdempotencyKeyServiceEnvironment environment;
  std::unique_ptr<KeyFold> fold;
  LogStreamFollower follower;
  LogWriter writer;
};

}  // namespace carobbank
