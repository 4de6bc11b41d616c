// The stand-in engine's model: token texts, token counts, and the length of a
// prompt's completion.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobbank {

inline constexpr std::size_t kCharactersPerToken = 4;

// Log-normal lengths: half of the completions are shorter than the median, a
// few are far longer.
struct LengthModel {
  std::int64_t median_tokens = 200;
  // Standard deviation of the length's natural logarithm.
  double sigma = 0.6;
  std::int64_t max_tokens = 4'096;
};

// " i@v": token `index` as generated with weight version `version`.
std::string TokenText(std::uint64_t index, std::uint64_t version);

// Number of tokens in a partial output; no value unless `text` is exactly the
// tokens 0, 1, 2 ... in TokenText()'s form.
std::optional<std::uint64_t> CountTokens(std::string_view text);

// Number of tokens in a prompt, rounded up, at least one.
std::uint64_t PromptTokens(std::string_view prompt);

// Length of the completion in tokens, at least one. It depends on prompt, seed
// and `model` only, so that every engine generates the same length. "length=N"
// in the prompt overrides it.
std::uint64_t CompletionLength(std::string_view prompt,
                               std::uint64_t seed,
                               const LengthModel& model);

}  // namespace carobbank
