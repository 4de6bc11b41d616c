// Header values of callers.

#include "caller.h"

#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kWorkspacePrefix = "workspace ";
constexpr std::string_view kAnonymous = "anonymous";
constexpr std::string_view kUnverified = "unverified";

}  // namespace

std::string EncodeCaller(const Caller& caller) {
  switch (caller.kind) {
    case Caller::Kind::kUnrestricted:
      return "";
    case Caller::Kind::kWorkspace:
      return std::string(kWorkspacePrefix) + caller.workspace;
    case Caller::Kind::kAnonymous:
      return std::string(kAnonymous);
    case Caller::Kind::kUnverified:
      return std::string(kUnverified);
  }
  return "";
}

void SetCaller(HttpHeaders& headers, const Caller& caller) {
  std::erase_if(headers, [](const HttpHeader& header) {
    return HeaderNamesEqual(header.name, kCallerHeader);
  });
  std::string value = EncodeCaller(caller);
  if (!value.empty()) {
    headers.push_back({std::string(kCallerHeader), std::move(value)});
  }
}

std::optional<Caller> DecodeCaller(std::string_view text) {
  Caller caller;
  if (text.starts_with(kWorkspacePrefix) &&
      text.size() > kWorkspacePrefix.size()) {
    caller.kind = Caller::Kind::kWorkspace;
    caller.workspace = text.substr(kWorkspacePrefix.size());
    return caller;
  }
  if (text == kAnonymous) {
    caller.kind = Caller::Kind::kAnonymous;
    return caller;
  }
  if (text == kUnverified) {
    caller.kind = Caller::Kind::kUnverified;
    return caller;
  }
  return std::nullopt;
}

}  // namespace carobbank
