// Parses the X-Carobbank headers and the length and form of a completion.

#include "Sidecar/work_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kHeaderPrefix = "x-carobbank-";
// Forwarded to the backend server, which may log or forward it.
constexpr std::string_view kAttemptHeader = "x-carobbank-attempt";
constexpr std::size_t kCharactersPerToken = 4;
constexpr std::size_t kMaxHeaderValueBytes = 512;

// Hop-by-hop headers (RFC 9110, section 7.6.1) and those that the HTTP client
// writes itself.
constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "connection", "keep-alive", "te",     "trailer",       "transfer-encoding",
    "upgrade",    "host",       "expect", "content-length"};

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return lower;
}

bool IsForwarded(const HttpHeader& header) {
  const std::string name = LowerCase(header.name);
  if (name == kAttemptHeader) {
    return true;
  }
  const bool hop = std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                             name) != kHopByHopHeaders.end();
  return !hop && !name.starts_with(kHeaderPrefix);
}

HttpHeaders ForwardedHeaders(const HttpHeaders& headers) {
  HttpHeaders forwarded;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded),
               IsForwarded);
  return forwarded;
}

std::string HeaderValue(const HttpHeaders& headers, std::string_view name) {
  const auto value = FindHeader(headers, name);
  return value ? std::string(value->substr(0, kMaxHeaderValueBytes)) : "";
}

// Nothing when the header is missing.
Result<std::optional<std::int64_t>> Number(const HttpHeaders& headers,
                                           std::string_view name) {
  const auto text = FindHeader(headers, name);
  if (!text || text->empty()) {
    return std::optional<std::int64_t>();
  }
  const auto value = ParseInteger<std::int64_t>(*text);
  if (!value) {
    return Fail(ErrorKind::kInvalidArgument,
                "not a whole number: header " + std::string(name),
                "send decimal digits");
  }
  return value;
}

std::uint32_t Tokens(std::int64_t count) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, INT32_MAX));
}

// A body that is not a JSON object is forwarded unread; the engine refuses it.
void ReadCompletion(WorkRequest& work) {
  if (work.forward.method != "POST" ||
      work.forward.Path() != "/v1/completions") {
    return;
  }
  const std::optional<Json::Value> body = ParseJsonObject(work.forward.body);
  if (!body) {
    return;
  }
  const Json::Value& completion = *body;
  const std::size_t characters = JsonString(completion, "prompt").size();
  work.streamed = JsonBoolean(completion, "stream", false);
  work.resumed_tokens = static_cast<std::uint64_t>(
      std::max<std::int64_t>(JsonInteger(completion["resume"], "tokens"), 0));
  work.prompt_tokens = Tokens(static_cast<std::int64_t>(
      characters / kCharactersPerToken + work.resumed_tokens));
  if (work.expected_tokens == 0) {
    return;
  }
  const std::int64_t max_tokens =
      JsonInteger(completion, "max_tokens", work.expected_tokens);
  const std::int64_t remaining =
      std::min<std::int64_t>(work.expected_tokens, max_tokens) -
      static_cast<std::int64_t>(work.resumed_tokens);
  work.expected_tokens = Tokens(std::max<std::int64_t>(remaining, 1));
}

}  // namespace

Result<WorkRequest> ParseWorkRequest(HttpRequest request,
                                     const Clock& clock,
                                     bool is_engine) {
  WorkRequest work;
  const HttpHeaders& headers = request.headers;
  work.received = clock.Now();
  work.service = HeaderValue(headers, "X-Carobbank-Service");
  work.request_id = HeaderValue(headers, "X-Carobbank-Request");
  work.attempt_id = HeaderValue(headers, "X-Carobbank-Attempt");
  work.sample_id = HeaderValue(headers, "X-Carobbank-Sample");
  work.digest = HeaderValue(headers, "X-Carobbank-Digest");
  work.exclusive = HeaderValue(headers, "X-Carobbank-Alone") == "1";
  work.duplicate = HeaderValue(headers, "X-Carobbank-Duplicate") == "1";
  if (work.service.empty() || work.attempt_id.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "X-Carobbank-Service or X-Carobbank-Attempt is missing",
                "set both headers; the attempt must be unique");
  }
  BOOST_LEAF_AUTO(versions, AllowedVersions::Parse(
                                HeaderValue(headers, "X-Carobbank-Versions")));
  BOOST_LEAF_AUTO(wall_deadline, Number(headers, "X-Carobbank-Deadline"));
  BOOST_LEAF_AUTO(budget, Number(headers, "X-Carobbank-Budget"));
  BOOST_LEAF_AUTO(expected, Number(headers, "X-Carobbank-Expected-Tokens"));
  BOOST_LEAF_AUTO(slack, Number(headers, "X-Carobbank-Slack"));
  BOOST_LEAF_AUTO(offset, Number(headers, "X-Carobbank-Config"));
  work.versions = versions;
  work.wall_deadline_ms = wall_deadline.value_or(0);
  if (budget) {
    work.deadline = work.received + Milliseconds(*budget);
  }
  work.expected_tokens = Tokens(expected.value_or(0));
  if (slack) {
    work.slack = Milliseconds(*slack);
  }
  work.configuration_offset = offset.value_or(-1);
  work.forward = std::move(request);
  work.forward.headers = ForwardedHeaders(work.forward.headers);
  if (is_engine) {
    ReadCompletion(work);
  }
  return work;
}

}  // namespace carobbank
