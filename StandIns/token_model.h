// The stand-in engine's language: what a token reads, how many tokens a text
// has, and how long the answer to a prompt is.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobbank {

inline constexpr std::size_t kCharactersPerToken = 4;

// Log-normal lengths: half of the answers are shorter than the median, a few
// are far longer.
struct LengthModel {
  std::int64_t median_tokens = 200;
  // Standard deviation of the length's natural logarithm.
  double sigma = 0.6;
  std::int64_t max_tokens = 4'096;
};

// " i@v": token `index` as generated with weight version `version`.
std::string TokenText(std::uint64_t index, std::uint64_t version);

// How many tokens a partial answer holds; nothing unless it is exactly the
// tokens 0, 1, 2 ... in TokenText()'s form.
std::optional<std::uint64_t> CountTokens(std::string_view answer);

// Rounded up, at least one.
std::uint64_t PromptTokens(std::string_view prompt);

// The answer's length in tokens, at least one. It follows from prompt and seed
// alone, so that every engine gives the same. "length=N" in the prompt sets it.
std::uint64_t AnswerLength(std::string_view prompt,
                           std::uint64_t seed,
                           const LengthModel& model);

}  // namespace carobbank
