// Idempotency keys of non-idempotent requests: a claim in the log allows at
// most one attempt to be sent, and repeated requests receive the stored
// outcome.

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

// The attempt may be sent once.
struct ClaimWon {
  std::string attempt;
};

// The claim is won, the outcome of an earlier attempt is stored, or the request
// is refused.
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
  // How long a claim may wait for the log before the request is refused.
  Milliseconds claim_timeout{5'000};
};

class IdempotencyKeyService {
 public:
  explicit IdempotencyKeyService(IdempotencyKeyServiceEnvironment environment);

  void Start();

  void Claim(KeyClaimRequest request, std::function<void(ClaimResult)> done);
  // Releases the claim. Only for an attempt that did not run and never will.
  void Release(const IdempotencyKey& name, const std::string& attempt);
  // Stores the outcome of an attempt that ran. Calls `done` when the outcome is
  // in the log or after a timeout; the writer continues to retry the append.
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
