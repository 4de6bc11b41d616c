// Parsing of completion requests.

#include "StandIns/completion_request.h"

#include "StandIns/token_model.h"

namespace carobbank {

namespace {

Result<std::uint64_t> ParseResume(const Json::Value& body) {
  const Json::Value& resume = body["resume"];
  if (resume.isNull()) {
    return 0;
  }
  const auto token_count = CountTokens(JsonString(resume, "text"));
  const bool matches = token_count.has_value() && resume["tokens"].isUInt64() &&
                       resume["tokens"].asUInt64() == *token_count;
  if (!matches) {
    return Fail(ErrorKind::kInvalidArgument, "resume_mismatch",
                "send the partial output's text and its number of tokens");
  }
  return *token_count;
}

}  // namespace

Result<CompletionRequest> CompletionRequest::Parse(const HttpRequest& request) {
  BOOST_LEAF_AUTO(body, ParseJson(request.body));
  if (!body.isObject() || !body["prompt"].isString()) {
    return Fail(ErrorKind::kInvalidArgument, "no_prompt",
                "send a JSON object with a prompt");
  }
  CompletionRequest result;
  result.attempt_id = JsonString(
      body, "attempt_id",
      FindHeader(request.headers, "X-Carobbank-Attempt").value_or(""));
  result.model = JsonString(body, "model");
  result.prompt = body["prompt"].asString();
  if (body["max_tokens"].isUInt64()) {
    result.max_tokens = body["max_tokens"].asUInt64();
  }
  if (body["seed"].isUInt64()) {
    result.seed = body["seed"].asUInt64();
  }
  result.priority = JsonInteger(body, "priority");
  result.streaming = JsonBoolean(body, "stream", false);
  BOOST_LEAF_ASSIGN(result.resumed_tokens, ParseResume(body));
  return result;
}

}  // namespace carobbank
