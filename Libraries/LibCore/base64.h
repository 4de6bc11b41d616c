// Base64 (RFC 4648, section 4), through OpenSSL.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carobbank {

std::string EncodeBase64(std::string_view bytes);
// Returns nothing when the text is not padded Base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace carobbank
