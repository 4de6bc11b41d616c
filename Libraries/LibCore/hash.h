// Hashes: a fast one for placement, SHA-256 and HMAC for digests and proofs.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carobbank {

// Not for secrets: xxHash64, the same on every machine.
std::uint64_t FastHash(std::string_view text, std::uint64_t seed = 0);

// Lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);
std::string HmacSha256Hex(std::string_view key, std::string_view text);

// Takes the same time wherever the first difference stands.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace carobbank
