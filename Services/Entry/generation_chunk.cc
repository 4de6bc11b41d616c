// Parses and writes events of streamed completions.

#include "generation_chunk.h"

namespace carobbank {

namespace {

constexpr int kProblemStatusInStream = 502;

TokenUsage ReadUsage(const Json::Value& usage) {
  TokenUsage read;
  read.prompt_tokens =
      static_cast<std::uint64_t>(JsonInteger(usage, "prompt_tokens"));
  read.completion_tokens =
      static_cast<std::uint64_t>(JsonInteger(usage, "completion_tokens"));
  read.cached_tokens =
      static_cast<std::uint64_t>(JsonInteger(usage, "cached_tokens"));
  return read;
}

Json::Value WriteUsage(const TokenUsage& usage) {
  Json::Value value;
  value["prompt_tokens"] = Json::UInt64(usage.prompt_tokens);
  value["completion_tokens"] = Json::UInt64(usage.completion_tokens);
  value["cached_tokens"] = Json::UInt64(usage.cached_tokens);
  value["total_tokens"] =
      Json::UInt64(usage.prompt_tokens + usage.completion_tokens);
  return value;
}

boost::leaf::error_id FailCorrupt(std::string what) {
  return Fail(ErrorKind::kCorrupt, "not a completion event: " + what,
              "check that the backend server follows docs/PLATFORM.md");
}

Result<GenerationEvent> ParseChunk(const Json::Value& value) {
  if (!value.isObject() || !value["choices"].isArray() ||
      value["choices"].empty()) {
    return FailCorrupt("no choices");
  }
  const Json::Value& choice = value["choices"][0];
  GenerationChunk chunk;
  chunk.attempt_id = JsonString(value, "id");
  chunk.text = JsonString(choice, "text");
  chunk.finish_reason = JsonString(choice, "finish_reason");
  const std::int64_t from = JsonInteger(value, "token_from", -1);
  const std::int64_t to = JsonInteger(value, "token_to", -1);
  if (from < 0 || to < from) {
    return FailCorrupt("token range " + std::to_string(from) + " to " +
                       std::to_string(to));
  }
  chunk.token_from = static_cast<std::uint64_t>(from);
  chunk.token_to = static_cast<std::uint64_t>(to);
  const std::int64_t version = JsonInteger(value, "weight_version", -1);
  if (version >= 0) {
    chunk.weight_version = static_cast<std::uint64_t>(version);
  }
  if (value["usage"].isObject()) {
    chunk.usage = ReadUsage(value["usage"]);
  }
  return GenerationEvent(std::move(chunk));
}

}  // namespace

Result<GenerationEvent> ParseGenerationEvent(const ServerSentEvent& event) {
  if (event.event == "error") {
    auto problem = Problem::FromText(kProblemStatusInStream, event.data);
    if (!problem) {
      return FailCorrupt("an error event without a problem document");
    }
    return GenerationEvent(std::move(*problem));
  }
  if (event.data == "[DONE]") {
    return GenerationEvent(GenerationEnd{});
  }
  BOOST_LEAF_AUTO(value, ParseJson(event.data));
  return ParseChunk(value);
}

ServerSentEvent WriteGenerationChunk(const GenerationChunk& chunk,
                                     std::string_view id,
                                     std::string_view model) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = chunk.text;
  choice["finish_reason"] = chunk.finish_reason.empty()
                                ? Json::Value()
                                : Json::Value(chunk.finish_reason);
  Json::Value value;
  value["id"] = std::string(id);
  value["object"] = "text_completion";
  value["model"] = std::string(model);
  value["choices"].append(std::move(choice));
  value["token_from"] = Json::UInt64(chunk.token_from);
  value["token_to"] = Json::UInt64(chunk.token_to);
  if (chunk.weight_version) {
    value["weight_version"] = Json::UInt64(*chunk.weight_version);
  }
  if (chunk.usage) {
    value["usage"] = WriteUsage(*chunk.usage);
  }
  return {"", WriteJson(value)};
}

}  // namespace carobbank
