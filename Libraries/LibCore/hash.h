// Hash functions: xxHash64 for placement, SHA-256 and HMAC for digests and
// authentication.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carobbank {

// xxHash64: the same on every machine, but not cryptographic.
std::uint64_t FastHash(std::string_view text, std::uint64_t seed = 0);

// Lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);
std::string HmacSha256Hex(std::string_view key, std::string_view text);

// Takes the same time wherever the first difference is.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace carobbank
