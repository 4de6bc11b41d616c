// One generation of the stand-in engine and its entry in GET /record.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

class CompletionWriter;

// Tokens [from, to) were generated with `version`.
struct EngineTokenSpan {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t version = 0;
};

struct EngineGeneration {
  std::string attempt_id;
  // Cleared when the generation ends.
  std::string prompt;
  std::string prompt_digest;
  std::uint64_t seed = 0;
  std::int64_t priority = 0;
  std::uint64_t incarnation = 0;
  // The engine's version when it last added a token to this generation.
  std::uint64_t engine_version = 0;

  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  // Tokens [0, first_token) are the partial output that the request resumes.
  std::uint64_t first_token = 0;
  // Invariant: first_token <= next_token <= end_token.
  std::uint64_t next_token = 0;
  std::uint64_t end_token = 0;
  // "stop" or "length": why the generation ends at end_token.
  std::string_view finish_reason;

  // Ascending and without gaps from first_token to next_token.
  std::vector<EngineTokenSpan> spans;
  // "running", "stop", "length", "cancelled", "peer_closed", "truncated",
  // "cut" or "crashed".
  std::string state = "running";
  WallMilliseconds started_ms = 0;
  WallMilliseconds ended_ms = 0;

  // Whether a fault truncates the response or aborts its connection once
  // next_token reaches fault_token.
  bool is_truncated = false;
  bool is_aborted = false;
  std::uint64_t fault_token = 0;

  // Null once the generation has ended.
  std::shared_ptr<CompletionWriter> writer;

  bool HasEnded() const { return this->state != "running"; }
  // Adds token next_token, generated with `version`.
  void AddToken(std::uint64_t version);
  Json::Value ToRecord() const;
};

Json::Value SpansToJson(const std::vector<EngineTokenSpan>& spans);

}  // namespace carobbank
