// Base64 through OpenSSL's block functions.

#include "LibCore/base64.h"

#include <openssl/evp.h>

namespace carobbank {

namespace {

constexpr std::size_t kBytesPerBlock = 3;
constexpr std::size_t kCharactersPerBlock = 4;

std::size_t PaddingOf(std::string_view text) {
  std::size_t padding = 0;
  while (padding < 2 && text.size() > padding &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  return padding;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::size_t blocks =
      (bytes.size() + kBytesPerBlock - 1) / kBytesPerBlock;
  // OpenSSL appends a terminating zero byte.
  std::string text(blocks * kCharactersPerBlock + 1, '\0');
  const int written =
      ::EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(written));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kCharactersPerBlock != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kCharactersPerBlock * kBytesPerBlock, '\0');
  const int written =
      ::EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
  if (written < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(written) - PaddingOf(text));
  return bytes;
}

}  // namespace carobbank
