// JSON forms of the entries of `keys`.

#include "LibLedger/key_entries.h"

#include <optional>

#include "LibLedger/json_member_reader.h"
#include "LibLedger/record_codec.h"

namespace carobbank {

namespace {

Json::Value AttemptJson(const char* kind,
                        const IdempotencyKey& name,
                        const std::string& attempt) {
  Json::Value value;
  value["kind"] = kind;
  value["service"] = name.service;
  value["key"] = name.key;
  value["attempt"] = attempt;
  return value;
}

Json::Value ToJson(const ClaimEntry& entry) {
  Json::Value value = AttemptJson("claim", entry.name, entry.attempt);
  value["issued_ms"] = Json::Int64(entry.issued_ms);
  value["deadline_ms"] = Json::Int64(entry.deadline_ms);
  value["request_digest"] = entry.request_digest;
  return value;
}

Json::Value ToJson(const ReleaseEntry& entry) {
  return AttemptJson("release", entry.name, entry.attempt);
}

Json::Value ToJson(const DoneEntry& entry) {
  Json::Value value = AttemptJson("done", entry.name, entry.attempt);
  value["status"] = entry.outcome.status;
  value["content_type"] = entry.outcome.content_type;
  value["body_digest"] = entry.outcome.body_digest;
  value["whole"] = entry.outcome.complete;
  value["body"] = entry.outcome.body;
  return value;
}

IdempotencyKey ReadKey(JsonMemberReader& reader) {
  IdempotencyKey name;
  name.service = reader.Identifier("service");
  name.key = reader.Identifier("key");
  return name;
}

ClaimEntry ReadClaim(JsonMemberReader& reader) {
  ClaimEntry entry;
  entry.name = ReadKey(reader);
  entry.attempt = reader.Identifier("attempt");
  entry.issued_ms = reader.Integer("issued_ms");
  entry.deadline_ms = reader.Integer("deadline_ms");
  entry.request_digest = reader.Text("request_digest");
  return entry;
}

ReleaseEntry ReadRelease(JsonMemberReader& reader) {
  ReleaseEntry entry;
  entry.name = ReadKey(reader);
  entry.attempt = reader.Identifier("attempt");
  return entry;
}

DoneEntry ReadDone(JsonMemberReader& reader) {
  DoneEntry entry;
  entry.name = ReadKey(reader);
  entry.attempt = reader.Identifier("attempt");
  entry.outcome.status = reader.Unsigned32("status");
  entry.outcome.content_type = reader.Text("content_type");
  entry.outcome.body_digest = reader.Text("body_digest");
  entry.outcome.complete = reader.Boolean("whole");
  entry.outcome.body = reader.Text("body");
  return entry;
}

std::optional<KeyEntry> DecodeKeyEntry(const Json::Value& value) {
  JsonMemberReader reader(value);
  const std::string kind = reader.Text("kind");
  std::optional<KeyEntry> entry;
  if (kind == "claim") {
    entry = ReadClaim(reader);
  } else if (kind == "release") {
    entry = ReadRelease(reader);
  } else if (kind == "done") {
    entry = ReadDone(reader);
  }
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return entry;
}

}  // namespace

StoredOutcome MakeStoredOutcome(std::uint32_t status,
                                std::string_view content_type,
                                std::string_view body) {
  StoredOutcome outcome;
  outcome.status = status;
  outcome.content_type = content_type;
  outcome.body_digest = Sha256Hex(body);
  outcome.complete = body.size() <= kMaxStoredBodyBytes;
  if (outcome.complete) {
    outcome.body = body;
  }
  return outcome;
}

std::string EncodeKeyEntry(const KeyEntry& entry) {
  return std::visit([](const auto& item) { return WriteJson(ToJson(item)); },
                    entry);
}

DecodedRecord<KeyEntry> DecodeKeyRecord(const StreamRecord& record) {
  return DecodeRecord<KeyEntry>(record, DecodeKeyEntry);
}

}  // namespace carobbank
