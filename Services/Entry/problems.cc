// Defines status, code, remedy and execution of each refusal.

#include "problems.h"

#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kRetryAfterLogFailure{1'000};
constexpr Milliseconds kRetryAfterOverload{500};
constexpr Milliseconds kRetryAfterDraining{100};

Problem Refusal(int status,
                std::string code,
                std::string detail,
                std::string remedy) {
  Problem problem;
  problem.status = status;
  problem.code = std::move(code);
  problem.detail = std::move(detail);
  problem.remedy = std::move(remedy);
  problem.execution = Execution::kNotRun;
  return problem;
}

}  // namespace

Problem BadRequest(std::string detail, std::string remedy) {
  return Refusal(400, "bad_request", std::move(detail), std::move(remedy));
}

Problem Unauthenticated() {
  return Refusal(
      401, "unauthenticated",
      "the Authorization header has no token that this service accepts",
      "send 'Authorization: Bearer <token>' with a token whose "
      "SHA-256 the service's document lists");
}

Problem UnknownService(std::string_view service) {
  return Refusal(404, "unknown_service",
                 "no service '" + std::string(service) + "' is in force here",
                 "check the name, or publish the service's document");
}

Problem StartingProblem() {
  Problem problem = Refusal(503, "starting", "this instance is starting",
                            "send the request again; another entry handles it");
  problem.retry_after = kRetryAfterDraining;
  return problem;
}

Problem UnknownPath(std::string_view path) {
  return Refusal(404, "unknown_path", "no endpoint at " + std::string(path),
                 "see docs/CALLERS.md for the endpoints");
}

Problem BodyTooLarge(std::uint64_t limit_bytes) {
  return Refusal(
      413, "body_too_large",
      "the body is larger than " + std::to_string(limit_bytes) + " bytes",
      "send less, or have limits.body_bytes raised in the "
      "service's document");
}

Problem RequestIdReused() {
  return Refusal(409, "request_id_reused",
                 "this request_id belongs to another step",
                 "use a new request_id for another step");
}

Problem LogUnavailable(Execution execution) {
  Problem problem =
      Refusal(503, "log_unavailable", "the log is unreachable",
              execution == Execution::kNotRun
                  ? "send the request again after the time in Retry-After"
                  : "send the same request again with the same id or key");
  problem.execution = execution;
  problem.retry_after = kRetryAfterLogFailure;
  return problem;
}

Problem OverloadedProblem(const Error& error) {
  Problem problem = Refusal(503, "overloaded", error.message, error.remedy);
  problem.retry_after = kRetryAfterOverload;
  return problem;
}

Problem RateLimited(Milliseconds retry_after) {
  Problem problem = Refusal(
      429, "rate_limited",
      "a limit of the service (concurrency, streams per caller or request "
      "rate) is reached",
      "send the request again after the time in Retry-After");
  problem.retry_after = retry_after;
  return problem;
}

Problem DrainingProblem() {
  Problem problem = Refusal(503, "draining", "this instance is shutting down",
                            "send the request again; another entry handles it");
  problem.retry_after = kRetryAfterDraining;
  return problem;
}

Problem QuarantinedProblem(Execution execution) {
  Problem problem =
      Refusal(422, "quarantined", "this request crashed two backend servers",
              "do not send it again; report it to the operators");
  problem.execution = execution;
  return problem;
}

Problem CursorProblem(const Error& error) {
  if (error.kind == ErrorKind::kInvalidArgument) {
    return Refusal(400, "cursor_invalid", error.message, error.remedy);
  }
  return Refusal(410, "cursor_expired", error.message,
                 "submit the step again under a new request_id");
}

Problem InternalProblem(std::string detail) {
  Problem problem =
      Refusal(500, "internal", std::move(detail), "report this as a defect");
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

Problem ConflictProblem(std::string code,
                        std::string detail,
                        std::string remedy,
                        Execution execution) {
  constexpr int kConflict = 409;
  constexpr int kUnprocessable = 422;
  const int status = code == "key_reused" ? kUnprocessable : kConflict;
  Problem problem =
      Refusal(status, std::move(code), std::move(detail), std::move(remedy));
  problem.execution = execution;
  return problem;
}

}  // namespace carobbank
