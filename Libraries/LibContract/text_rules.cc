// The accepted forms of strings.

#include "LibContract/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdint>

#include "LibCore/core.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxNameCharacters = 64;
constexpr std::size_t kMaxPathCharacters = 1'024;
constexpr std::size_t kMinSecretCharacters = 16;
constexpr std::size_t kMaxSecretCharacters = 256;
constexpr std::size_t kSha256Digits = 64;

bool IsLower(char character) {
  return character >= 'a' && character <= 'z';
}

bool IsUpper(char character) {
  return character >= 'A' && character <= 'Z';
}

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

bool IsVisible(char character) {
  return character > ' ' && character < 0x7f;
}

bool IsNameCharacter(char character) {
  return IsLower(character) || IsDigit(character) || character == '-' ||
         character == '_' || character == '.';
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameCharacters) {
    return false;
  }
  const bool has_valid_start = IsLower(text.front()) || IsDigit(text.front());
  return has_valid_start && std::ranges::all_of(text, IsNameCharacter);
}

bool IsOptionalName(std::string_view text) {
  return text.empty() || IsName(text);
}

bool IsInstance(std::string_view text) {
  const auto is_allowed = [](char character) {
    return IsNameCharacter(character) || IsUpper(character) || character == ':';
  };
  return !text.empty() && text.size() <= 2 * kMaxNameCharacters &&
         std::ranges::all_of(text, is_allowed);
}

bool IsAddress(std::string_view text) {
  const std::string address(text);
  in6_addr parsed{};
  return inet_pton(AF_INET, address.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

bool IsEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsAddress(text.substr(0, colon))) {
    return false;
  }
  return ParseInteger<std::uint16_t>(text.substr(colon + 1)).has_value();
}

bool IsOptionalEndpoint(std::string_view text) {
  return text.empty() || IsEndpoint(text);
}

bool IsEndpointList(std::string_view text) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    if (!IsEndpoint(text.substr(0, comma))) {
      return false;
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return true;
}

bool IsNameList(std::string_view text) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    if (!IsName(text.substr(0, comma))) {
      return false;
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return true;
}

bool IsUrl(std::string_view text) {
  const bool secure = text.starts_with("https://");
  if (!secure && !text.starts_with("http://")) {
    return false;
  }
  const std::string_view rest = text.substr(secure ? 8 : 7);
  const bool bounded = !rest.empty() && text.size() <= kMaxPathCharacters;
  return bounded && !rest.ends_with('/') && !rest.starts_with(':') &&
         std::ranges::all_of(rest, IsVisible);
}

bool IsFile(std::string_view text) {
  return text.size() <= kMaxPathCharacters &&
         text.find('\0') == std::string_view::npos;
}

bool IsSecret(std::string_view text) {
  return text.size() >= kMinSecretCharacters &&
         text.size() <= kMaxSecretCharacters &&
         std::ranges::all_of(text, IsVisible);
}

bool IsSha256(std::string_view text) {
  const auto is_hex = [](char character) {
    return IsDigit(character) || (character >= 'a' && character <= 'f');
  };
  return text.size() == kSha256Digits && std::ranges::all_of(text, is_hex);
}

bool IsOptionalSha256(std::string_view text) {
  return text.empty() || IsSha256(text);
}

bool IsMethod(std::string_view text) {
  return !text.empty() && text.size() <= 16 &&
         std::ranges::all_of(text, IsUpper);
}

bool IsPathPrefix(std::string_view text) {
  return text.starts_with('/') && text.size() <= kMaxPathCharacters &&
         text.find('?') == std::string_view::npos &&
         std::ranges::all_of(text, IsVisible);
}

// RFC 9110, section 5.6.2, without the rarer token characters.
bool IsHeaderName(std::string_view text) {
  const auto is_token = [](char character) {
    return IsLower(character) || IsUpper(character) || IsDigit(character) ||
           character == '-' || character == '_';
  };
  return !text.empty() && text.size() <= kMaxNameCharacters &&
         std::ranges::all_of(text, is_token);
}

std::string RealText(double number) {
  char buffer[32];
  const auto written = std::to_chars(buffer, buffer + sizeof(buffer), number);
  return std::string(buffer, written.ptr);
}

}  // namespace carobbank
