// Texts and HTTP statuses of the sidecar's problems. docs/CALLERS.md lists
// them.

#include "Sidecar/problems.h"

#include <utility>

namespace carobbank {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr Milliseconds kConfigurationRetry{300};
constexpr Milliseconds kVersionRetry{250};
constexpr Milliseconds kBackendRetry{500};

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

Problem Failure(std::string code, std::string detail, std::string remedy) {
  Problem problem = Refusal(kBadGateway, std::move(code), std::move(detail),
                            std::move(remedy));
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

Problem WithRetryAfter(Problem problem, Milliseconds retry_after) {
  problem.retry_after = retry_after;
  return problem;
}

}  // namespace

Problem BadRequestProblem(std::string detail) {
  return Refusal(kBadRequest, "bad_request", std::move(detail),
                 "send the headers of docs/PROTOCOL.md");
}

Problem UnauthenticatedProblem(std::string detail) {
  return Refusal(
      kUnauthorized, "unauthenticated", std::move(detail),
      "send a proof made with the peer secret of the settings; check that "
      "the clocks agree");
}

Problem UnknownServiceProblem(std::string_view service) {
  return Refusal(kNotFound, "unknown_service",
                 "no document in force assigns to this pool the service " +
                     std::string(service),
                 "publish the document, or send to the service's own pool");
}

Problem ConfigurationBehindProblem(std::string_view service) {
  return WithRetryAfter(
      Refusal(kServiceUnavailable, "configuration_behind",
              "the document of service " + std::string(service) +
                  " has not arrived at this server yet",
              "send to another server, or wait for Retry-After"),
      kConfigurationRetry);
}

Problem DrainingProblem() {
  return Refusal(kServiceUnavailable, "draining",
                 "this server is draining and accepts no new requests",
                 "send to another server");
}

Problem QueueFullProblem(Milliseconds retry_after) {
  return WithRetryAfter(
      Refusal(kTooManyRequests, "queue_full",
              "the queue of this server is full",
              "wait for Retry-After or send to another server"),
      retry_after);
}

Problem ShedProblem(Milliseconds retry_after) {
  return WithRetryAfter(
      Refusal(kServiceUnavailable, "overloaded",
              "shed from the queue for a request of a higher class",
              "wait for Retry-After or send to another server"),
      retry_after);
}

Problem DeadlineProblem() {
  return Refusal(kGatewayTimeout, "deadline_exceeded",
                 "the deadline passed before the request could start",
                 "set a later deadline");
}

Problem NoVersionProblem(const AllowedVersions& allowed) {
  return WithRetryAfter(
      Refusal(kServiceUnavailable, "no_version",
              "the engine reports no weight version in " + allowed.Text(),
              "send to another server, or wait for Retry-After"),
      kVersionRetry);
}

Problem QuarantinedProblem() {
  return Refusal(kUnprocessable, "quarantined",
                 "this request crashed two backend servers",
                 "do not send it again; report its prompt to the operators");
}

Problem NotIdleProblem(Milliseconds retry_after) {
  return WithRetryAfter(
      Refusal(kServiceUnavailable, "not_idle",
              "the request requires an idle server, or a free slot if it is a "
              "duplicate",
              "send to an idle server, or wait for Retry-After"),
      retry_after);
}

Problem BackendUnreachableProblem(std::string detail) {
  return WithRetryAfter(
      Refusal(kServiceUnavailable, "backend_failed",
              "cannot connect to the backend server: " + std::move(detail),
              "send to another server"),
      kBackendRetry);
}

Problem PreemptedProblem(Milliseconds retry_after) {
  return WithRetryAfter(Failure("preempted", "preempted by a live request",
                                "resume after the tokens that have arrived"),
                        retry_after);
}

Problem VersionOutOfBoundProblem(std::uint64_t version,
                                 const AllowedVersions& allowed) {
  return Failure("version_out_of_bound",
                 "the engine continued with weight version " +
                     std::to_string(version) + ", outside " + allowed.Text(),
                 "run the sample again");
}

Problem CrossedAnswerProblem(std::string_view attempt_id) {
  return Failure("crossed_answer",
                 "the response belongs to another attempt, " +
                     std::string(attempt_id.substr(0, 64)),
                 "repeat the request if it is idempotent");
}

Problem BackendFailedProblem(std::string detail) {
  return Failure("backend_failed", std::move(detail),
                 "repeat the request if it is idempotent");
}

Problem BackendCrashedProblem() {
  return Failure("backend_crashed",
                 "the backend server crashed while it ran this request",
                 "repeat the request if it is idempotent");
}

Problem DrainDeadlineProblem() {
  return Failure("draining",
                 "the drain deadline passed before the request ended",
                 "resume at another server after the tokens that have arrived");
}

}  // namespace carobbank
