// Checks a streamed model answer event by event before it is passed on: the
// right attempt, each token once, a version that the engine vouched for and
// that is allowed, and an end mark.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibVersions/versions.h"

namespace carobbank {

// What may be done after some bytes of the answer.
struct InspectedBytes {
  // Whole events that were found right, to be passed on.
  std::string accepted;
  // Tokens in them.
  std::uint32_t tokens = 0;
  // The last version seen in them.
  std::optional<std::uint64_t> version;
  // Why the answer must end here, after `pass`.
  std::optional<Problem> problem;
};

class AnswerInspector {
 public:
  // `resumed_tokens`: the first token's number.
  AnswerInspector(std::string attempt_id,
                  AllowedVersions allowed,
                  std::uint64_t resumed_tokens);

  InspectedBytes Feed(std::string_view bytes);
  // What is wrong with an answer whose body ended now.
  std::optional<Problem> End() const;

  // Tokens passed on so far.
  std::uint64_t Tokens() const { return this->generated; }

 private:
  std::optional<Problem> Inspect(const ServerSentEvent& event,
                                 InspectedBytes& result);
  std::optional<Problem> InspectChunk(const Json::Value& chunk,
                                      InspectedBytes& result);

  std::string attempt_id;
  AllowedVersions allowed;
  ServerSentEventReader reader;
  // Invariant: every token before it was passed on once.
  std::uint64_t next_token;
  std::uint64_t generated = 0;
  bool has_finish_reason = false;
  bool done = false;
};

}  // namespace carobbank
