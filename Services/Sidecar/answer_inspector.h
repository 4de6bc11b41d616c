// Checks a streamed model response event by event before it is forwarded: each
// event belongs to the attempt, each token occurs once and in order, the engine
// reported an allowed weight version, and the response has an end marker.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibVersions/versions.h"

namespace carobbank {

// The outcome of checking some bytes of the response.
struct InspectedBytes {
  // Complete events that passed the checks and may be forwarded.
  std::string accepted;
  // Number of tokens in `accepted`.
  std::uint32_t tokens = 0;
  // The last weight version in `accepted`.
  std::optional<std::uint64_t> version;
  // Why the response must end after `accepted`; unset while it may continue.
  std::optional<Problem> problem;
};

class AnswerInspector {
 public:
  // `resumed_tokens`: the index of the first token.
  AnswerInspector(std::string attempt_id,
                  AllowedVersions allowed,
                  std::uint64_t resumed_tokens);

  InspectedBytes Feed(std::string_view bytes);
  // The problem with a response whose body ends now, or nothing if it is
  // complete.
  std::optional<Problem> End() const;

  // Number of tokens accepted so far.
  std::uint64_t Tokens() const { return this->generated; }

 private:
  std::optional<Problem> Inspect(const ServerSentEvent& event,
                                 InspectedBytes& result);
  std::optional<Problem> InspectChunk(const Json::Value& chunk,
                                      InspectedBytes& result);

  std::string attempt_id;
  AllowedVersions allowed;
  ServerSentEventReader reader;
  // Index of the next token. Invariant: every earlier token was accepted once.
  std::uint64_t next_token;
  std::uint64_t generated = 0;
  bool has_finish_reason = false;
  bool done = false;
};

}  // namespace carobbank
