// Who sent a request, as far as its key shows, and how a gateway passes that on
// to a peer in place of the key.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

struct Caller {
  enum class Kind {
    // The configuration has no workspaces: callers may use every job.
    kUnrestricted,
    // Has a key of `workspace`.
    kWorkspace,
    // Has no known key.
    kAnonymous,
    // Has no key that is known to the gateway, whose configuration may be
    // outdated.
    kUnverified,
  };
  Kind kind = Kind::kUnrestricted;
  // Only for kWorkspace.
  std::string workspace;

  bool HasNoKey() const {
    return this->kind == Kind::kAnonymous || this->kind == Kind::kUnverified;
  }
};

// Header with the caller in a request to a peer.
inline constexpr std::string_view kCallerHeader = "Carobbank-Caller";

// The header's value; empty for an unrestricted caller, who needs no header.
std::string EncodeCaller(const Caller& caller);
// Nothing when the value is malformed.
std::optional<Caller> DecodeCaller(std::string_view text);
// Sets the header in a request to a peer, or removes it.
void SetCaller(HttpHeaders& headers, const Caller& caller);

}  // namespace carobbank
