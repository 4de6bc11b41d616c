// Token texts and deterministic completion lengths.

#include "StandIns/token_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numbers>

#include "LibCore/core.h"

namespace carobbank {

namespace {

constexpr std::string_view kLengthHint = "length=";

std::optional<std::uint64_t> LengthHint(std::string_view prompt) {
  const std::size_t at = prompt.find(kLengthHint);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = prompt.substr(at + kLengthHint.size());
  std::uint64_t length = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::max<std::uint64_t>(length, 1);
}

// Box-Muller transform.
double StandardNormal(Random& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Unit()));
  return radius * std::cos(2.0 * std::numbers::pi * random.Unit());
}

// Removes " <index>@<digits>" from the front of `rest`; false when `rest`
// starts with anything else.
bool ConsumeToken(std::string_view& rest, std::uint64_t index) {
  const std::string expected = " " + std::to_string(index) + "@";
  if (!rest.starts_with(expected)) {
    return false;
  }
  rest.remove_prefix(expected.size());
  const std::size_t digits =
      std::min(rest.find_first_not_of("0123456789"), rest.size());
  rest.remove_prefix(digits);
  return digits > 0;
}

}  // namespace

std::string TokenText(std::uint64_t index, std::uint64_t version) {
  return " " + std::to_string(index) + "@" + std::to_string(version);
}

std::optional<std::uint64_t> CountTokens(std::string_view text) {
  std::uint64_t count = 0;
  while (!text.empty()) {
    if (!ConsumeToken(text, count)) {
      return std::nullopt;
    }
    ++count;
  }
  return count;
}

std::uint64_t PromptTokens(std::string_view prompt) {
  const std::size_t rounded =
      (prompt.size() + kCharactersPerToken - 1) / kCharactersPerToken;
  return std::max<std::uint64_t>(rounded, 1);
}

std::uint64_t CompletionLength(std::string_view prompt,
                               std::uint64_t seed,
                               const LengthModel& model) {
  const auto hint = LengthHint(prompt);
  if (hint.has_value()) {
    return *hint;
  }
  Random random(FastHash(prompt, seed));
  const double length = static_cast<double>(model.median_tokens) *
                        std::exp(model.sigma * StandardNormal(random));
  const double bounded =
      std::clamp(length, 1.0, static_cast<double>(model.max_tokens));
  return static_cast<std::uint64_t>(bounded);
}

}  // namespace carobbank
