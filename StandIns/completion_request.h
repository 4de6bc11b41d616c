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
  // Of the whole answer, the resumed part included.
  std::uint64_t max_tokens = 16;
  std::uint64_t seed = 0;
  std::int64_t priority = 0;
  bool streams = false;
  // How many tokens the request brings as a partial answer.
  std::uint64_t resumed_tokens = 0;

  // Fails with kInvalidArgument, also when the resumed text isn't exactly the
  // tokens that it claims.
  static Result<CompletionRequest> Parse(const HttpRequest& request);
};

}  // namespace carobbank
