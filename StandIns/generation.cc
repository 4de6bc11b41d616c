// Token spans and the record of one generation.

#include "StandIns/generation.h"

namespace carobbank {

void EngineGeneration::AddToken(std::uint64_t version) {
  const std::uint64_t token = this->next_token++;
  const bool continues =
      !this->spans.empty() && this->spans.back().version == version;
  if (continues) {
    this->spans.back().to = token + 1;
    return;
  }
  this->spans.push_back({token, token + 1, version});
}

Json::Value EngineGeneration::ToRecord() const {
  Json::Value record;
  record["attempt_id"] = this->attempt_id;
  record["prompt_digest"] = this->prompt_digest;
  record["seed"] = Json::UInt64{this->seed};
  record["priority"] = Json::Int64{this->priority};
  record["incarnation"] = Json::UInt64{this->incarnation};
  record["prompt_tokens"] = Json::UInt64{this->prompt_tokens};
  record["cached_tokens"] = Json::UInt64{this->cached_tokens};
  record["first_token"] = Json::UInt64{this->first_token};
  record["next_token"] = Json::UInt64{this->next_token};
  record["end_token"] = Json::UInt64{this->end_token};
  record["spans"] = SpansToJson(this->spans);
  record["ended"] = this->state;
  record["started_ms"] = Json::Int64{this->started_ms};
  record["ended_ms"] = Json::Int64{this->ended_ms};
  return record;
}

Json::Value SpansToJson(const std::vector<EngineTokenSpan>& spans) {
  Json::Value list(Json::arrayValue);
  for (const EngineTokenSpan& span : spans) {
    Json::Value entry;
    entry["from"] = Json::UInt64{span.from};
    entry["to"] = Json::UInt64{span.to};
    entry["version"] = Json::UInt64{span.version};
    list.append(std::move(entry));
  }
  return list;
}

}  // namespace carobbank
