// Waits for the ends of released attempts and records their failures.

#include "released_attempts.h"

#include <utility>

#include "LibProcess/process.h"
#include "request_quarantine.h"

namespace carobbank {

namespace {

constexpr int kInternalServerError = 500;

}  // namespace

std::optional<SampleFailureKind> FailureOf(SampleStreamOutcome outcome) {
  switch (outcome) {
    case SampleStreamOutcome::kUnprocessable:
      return SampleFailureKind::kUnprocessable;
    case SampleStreamOutcome::kFailed:
      return SampleFailureKind::kServerError;
    case SampleStreamOutcome::kComplete:
    case SampleStreamOutcome::kBroken:
    case SampleStreamOutcome::kNotRun:
    case SampleStreamOutcome::kRejected:
      break;
  }
  return std::nullopt;
}

std::optional<SampleFailureKind> FailureOf(const BackendCallResult& result) {
  if (result.outcome != BackendCallOutcome::kAnswered) {
    return std::nullopt;
  }
  if (result.response.status == kInternalServerError) {
    return SampleFailureKind::kRewardServerError;
  }
  if (IsRejection(result.response.status)) {
    return SampleFailureKind::kRewardRejected;
  }
  return std::nullopt;
}

ReleasedAttempts::~ReleasedAttempts() {
  *this->alive = false;
}

void ReleasedAttempts::Add(const SampleKey& sample,
                           std::unique_ptr<SampleStream> stream) {
  if (stream->HasBegun()) {
    return;
  }
  const auto attempt = this->attempts.emplace(this->attempts.end());
  attempt->stream = std::move(stream);
  SampleStreamHandlers handlers;
  handlers.on_event = [](std::string_view, std::string_view, std::int64_t) {
    return EventVerdict::kRejected;
  };
  handlers.on_end = [this, attempt, sample](SampleStreamOutcome outcome,
                                            std::string_view reason) {
    this->OnEnd(attempt, sample, FailureOf(outcome), reason);
  };
  attempt->stream->SetHandlers(std::move(handlers));
}

void ReleasedAttempts::Add(const SampleKey& sample,
                           std::unique_ptr<BackendCall> reward) {
  const auto attempt = this->attempts.emplace(this->attempts.end());
  attempt->reward = std::move(reward);
  attempt->reward->SetCallback(
      [this, attempt, sample](const BackendCallResult& result) {
        this->OnEnd(attempt, sample, FailureOf(result),
                    result.outcome == BackendCallOutcome::kAnswered
                        ? "the server responded with status " +
                              std::to_string(result.response.status)
                        : result.reason);
      });
}

void ReleasedAttempts::AbortUnresponsive(Milliseconds limit) {
  const MonotonicTime now = this->environment.clock.Now();
  for (const Attempt& attempt : this->attempts) {
    if (attempt.stream && now - attempt.stream->LastActivity() > limit) {
      attempt.stream->Abort(SendOutcome::kFailed,
                            "the server sent no data within the timeout");
    }
  }
}

void ReleasedAttempts::OnEnd(AttemptList::iterator attempt,
                             const SampleKey& sample,
                             std::optional<SampleFailureKind> failure,
                             std::string_view reason) {
  const std::string& request_id = attempt->stream
                                      ? attempt->stream->RequestId()
                                      : attempt->reward->RequestId();
  const std::string& server_id = attempt->stream ? attempt->stream->ServerId()
                                                 : attempt->reward->ServerId();
  WriteLog(LogLevel::kInfo, "attempt ended after its sample had left",
           {{"request", request_id},
            {"server", server_id},
            {"failed", failure ? "true" : "false"},
            {"reason", std::string(reason)}});
  if (failure) {
    this->environment.quarantine.RecordFailure(sample, *failure);
  }
  this->environment.loop.Post([this, kept = this->alive, attempt] {
    if (*kept) {
      this->attempts.erase(attempt);
    }
  });
}

}  // namespace carobbank
