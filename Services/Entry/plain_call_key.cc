// The part of PlainCall that handles idempotency keys: parses the key, claims
// it, and replays the outcome that is in the log.

#include <charconv>
#include <utility>

#include "plain_call.h"
#include "problems.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxKeyLength = 256;

}  // namespace

std::variant<KeyClaimRequest, Problem> PlainCall::ReadKey(
    std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyLength) {
    return BadRequest(
        "the idempotency key has " + std::to_string(key.size()) + " characters",
        "send a key of 1 to " + std::to_string(kMaxKeyLength) + " characters");
  }
  KeyClaimRequest keyed;
  keyed.name = {this->Document().name, std::string(key)};
  keyed.deadline_ms = this->deadline_ms;
  keyed.request_digest = this->digest;
  const auto issued =
      FindHeader(this->request.headers, "Idempotency-Key-Issued");
  if (!issued) {
    return BadRequest("the header Idempotency-Key-Issued is missing",
                      "send when the key was issued, in unix milliseconds");
  }
  const char* const end = issued->data() + issued->size();
  const auto parsed = std::from_chars(issued->data(), end, keyed.issued_ms);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return BadRequest("Idempotency-Key-Issued is not a whole number",
                      "send when the key was issued, in unix milliseconds");
  }
  const WallMilliseconds now = this->environment.clock.WallNow();
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const std::int64_t window =
      this->Document().idempotency.key_window_s * kMillisecondsPerSecond;
  if (keyed.issued_ms + window < now) {
    Problem problem = BadRequest(
        "the key is older than the service's key window",
        "check with the service whether the request ran, then issue a "
        "new key");
    problem.code = "key_expired";
    // The log may no longer hold the outcome of earlier attempts with this key.
    problem.execution = Execution::kMayHaveRun;
    return problem;
  }
  return keyed;
}

void PlainCall::ClaimKey(KeyClaimRequest request) {
  const auto self = this->shared_from_this();
  const IdempotencyKey name = request.name;
  this->environment.keys.Claim(
      std::move(request), [self, name](ClaimResult result) {
        if (const auto* won = std::get_if<ClaimWon>(&result)) {
          if (self->ended) {
            self->environment.keys.Release(name, won->attempt);
            return;
          }
          self->key = name;
          self->attempt_id = won->attempt;
          self->BeginAttempt();
          return;
        }
        if (const auto* stored = std::get_if<StoredOutcome>(&result)) {
          if (!self->ended) {
            self->SendStored(*stored);
          }
          return;
        }
        self->Refuse(std::get<Problem>(result));
      });
}

void PlainCall::SendStored(const StoredOutcome& outcome) {
  if (!outcome.complete) {
    Problem problem = ConflictProblem(
        "key_done",
        "the request ran and returned status " +
            std::to_string(outcome.status) +
            "; its response was too large to be stored",
        "read the result from the service", Execution::kMayHaveRun);
    this->Refuse(problem);
    return;
  }
  HttpResponse response;
  response.status = static_cast<int>(outcome.status);
  response.body = outcome.body;
  if (!outcome.content_type.empty()) {
    SetHeader(response.headers, "Content-Type", outcome.content_type);
  }
  SetHeader(response.headers, "Idempotency-Replayed", "true");
  this->responder->Send(std::move(response));
  this->End(EventKind::kFinish, "replayed");
}

void PlainCall::FinishKeyed() {
  const auto content_type = FindHeader(this->response_headers, "Content-Type");
  StoredOutcome outcome =
      MakeStoredOutcome(static_cast<std::uint32_t>(this->status),
                        content_type.value_or(""), this->buffered);
  const auto self = this->shared_from_this();
  this->environment.keys.Finish(
      *this->key, this->attempt_id, std::move(outcome), [self] {
        if (self->ended) {
          return;
        }
        HttpResponse response;
        response.status = self->status;
        response.headers = self->response_headers;
        response.body = self->buffered;
        self->responder->Send(std::move(response));
        self->End(EventKind::kFinish, std::to_string(self->status));
      });
}

}  // namespace carobbank
