// Conditional appends of claims, and the outcomes of trials.

#include "trial_claims.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// A claim that finds the log longer than expected is repeated after this
// gateway has read the new records.
constexpr Milliseconds kRetryDelay{20};
constexpr int kMaxAttempts = 5;

}  // namespace

void TrialClaims::OnRecord(QuarantineTrial trial) {
  // The claimant's clock may be ahead; refusals must not be longer for it.
  trial.at = std::min(trial.at, this->environment.clock.WallNow());
  this->trials.Put(trial);
}

void TrialClaims::Claim(const std::string& digest, Callback done) {
  const auto [claim, added] = this->claims.try_emplace(digest);
  if (!added) {
    this->environment.loop.Post([done = std::move(done)] { done(0); });
    return;
  }
  claim->second.done = std::move(done);
  this->TryClaim(digest);
}

void TrialClaims::TryClaim(const std::string& digest) {
  ++this->claims.at(digest).attempts;
  QuarantineTrial trial;
  trial.digest = digest;
  trial.number = this->trials.NextNumber(digest);
  trial.instance = this->environment.settings.instance;
  trial.at = this->environment.clock.WallNow();
  this->log.Claim(trial, [this, trial](AppendStatus status) {
    this->OnClaimed(trial, status);
  });
}

void TrialClaims::OnClaimed(const QuarantineTrial& trial, AppendStatus status) {
  PendingClaim& claim = this->claims.at(trial.digest);
  if (status == AppendStatus::kConflict && claim.attempts < kMaxAttempts) {
    claim.retry = this->environment.loop.CallAfter(
        kRetryDelay, [this, digest = trial.digest] {
          if (this->is_due(digest)) {
            this->TryClaim(digest);
          } else {
            this->EndClaim(digest, 0);
          }
        });
    return;
  }
  const bool claimed = status == AppendStatus::kAppended;
  if (claimed) {
    this->trials.Put(trial);
  }
  WriteLog(LogLevel::kInfo,
           claimed ? "trial of a quarantined request claimed"
                   : "trial of a quarantined request not claimed: the log did "
                     "not accept it; the request stays refused",
           {{"digest", trial.digest}, {"trial", std::to_string(trial.number)}});
  this->EndClaim(trial.digest, claimed ? trial.number : 0);
}

void TrialClaims::EndClaim(const std::string& digest, std::int64_t number) {
  const auto claim = this->claims.extract(digest);
  claim.mapped().done(number);
}

void TrialClaims::Cancel(const std::string& digest, std::int64_t number) {
  QuarantineTrial trial;
  trial.digest = digest;
  trial.number = number;
  this->trials.Remove(digest, number);
  this->log.Remove(trial);
}

void TrialClaims::End(const std::string& digest,
                      std::int64_t number,
                      bool completed) {
  for (QuarantineTrial& trial : this->trials.Of(digest)) {
    if (trial.number == number) {
      trial.outcome =
          completed ? TrialOutcome::kCompleted : TrialOutcome::kFailed;
      this->trials.Put(trial);
      this->log.Record(trial);
    }
  }
}

void TrialClaims::RemoveAll(const std::string& digest) {
  for (const QuarantineTrial& trial : this->trials.Of(digest)) {
    this->log.Remove(trial);
  }
  this->trials.RemoveAll(digest);
}

}  // namespace carobbank
