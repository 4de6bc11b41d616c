// Writes claims, releases and outcomes to the stream `keys` and decides on
// claims by its fold.

#include "idempotency_key_service.h"

#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

// How long a response waits for its outcome to reach the log.
constexpr Milliseconds kOutcomeTimeout{2'000};

Problem ProblemOf(const KeyDecision& decision) {
  switch (decision.action) {
    case KeyAction::kInProgress: {
      Problem problem = ConflictProblem(
          "key_in_progress", "a request with this key is in progress",
          "send the request again with the same key after the time in "
          "Retry-After",
          Execution::kMayHaveRun);
      problem.retry_after = decision.retry_after;
      return problem;
    }
    case KeyAction::kUnresolved:
      return ConflictProblem(
          "key_unresolved",
          "a request with this key was started and its outcome is unknown",
          "check with the service whether it ran; it is never sent again",
          Execution::kMayHaveRun);
    case KeyAction::kExpiredNotRun:
      return BadRequest("the key was issued outside the key window",
                        "issue a new key and send its issue time in "
                        "Idempotency-Key-Issued");
    case KeyAction::kExpiredUnknown:
      return ConflictProblem(
          "key_expired", "the key is older than the retained outcomes",
          "check with the service whether it ran; it is never sent again",
          Execution::kMayHaveRun);
    case KeyAction::kMismatch:
      return ConflictProblem("key_reused", "the key belongs to another request",
                             "use a new key for another request",
                             Execution::kNotRun);
    case KeyAction::kExhausted:
      return ConflictProblem("key_exhausted",
                             "too many attempts under this key were not run",
                             "use a new key", Execution::kNotRun);
    case KeyAction::kClaim:
    case KeyAction::kDone:
      break;
  }
  return InternalProblem("a key decision without a refusal");
}

}  // namespace

IdempotencyKeyService::IdempotencyKeyService(
    IdempotencyKeyServiceEnvironment environment)
    : environment(environment),
      follower(
          environment.loop,
          environment.log,
          std::string(kKeyStream),
          {[this](const LogRecord& record) {
             this->fold->Apply({record.offset, record.time_ms, record.payload});
           },
           [this](std::uint64_t, std::uint64_t first_retained) {
             this->ResetFold(first_retained);
           },
           nullptr}),
      writer({environment.loop, environment.clock, environment.random,
              environment.log, environment.metrics},
             std::string(kKeyStream),
             environment.committer) {
  this->ResetFold(0);
}

void IdempotencyKeyService::ResetFold(std::uint64_t first_retained) {
  KeyFoldOptions options;
  options.window = this->environment.key_window;
  options.key_retention = LongestKeyWindow(this->environment.retention);
  options.covered_since_ms =
      CoveredSince(this->environment.retention, first_retained,
                   this->environment.clock.WallNow());
  this->fold = std::make_unique<KeyFold>(options, first_retained);
}

void IdempotencyKeyService::Start() {
  this->follower.Start(0);
}

void IdempotencyKeyService::WhenCaughtUp(std::function<void(bool)> then) {
  if (this->follower.CaughtUp() && this->follower.Reachable()) {
    then(true);
    return;
  }
  this->follower.WhenCurrent(this->environment.claim_timeout, std::move(then));
}

void IdempotencyKeyService::Claim(KeyClaimRequest request,
                                  std::function<void(ClaimResult)> done) {
  this->WhenCaughtUp([this, request = std::move(request),
                      done = std::move(done)](bool caught_up) {
    const bool usable = caught_up && this->writer.Reachable();
    const bool claimable = this->DecideNow(request).action == KeyAction::kClaim;
    // Claims and outcomes in the fold stay valid while the log is unreachable.
    if (!usable && claimable) {
      done(LogUnavailable(Execution::kNotRun));
      return;
    }
    this->Decide(request, done);
  });
}

KeyDecision IdempotencyKeyService::DecideNow(
    const KeyClaimRequest& request) const {
  return this->fold->Decide(request.name, request.issued_ms,
                            request.request_digest,
                            this->environment.clock.WallNow());
}

void IdempotencyKeyService::Decide(
    const KeyClaimRequest& request,
    const std::function<void(ClaimResult)>& done) {
  const KeyDecision decision = this->DecideNow(request);
  if (decision.action == KeyAction::kDone) {
    done(decision.outcome);
    return;
  }
  if (decision.action != KeyAction::kClaim) {
    done(ProblemOf(decision));
    return;
  }
  this->AppendClaim(request, done);
}

