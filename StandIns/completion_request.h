// The request that starts a generation on the stand-in engine.

#pragma once

#include <cstdint>
#include <string>

#include "LibHTTP/http.h"

namespace carobbank {

struct CompletionRequest {
  std::string attempt_id;
  std::string model;
  std::string prompt;
  // Limit for the complete output, resumed tokens included.
  std::uint64_t max_tokens = 16;
  std::uint64_t seed = 0;
  std::int64_t priority = 0;
  bool streaming = false;
  // Number of tokens in the partial output that the request resumes.
  std::uint64_t resumed_tokens = 0;

  // Fails with kInvalidArgument, also when the resumed text isn't exactly the
  // stated number of tokens. The error's message is the code that the response
  // carries.
  static Result<CompletionRequest> Parse(const HttpRequest& request);
};

}  // namespace carobbank
