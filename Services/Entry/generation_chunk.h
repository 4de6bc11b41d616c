// One event of a streamed completion, as docs/PLATFORM.md defines it.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "LibHTTP/http.h"

namespace carobbank {

struct TokenUsage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

// Tokens [token_from, token_to) came from weight_version. Without a version,
// the engine did not report which weights generated them.
struct GenerationChunk {
  std::string attempt_id;
  std::string text;
  std::uint64_t token_from = 0;
  std::uint64_t token_to = 0;
  std::optional<std::uint64_t> weight_version;
  // Empty until the last chunk: "stop", "length".
  std::string finish_reason;
  std::optional<TokenUsage> usage;
};

// "[DONE]": the response is complete.
struct GenerationEnd {};

using GenerationEvent = std::variant<GenerationChunk, GenerationEnd, Problem>;

// Fails with kCorrupt when the event is neither a chunk, the end, nor a
// problem document.
Result<GenerationEvent> ParseGenerationEvent(const ServerSentEvent& event);

// The event that a caller of a streamed completion receives for `chunk`.
ServerSentEvent WriteGenerationChunk(const GenerationChunk& chunk,
                                     std::string_view id,
                                     std::string_view model);

}  // namespace carobbank
