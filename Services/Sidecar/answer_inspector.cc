// The checks on each event of a streamed model response.

#include "Sidecar/answer_inspector.h"

#include <utility>

#include "Sidecar/problems.h"

namespace carobbank {

namespace {

constexpr std::string_view kDoneMarker = "[DONE]";
// The finish reason of a generation that was cancelled at the engine.
constexpr std::string_view kCancelled = "cancelled";

}  // namespace

AnswerInspector::AnswerInspector(std::string attempt_id,
                                 AllowedVersions allowed,
                                 std::uint64_t resumed_tokens)
    : attempt_id(std::move(attempt_id)),
      allowed(allowed),
      next_token(resumed_tokens) {}

InspectedBytes AnswerInspector::Feed(std::string_view bytes) {
  InspectedBytes result;
  const auto events = Capture([&] { return this->reader.Feed(bytes); });
  if (!events.Ok()) {
    result.problem = BackendFailedProblem(events.GetError().Text());
    return result;
  }
  for (const ServerSentEvent& event : events.Value()) {
    result.problem = this->Inspect(event, result);
    if (result.problem) {
      return result;
    }
    result.accepted += WriteServerSentEvent(event);
  }
  return result;
}

std::optional<Problem> AnswerInspector::Inspect(const ServerSentEvent& event,
                                                InspectedBytes& result) {
  if (this->done) {
    return BackendFailedProblem("an event followed the end marker");
  }
  if (event.event == "error") {
    return BackendFailedProblem(
        "the backend server ended the response with an error: " +
        event.data.substr(0, 256));
  }
  if (event.data == kDoneMarker) {
    if (!this->has_finish_reason) {
      return BackendFailedProblem(
          "the end marker came without a finish reason");
    }
    this->done = true;
    return std::nullopt;
  }
  const std::optional<Json::Value> chunk = ParseJsonObject(event.data);
  if (!chunk) {
    return BackendFailedProblem("an event is not a completion chunk");
  }
  return this->InspectChunk(*chunk, result);
}

std::optional<Problem> AnswerInspector::InspectChunk(const Json::Value& chunk,
                                                     InspectedBytes& result) {
  const std::string id = JsonString(chunk, "id");
  if (id != this->attempt_id) {
    return CrossedAnswerProblem(id);
  }
  const std::int64_t from = JsonInteger(chunk, "token_from", -1);
  const std::int64_t to = JsonInteger(chunk, "token_to", -1);
  const bool continues = from >= 0 && to >= from &&
                         static_cast<std::uint64_t>(from) == this->next_token;
  if (!continues) {
    return BackendFailedProblem("expected token " +
                                std::to_string(this->next_token) +
                                ", got tokens from " + std::to_string(from) +
                                " to " + std::to_string(to));
  }
  if (to > from) {
    const Json::Value& version = chunk["weight_version"];
    if (!version.isUInt64()) {
      return BackendFailedProblem(
          "the engine reported no weight version for a chunk");
    }
    if (!this->allowed.Contains(version.asUInt64())) {
      return VersionOutOfBoundProblem(version.asUInt64(), this->allowed);
    }
    result.version = version.asUInt64();
  }
  const Json::Value& choices = chunk["choices"];
  const bool has_choice =
      choices.isArray() && !choices.empty() && choices[0U].isObject();
  if (has_choice && choices[0U]["finish_reason"].isString()) {
    if (choices[0U]["finish_reason"].asString() == kCancelled) {
      return BackendFailedProblem("the engine cancelled the generation");
    }
    this->has_finish_reason = true;
  }
  result.tokens += static_cast<std::uint32_t>(to - from);
  this->generated += static_cast<std::uint64_t>(to - from);
  this->next_token = static_cast<std::uint64_t>(to);
  return std::nullopt;
}

std::optional<Problem> AnswerInspector::End() const {
  if (this->done) {
    return std::nullopt;
  }
  return BackendFailedProblem("the response ended before its end marker");
}

}  // namespace carobbank
