// Parses and digests credentials.

#include "LibHTTP/credentials.h"

namespace carobbank {

std::optional<std::string_view> CredentialOf(std::string_view field_value,
                                             std::string_view scheme) {
  if (!field_value.starts_with(scheme)) {
    return std::nullopt;
  }
  field_value.remove_prefix(scheme.size());
  if (!field_value.starts_with(' ')) {
    return std::nullopt;
  }
  return field_value.substr(1);
}

std::string CredentialDigest(const HttpHeaders& headers,
                             std::string_view scheme) {
  const auto field = FindHeader(headers, "Authorization");
  const auto credential =
      field ? CredentialOf(*field, scheme) : std::optional<std::string_view>();
  return credential ? Sha256Hex(*credential) : "";
}

}  // namespace carobbank
