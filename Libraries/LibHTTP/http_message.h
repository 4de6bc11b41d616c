// Requests, responses and problem documents (RFC 9457) as plain values.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Header names are case-insensitive (RFC 9110, section 5.1).
bool HeaderNamesEqual(std::string_view left, std::string_view right);
// The first header of that name (case-insensitive), or nothing.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);
// Replaces every header of that name, or appends it.
void SetHeader(HttpHeaders& headers, std::string_view name, std::string value);

// Encodes all bytes but the unreserved characters (RFC 3986, section 2.3), for
// a path segment, or a name or value of a query.
std::string PercentEncode(std::string_view text);

// Whether text from elsewhere can be sent as a request target: it has neither
// blanks nor control characters (RFC 9112, section 3.2).
bool IsRequestTarget(std::string_view text);
// Whether it can be sent as the name of a header (RFC 9110, section 5.6.2), or
// as the value of one: no line breaks or zero bytes (section 5.5).
bool IsFieldName(std::string_view text);
bool IsFieldValue(std::string_view text);

struct HttpRequest {
  std::string method;
  // Path and query as sent, starting with '/'.
  std::string target;
  HttpHeaders headers;
  std::string body;
  // Peer address, "127.0.0.1:4711".
  std::string peer;

  // The target without its query.
  std::string_view Path() const;
  // The decoded value of a query parameter, or nothing.
  std::optional<std::string> Query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Whether a refused request may have had an effect.
enum class Execution { kNotRun, kMayHaveRun };

// A refusal as an RFC 9457 problem document. `code` is stable and documented in
// docs/CALLERS.md; `remedy` describes what the caller can do.
struct Problem {
  int status = 500;
  std::string code;
  std::string detail;
  std::string remedy;
  Execution execution = Execution::kNotRun;
  // Sent as Retry-After, rounded up to full seconds, and in milliseconds in the
  // document.
  std::optional<Milliseconds> retry_after;

  HttpResponse ToResponse() const;
  Json::Value ToJson() const;
  // Parses a problem document; nullopt when `text` is not one.
  static std::optional<Problem> FromText(int status, std::string_view text);
};

HttpResponse JsonResponse(int status, const Json::Value& value);

}  // namespace carobbank
