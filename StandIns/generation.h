// One generation of the stand-in engine, from request to record.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

class AnswerWriter;

// Tokens [from, to) were generated with `version`.
struct TokenSpan {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t version = 0;
};

struct Generation {
  std::string attempt_id;
  // Dropped when the generation ends.
  std::string prompt;
  std::string prompt_digest;
  std::uint64_t seed = 0;
  std::int64_t priority = 0;
  std::uint64_t incarnation = 0;
  // The engine's version when it last gave this generation a token.
  std::uint64_t engine_version = 0;

  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  // Tokens [0, first_token) came with the request as a partial answer.
  std::uint64_t first_token = 0;
  // Invariant: first_token <= next_token <= end_token.
  std::uint64_t next_token = 0;
  std::uint64_t end_token = 0;
  // "stop" or "length": why it ends at end_token.
  std::string_view finish_reason;

  // Ascending without gaps from first_token to next_token.
  std::vector<TokenSpan> spans;
  // "running", "stop", "length", "cancelled", "peer_closed", "truncated",
  // "cut" or "crashed".
  std::string ended = "running";
  WallMilliseconds started_ms = 0;
  WallMilliseconds ended_ms = 0;

  // Whether a fault ends the answer at `stop_at`, and which ending it takes.
  bool is_truncated = false;
  bool is_cut = false;
  std::uint64_t stop_at = 0;

  // Empty once the generation has ended.
  std::shared_ptr<AnswerWriter> writer;

  bool HasEnded() const { return this->ended != "running"; }
  // Adds token next_token, generated with `version`.
  void AddToken(std::uint64_t version);
  Json::Value ToRecord() const;
};

Json::Value SpansToJson(const std::vector<TokenSpan>& spans);

}  // namespace carobbank
