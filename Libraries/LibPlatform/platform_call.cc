// Builds calls to the platform and maps their endings to errors.

#include "LibPlatform/platform_call.h"

namespace carobbank {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kNotFoundStatus = 404;
constexpr int kGone = 410;
constexpr int kRequestTimeout = 408;
// The list of instances grows with their number.
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

std::string Describe(std::string_view subject, const HttpResponse& response) {
  return std::string(subject) + ": HTTP status " +
         std::to_string(response.status);
}

// A service may send 408 after it has accepted the request.
bool IsRefusal(int status) {
  return status >= 400 && status < 500 && status != kRequestTimeout;
}

}  // namespace

HttpClientRequest BuildPlatformRequest(const PlatformEndpoint& endpoint,
                                       std::string_view method,
                                       std::string_view target,
                                       std::string body,
                                       Milliseconds long_poll_wait) {
  HttpClientRequest request;
  request.method = method;
  request.url = endpoint.base_url + std::string(target);
  request.body = std::move(body);
  request.timeout = endpoint.options.timeout + long_poll_wait;
  request.connect_timeout = endpoint.options.connect_timeout;
  request.max_body_bytes = kMaxResponseBytes;
  if (!request.body.empty()) {
    SetHeader(request.headers, "Content-Type", "application/json");
  }
  return request;
}

Error QueryErrorFromResponse(const HttpResponse& response,
                             std::string_view subject) {
  std::string message = Describe(subject, response);
  switch (response.status) {
    case kNotFoundStatus:
      return {ErrorKind::kNotFound, std::move(message),
              "check the requested name"};
    case kGone:
      return {ErrorKind::kExpired, std::move(message),
              "read from kOldestRetained"};
    case kTooManyRequests:
      return {ErrorKind::kOverloaded, std::move(message), "retry later"};
    default:
      return {ErrorKind::kUnavailable, std::move(message), "retry later"};
  }
}

Error CommandErrorFromResponse(const HttpResponse& response,
                               std::string_view subject) {
  std::string message = Describe(subject, response);
  if (response.status == kTooManyRequests) {
    return {ErrorKind::kOverloaded, std::move(message), "retry later"};
  }
  if (response.status == kServiceUnavailable) {
    return {ErrorKind::kUnavailable, std::move(message), "retry later"};
  }
  if (IsRefusal(response.status)) {
    return {ErrorKind::kInvalidArgument, std::move(message),
            "correct the request; the service refused it"};
  }
  return {ErrorKind::kOutcomeUnknown, std::move(message),
          "read back whether the request took effect"};
}

Error QueryErrorFromTransport(const Error& error, std::string_view subject) {
  const bool may_have_been_sent = error.kind == ErrorKind::kOutcomeUnknown;
  return {may_have_been_sent ? ErrorKind::kUnavailable : error.kind,
          std::string(subject) + ": " + error.message, "retry later"};
}

}  // namespace carobbank
