// Calls to the platform and what their endings mean.

#include "LibPlatform/platform_call.h"

#include <cctype>

namespace carobbank {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kNotFoundStatus = 404;
constexpr int kGone = 410;
constexpr int kRequestTimeout = 408;

std::string Describe(std::string_view what, const HttpResponse& response) {
  return std::string(what) + " answered status " +
         std::to_string(response.status);
}

// 408 may come after the service had taken the request in.
bool IsRefusal(int status) {
  return status >= 400 && status < 500 && status != kRequestTimeout;
}

bool IsUnreserved(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

}  // namespace

HttpClientRequest BuildPlatformRequest(const PlatformEndpoint& endpoint,
                                       std::string_view method,
                                       std::string_view target,
                                       std::string body,
                                       Milliseconds extra_wait) {
  HttpClientRequest request;
  request.method = method;
  request.url = endpoint.base_url + std::string(target);
  request.body = std::move(body);
  request.timeout = endpoint.options.timeout + extra_wait;
  request.connect_timeout = endpoint.options.connect_timeout;
  if (!request.body.empty()) {
    SetHeader(request.headers, "Content-Type", "application/json");
  }
  return request;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (IsUnreserved(byte)) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 15]);
  }
  return encoded;
}

Error QueryError(const HttpResponse& response, std::string_view what) {
  std::string message = Describe(what, response);
  switch (response.status) {
    case kNotFoundStatus:
      return {ErrorKind::kNotFound, std::move(message),
              "check the name that was asked for"};
    case kGone:
      return {ErrorKind::kExpired, std::move(message),
              "read from kOldestRetained"};
    case kTooManyRequests:
      return {ErrorKind::kOverloaded, std::move(message), "ask again later"};
    default:
      return {ErrorKind::kUnavailable, std::move(message), "ask again later"};
  }
}

Error CommandError(const HttpResponse& response, std::string_view what) {
  std::string message = Describe(what, response);
  if (response.status == kTooManyRequests) {
    return {ErrorKind::kOverloaded, std::move(message), "repeat it later"};
  }
  if (response.status == kServiceUnavailable) {
    return {ErrorKind::kUnavailable, std::move(message), "repeat it later"};
  }
  if (IsRefusal(response.status)) {
    return {ErrorKind::kInvalidArgument, std::move(message),
            "mend the request; it was refused"};
  }
  return {ErrorKind::kOutcomeUnknown, std::move(message),
          "read back whether it took effect"};
}

Error QueryFailure(const Error& error, std::string_view what) {
  const bool may_have_been_sent = error.kind == ErrorKind::kOutcomeUnknown;
  return {may_have_been_sent ? ErrorKind::kUnavailable : error.kind,
          std::string(what) + ": " + error.message, "ask again later"};
}

}  // namespace carobbank
