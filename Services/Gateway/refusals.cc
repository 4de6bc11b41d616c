// Problem documents, with a Retry-After finer than whole seconds.

#include "refusals.h"

#include <array>
#include <cstdio>
#include <string>

namespace carobbank {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr Milliseconds kOtherInstanceRetryAfter{50};

std::string FractionalSeconds(Milliseconds delay) {
  constexpr double kMillisecondsPerSecond = 1'000;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(delay.count()) / kMillisecondsPerSecond);
  return text.data();
}

}  // namespace

HttpResponse NotRunResponse(std::string_view code,
                            std::string_view detail,
                            Milliseconds retry_after) {
  Problem problem;
  problem.status = kServiceUnavailable;
  problem.code = code;
  problem.detail = detail;
  problem.remedy = "send the request again after Retry-After";
  problem.execution = Execution::kNotRun;
  problem.retry_after = retry_after;
  HttpResponse response = problem.ToResponse();
  SetHeader(response.headers, "Retry-After", FractionalSeconds(retry_after));
  return response;
}

HttpResponse ShutdownRefusal() {
  return NotRunResponse("draining",
                        "the instance shuts down; others can run the request",
                        kOtherInstanceRetryAfter);
}

HttpResponse MayHaveRunResponse(int status,
                                std::string_view code,
                                std::string_view detail) {
  Problem problem;
  problem.status = status;
  problem.code = code;
  problem.detail = detail;
  problem.remedy = "repeat the request only if it is idempotent";
  problem.execution = Execution::kMayHaveRun;
  return problem.ToResponse();
}

HttpResponse ClientErrorResponse(int status,
                                 std::string_view code,
                                 std::string_view detail,
                                 std::string_view remedy) {
  Problem problem;
  problem.status = status;
  problem.code = code;
  problem.detail = detail;
  problem.remedy = remedy;
  problem.execution = Execution::kNotRun;
  return problem.ToResponse();
}

}  // namespace carobbank