void IdempotencyKeyService::AppendClaim(
    const KeyClaimRequest& request,
    const std::function<void(ClaimResult)>& done) {
  ClaimEntry claim;
  claim.name = request.name;
  claim.attempt = this->environment.random.Identifier();
  claim.issued_ms = request.issued_ms;
  claim.deadline_ms = request.deadline_ms;
  claim.request_digest = request.request_digest;
  // The append's completion or the timeout decides, whichever comes first; a
  // claim that is appended after the timeout is released unused.
  auto decided = std::make_shared<bool>(false);
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  const auto on_position = [this, request, attempt = claim.attempt, done,
                            decided, timer](LogPosition position) {
    if (std::exchange(*decided, true)) {
      this->Release(request.name, attempt);
      return;
    }
    timer->reset();
    this->follower.WhenReached(
        position.offset, this->environment.claim_timeout,
        [this, request, attempt, position, done](bool reached) {
          if (!reached) {
            this->Release(request.name, attempt);
            done(LogUnavailable(Execution::kNotRun));
            return;
          }
          this->AfterClaim(request, attempt, position, done);
        });
  };
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->writer.Append(EncodeKeyEntry(claim), on_position);
  });
  if (!added.Ok()) {
    done(OverloadedProblem(added.GetError()));
    return;
  }
  *timer = this->environment.loop.CallAfter(
      this->environment.claim_timeout, [decided, done] {
        if (!std::exchange(*decided, true)) {
          // This attempt was not sent and never will be.
          done(LogUnavailable(Execution::kNotRun));
        }
      });
}

void IdempotencyKeyService::AfterClaim(
    const KeyClaimRequest& request,
    const std::string& attempt,
    const LogPosition& claimed_at,
    const std::function<void(ClaimResult)>& done) {
  if (this->fold->StatusOf(request.name, attempt, claimed_at) ==
      ClaimStatus::kWon) {
    this->Record(request.name, attempt, "won");
    done(ClaimWon{attempt});
    return;
  }
  this->Record(request.name, attempt, "lost");
  const KeyDecision decision = this->DecideNow(request);
  if (decision.action == KeyAction::kDone) {
    done(decision.outcome);
    return;
  }
  if (decision.action == KeyAction::kClaim) {
    // The winning attempt has released its claim meanwhile; the caller's retry
    // makes a new claim.
    Problem problem = ConflictProblem(
        "key_in_progress", "another attempt under this key was not run",
        "send the request again with the same key", Execution::kNotRun);
    problem.retry_after = Milliseconds(50);
    done(problem);
    return;
  }
  done(ProblemOf(decision));
}

void IdempotencyKeyService::Release(const IdempotencyKey& name,
                                    const std::string& attempt) {
  this->Record(name, attempt, "released");
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->writer.Append(EncodeKeyEntry(ReleaseEntry{name, attempt}),
                               [](LogPosition) {});
  });
  if (!added.Ok()) {
    // A key that is not released stays unresolved, which is safe: the request
    // is never sent again.
    this->Record(name, attempt, "release not written");
  }
}

void IdempotencyKeyService::Finish(const IdempotencyKey& name,
                                   const std::string& attempt,
                                   StoredOutcome outcome,
                                   std::function<void()> done) {
  this->Record(name, attempt, "done");
  auto called = std::make_shared<bool>(false);
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  const auto call_once = [called, timer, done = std::move(done)] {
    if (!std::exchange(*called, true)) {
      done();
    }
  };
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->writer.Append(
        EncodeKeyEntry(DoneEntry{name, attempt, std::move(outcome)}),
        [call_once, timer](LogPosition) {
          timer->reset();
          call_once();
        });
  });
  if (!added.Ok()) {
    call_once();
    return;
  }
  if (!*called) {
    *timer = this->environment.loop.CallAfter(kOutcomeTimeout, call_once);
  }
}

void IdempotencyKeyService::Record(const IdempotencyKey& name,
                                   std::string attempt,
                                   std::string detail) {
  Event event;
  event.kind = EventKind::kClaim;
  event.service = name.service;
  event.attempt = std::move(attempt);
  event.detail = std::move(detail);
  this->environment.timeline.Record(std::move(event));
}

Json::Value IdempotencyKeyService::StatusJson() const {
  Json::Value status;
  status["known"] = Json::UInt64(this->fold->Size());
  status["open"] = Json::arrayValue;
  for (const OpenClaim& claim : this->fold->OpenClaims()) {
    Json::Value row;
    row["service"] = claim.name.service;
    row["key_digest"] = Sha256Hex(claim.name.key).substr(0, 16);
    row["attempt"] = claim.attempt;
    status["open"].append(std::move(row));
  }
  return status;
}

}  // namespace carobbank
