// Parsing of integers.

#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace carobbank {

// Parses the complete text. Returns nothing when the text is not an integer,
// has trailing characters, or doesn't fit the type.
template <std::integral Number>
std::optional<Number> ParseInteger(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace carobbank
