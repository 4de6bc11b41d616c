// Problem documents: RFC 9457 with extension members for whether the request
// ran and for the remedy.

#include <string>

#include "LibHTTP/http_message.h"
#include "LibHTTP/status_phrase.h"

namespace carobbank {

namespace {

constexpr std::string_view kTypePrefix = "urn:carobbank:problem:";
constexpr std::string_view kNotRun = "not_run";
constexpr std::string_view kMayHaveRun = "may_have_run";
constexpr std::int64_t kMillisecondsPerSecond = 1'000;

// RFC 9110, section 10.2.3: Retry-After is an integer number of seconds.
std::string RetryAfterSeconds(Milliseconds delay) {
  const std::int64_t rounded_up =
      (delay.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  return std::to_string(rounded_up);
}

std::optional<Execution> ParseExecution(std::string_view text) {
  if (text == kNotRun) {
    return Execution::kNotRun;
  }
  if (text == kMayHaveRun) {
    return Execution::kMayHaveRun;
  }
  return std::nullopt;
}

}  // namespace

Json::Value Problem::ToJson() const {
  Json::Value document(Json::objectValue);
  document["type"] = std::string(kTypePrefix) + this->code;
  document["title"] = std::string(StatusPhrase(this->status));
  document["status"] = this->status;
  document["detail"] = this->detail;
  document["code"] = this->code;
  document["execution"] = std::string(
      this->execution == Execution::kNotRun ? kNotRun : kMayHaveRun);
  document["remedy"] = this->remedy;
  if (this->retry_after) {
    document["retry_after_ms"] = Json::Int64(this->retry_after->count());
  }
  return document;
}

HttpResponse Problem::ToResponse() const {
  HttpResponse response;
  response.status = this->status;
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (this->retry_after) {
    response.headers.push_back(
        {"Retry-After", RetryAfterSeconds(*this->retry_after)});
  }
  response.body = WriteJson(this->ToJson());
  return response;
}

std::optional<Problem> Problem::FromText(int status, std::string_view text) {
  const Outcome<Json::Value> parsed = Capture([&] { return ParseJson(text); });
  if (!parsed.Ok()) {
    return std::nullopt;
  }
  const Json::Value& document = parsed.Value();
  Problem problem;
  problem.status = status;
  problem.code = JsonString(document, "code");
  problem.detail = JsonString(document, "detail");
  problem.remedy = JsonString(document, "remedy");
  const std::optional<Execution> execution =
      ParseExecution(JsonString(document, "execution"));
  // Both members are required: a problem without them is from another service.
  if (problem.code.empty() || !execution) {
    return std::nullopt;
  }
  problem.execution = *execution;
  const std::int64_t retry_after_ms =
      JsonInteger(document, "retry_after_ms", -1);
  if (retry_after_ms >= 0) {
    problem.retry_after = Milliseconds(retry_after_ms);
  }
  return problem;
}

}  // namespace carobbank
