// JSON forms of the entries of `rollouts.<service>`.

#include "LibLedger/rollout_entries.h"

#include <set>

#include "LibLedger/json_member_reader.h"
#include "LibLedger/record_codec.h"

namespace carobbank {

namespace {

Json::Value ToJson(const AcceptEntry& entry) {
  Json::Value value;
  value["kind"] = "accept";
  value["request_id"] = entry.request_id;
  value["step"] = entry.step;
  value["model"] = entry.model;
  value["named_version"] = Json::UInt64(entry.named_version);
  value["max_age_versions"] = Json::UInt64(entry.max_age_versions);
  value["request_digest"] = entry.request_digest;
  value["read_to"] = Json::UInt64(entry.basis.read_to);
  value["decided_ms"] = Json::Int64(entry.basis.decided_ms);
  value["groups"] = Json::Value(Json::arrayValue);
  for (const PromptGroup& group : entry.groups) {
    Json::Value item;
    item["group_id"] = group.group_id;
    item["prompt"] = group.prompt;
    item["samples"] = group.samples;
    item["max_tokens"] = group.max_tokens;
    value["groups"].append(std::move(item));
  }
  return value;
}

Json::Value StepJson(const char* kind,
                     const std::string& request_id,
                     const LogPosition& accepted_at) {
  Json::Value value;
  value["kind"] = kind;
  value["request_id"] = request_id;
  value["accepted_at"] = accepted_at.Text();
  return value;
}

Json::Value ToJson(const StepTakeoverEntry& entry) {
  Json::Value value = StepJson("take", entry.request_id, entry.accepted_at);
  value["owner"] = entry.owner;
  value["term"] = Json::UInt64(entry.term);
  return value;
}

Json::Value ToJson(const CommitEntry& entry) {
  Json::Value value = StepJson("commit", entry.request_id, entry.accepted_at);
  value["sample_id"] = entry.sample_id;
  value["attempt"] = entry.attempt;
  value["text"] = entry.text;
  value["tokens"] = Json::UInt64(entry.tokens);
  value["finish_reason"] = entry.finish_reason;
  value["spans"] = Json::Value(Json::arrayValue);
  for (const TokenSpan& span : entry.spans) {
    Json::Value item;
    item["from"] = Json::UInt64(span.from);
    item["to"] = Json::UInt64(span.to);
    item["version"] = Json::UInt64(span.version);
    value["spans"].append(std::move(item));
  }
  return value;
}

Json::Value ToJson(const FailEntry& entry) {
  Json::Value value = StepJson("fail", entry.request_id, entry.accepted_at);
  value["sample_id"] = entry.sample_id;
  value["code"] = entry.code;
  return value;
}

Json::Value ToJson(const EndEntry& entry) {
  Json::Value value = StepJson("end", entry.request_id, entry.accepted_at);
  value["reason"] = entry.reason;
  return value;
}

Json::Value ToJson(const StepSnapshotEntry& entry) {
  Json::Value value = StepJson("carry", entry.request_id, entry.accepted_at);
  value["carry_id"] = entry.carry_id;
  value["part"] = entry.part;
  value["parts"] = entry.parts;
  value["as_of_offset"] = Json::UInt64(entry.as_of_offset);
  value["as_of_ms"] = Json::Int64(entry.as_of_ms);
  value["lives_until_ms"] = Json::Int64(entry.lives_until_ms);
  if (entry.accept) {
    value["accept"] = ToJson(*entry.accept);
    value["owner"] = entry.owner;
    value["term"] = Json::UInt64(entry.term);
    value["end_reason"] = entry.end_reason;
  }
  value["results"] = Json::Value(Json::arrayValue);
  for (const auto& result : entry.results) {
    value["results"].append(
        std::visit([](const auto& item) { return ToJson(item); }, result));
  }
  return value;
}

std::vector<PromptGroup> ReadGroups(JsonMemberReader& reader) {
  std::vector<PromptGroup> groups;
  std::set<std::string> names;
  std::uint64_t samples = 0;
  for (const Json::Value& item : reader.Array("groups")) {
    JsonMemberReader fields(item);
    PromptGroup group;
    group.group_id = fields.Identifier("group_id");
    group.prompt = fields.Text("prompt");
    group.samples = fields.Unsigned32("samples");
    group.max_tokens = fields.Unsigned32("max_tokens");
    samples += group.samples;
    if (!fields.Ok() || group.samples == 0 || samples > kMaxSamplesPerStep ||
        !names.insert(group.group_id).second) {
      reader.Reject();
      return {};
    }
    groups.push_back(std::move(group));
  }
  return groups;
}

AcceptEntry ReadAccept(JsonMemberReader& reader) {
  AcceptEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.step = reader.Text("step");
  entry.model = reader.Text("model");
  entry.named_version = reader.Unsigned("named_version");
  entry.max_age_versions = reader.Unsigned("max_age_versions");
  entry.request_digest = reader.Text("request_digest");
  entry.basis.read_to = reader.Unsigned("read_to");
  entry.basis.decided_ms = reader.Integer("decided_ms");
  entry.groups = ReadGroups(reader);
  if (entry.groups.empty()) {
    reader.Reject();
  }
  return entry;
}

StepTakeoverEntry ReadTakeover(JsonMemberReader& reader) {
  StepTakeoverEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.accepted_at = reader.Position("accepted_at");
  entry.owner = reader.Identifier("owner");
  entry.term = reader.Unsigned("term");
  return entry;
}

std::vector<TokenSpan> ReadSpans(JsonMemberReader& reader) {
  std::vector<TokenSpan> spans;
  for (const Json::Value& item : reader.Array("spans")) {
    JsonMemberReader fields(item);
    TokenSpan span;
    span.from = fields.Unsigned("from");
    span.to = fields.Unsigned("to");
    span.version = fields.Unsigned("version");
    if (!fields.Ok()) {
      reader.Reject();
      return {};
    }
    spans.push_back(span);
  }
  return spans;
}

CommitEntry ReadCommit(JsonMemberReader& reader) {
  CommitEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.accepted_at = reader.Position("accepted_at");
  entry.sample_id = reader.Identifier("sample_id");
  entry.attempt = reader.Text("attempt");
  entry.text = reader.Text("text");
  entry.tokens = reader.Unsigned("tokens");
  entry.finish_reason = reader.Text("finish_reason");
  entry.spans = ReadSpans(reader);
  return entry;
}

FailEntry ReadFail(JsonMemberReader& reader) {
  FailEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.accepted_at = reader.Position("accepted_at");
  entry.sample_id = reader.Identifier("sample_id");
  entry.code = reader.Identifier("code");
  return entry;
}

EndEntry ReadEnd(JsonMemberReader& reader) {
  EndEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.accepted_at = reader.Position("accepted_at");
  entry.reason = reader.Identifier("reason");
  return entry;
}

void ReadSnapshotHead(JsonMemberReader& reader, StepSnapshotEntry& entry) {
  JsonMemberReader accept(reader.Object("accept"));
  entry.accept = ReadAccept(accept);
  entry.owner = reader.Text("owner");
  entry.term = reader.Unsigned("term");
  entry.end_reason = reader.Text("end_reason");
  if (!accept.Ok() || entry.accept->request_id != entry.request_id) {
    reader.Reject();
  }
}

void ReadSnapshotResults(JsonMemberReader& reader, StepSnapshotEntry& entry) {
  for (const Json::Value& item : reader.Array("results")) {
    JsonMemberReader fields(item);
    const std::string kind = fields.Text("kind");
    if (kind == "commit") {
      entry.results.emplace_back(ReadCommit(fields));
    } else if (kind == "fail") {
      entry.results.emplace_back(ReadFail(fields));
    } else {
      fields.Reject();
    }
    if (!fields.Ok()) {
      reader.Reject();
      return;
    }
  }
}

StepSnapshotEntry ReadSnapshot(JsonMemberReader& reader) {
  StepSnapshotEntry entry;
  entry.request_id = reader.Identifier("request_id");
  entry.accepted_at = reader.Position("accepted_at");
  entry.carry_id = reader.Identifier("carry_id");
  entry.part = reader.Unsigned32("part");
  entry.parts = reader.Unsigned32("parts");
  entry.as_of_offset = reader.Unsigned("as_of_offset");
  entry.as_of_ms = reader.Integer("as_of_ms");
  entry.lives_until_ms = reader.Integer("lives_until_ms");
  if (entry.part >= entry.parts) {
    reader.Reject();
  }
  if (entry.part == 0) {
    ReadSnapshotHead(reader, entry);
  }
  ReadSnapshotResults(reader, entry);
  return entry;
}

struct RolloutKind {
  std::string_view name;
  RolloutEntry (*read)(JsonMemberReader&);
};

constexpr RolloutKind kRolloutKinds[] = {
    {"accept", [](JsonMemberReader& r) { return RolloutEntry(ReadAccept(r)); }},
    {"take", [](JsonMemberReader& r) { return RolloutEntry(ReadTakeover(r)); }},
    {"commit", [](JsonMemberReader& r) { return RolloutEntry(ReadCommit(r)); }},
    {"fail", [](JsonMemberReader& r) { return RolloutEntry(ReadFail(r)); }},
    {"end", [](JsonMemberReader& r) { return RolloutEntry(ReadEnd(r)); }},
    {"carry",
     [](JsonMemberReader& r) { return RolloutEntry(ReadSnapshot(r)); }},
};

std::optional<RolloutEntry> DecodeRolloutEntry(const Json::Value& value) {
  JsonMemberReader reader(value);
  const std::string kind = reader.Text("kind");
  for (const RolloutKind& candidate : kRolloutKinds) {
    if (candidate.name != kind) {
      continue;
    }
    RolloutEntry entry = candidate.read(reader);
    if (!reader.Ok()) {
      return std::nullopt;
    }
    return entry;
  }
  return std::nullopt;
}

}  // namespace

std::string SampleId(std::string_view group_id, std::uint32_t number) {
  return std::string(group_id) + "/" + std::to_string(number);
}

std::uint64_t AcceptEntry::ExpectedSamples() const {
  std::uint64_t samples = 0;
  for (const PromptGroup& group : this->groups) {
    samples += group.samples;
  }
  return samples;
}

bool AcceptEntry::Expects(std::string_view sample_id) const {
  const std::size_t slash = sample_id.rfind('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  const auto number = ParseInteger<std::uint32_t>(sample_id.substr(slash + 1));
  if (!number) {
    return false;
  }
  for (const PromptGroup& group : this->groups) {
    if (group.group_id == sample_id.substr(0, slash)) {
      return *number < group.samples &&
             SampleId(group.group_id, *number) == sample_id;
    }
  }
  return false;
}

std::uint64_t AcceptEntry::OldestVersion() const {
  // Version 0 means an unknown version, so the bound is at least 1.
  if (this->named_version <= this->max_age_versions) {
    return 1;
  }
  return this->named_version - this->max_age_versions;
}

std::string EncodeRolloutEntry(const RolloutEntry& entry) {
  return std::visit([](const auto& item) { return WriteJson(ToJson(item)); },
                    entry);
}

DecodedRecord<RolloutEntry> DecodeRolloutRecord(const StreamRecord& record) {
  return DecodeRecord<RolloutEntry>(record, DecodeRolloutEntry);
}

std::string RolloutStream(std::string_view service) {
  return "rollouts." + std::string(service);
}

}  // namespace carobbank
