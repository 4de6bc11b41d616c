// Hashing through xxHash and OpenSSL.

#include "LibCore/hash.h"

#define XXH_INLINE_ALL
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <span>

namespace carobbank {

namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::uint64_t FastHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(Bytes(text), text.size(), digest);
  return ToHex(digest);
}

std::string HmacSha256Hex(std::string_view key, std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(text),
       text.size(), digest, &length);
  return ToHex({digest, length});
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace carobbank
