// Credentials in the Authorization field of a request (RFC 9110, section 11.4).

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http_message.h"

namespace carobbank {

// The credential in a field value "SCHEME CREDENTIAL"; nothing for another
// scheme, whose name is compared exactly. The credential may be empty.
std::optional<std::string_view> CredentialOf(std::string_view field_value,
                                             std::string_view scheme);

// The credential of the first Authorization field, as a SHA-256 digest in
// hexadecimal digits; empty without a field, or with another scheme.
std::string CredentialDigest(const HttpHeaders& headers,
                             std::string_view scheme);

}  // namespace carobbank
