// JSON forms of the entries of `servers` and `versions`.

#include "LibLedger/server_entries.h"

#include <optional>

#include "LibLedger/json_member_reader.h"
#include "LibLedger/record_codec.h"

namespace carobbank {

namespace {

Json::Value ToJson(const SidecarStartEntry& entry) {
  Json::Value value;
  value["kind"] = "sidecar";
  value["instance"] = entry.instance;
  value["incarnation"] = Json::UInt64(entry.incarnation);
  return value;
}

Json::Value ToJson(const CrashEntry& entry) {
  Json::Value value;
  value["kind"] = "crash";
  value["instance"] = entry.instance;
  value["incarnation"] = Json::UInt64(entry.incarnation);
  value["complete"] = entry.lists_all_work;
  value["digests"] = Json::Value(Json::arrayValue);
  for (const std::string& digest : entry.digests) {
    value["digests"].append(digest);
  }
  return value;
}

Json::Value ToJson(const QuarantineEntry& entry) {
  Json::Value value;
  value["kind"] = "quarantine";
  value["digest"] = entry.digest;
  return value;
}

Json::Value ToJson(const ClearEntry& entry) {
  Json::Value value;
  value["kind"] = "clear";
  value["digest"] = entry.digest;
  return value;
}

CrashEntry ReadCrash(JsonMemberReader& reader) {
  CrashEntry entry;
  entry.instance = reader.Identifier("instance");
  entry.incarnation = reader.Unsigned("incarnation");
  entry.lists_all_work = reader.Boolean("complete");
  for (const Json::Value& digest : reader.Array("digests")) {
    if (!digest.isString() || digest.asString().empty()) {
      reader.Reject();
      return {};
    }
    entry.digests.push_back(digest.asString());
  }
  return entry;
}

std::optional<ServerEntry> DecodeServerEntry(const Json::Value& value) {
  JsonMemberReader reader(value);
  const std::string kind = reader.Text("kind");
  std::optional<ServerEntry> entry;
  if (kind == "sidecar") {
    entry = SidecarStartEntry{reader.Identifier("instance"),
                              reader.Unsigned("incarnation")};
  } else if (kind == "crash") {
    entry = ReadCrash(reader);
  } else if (kind == "quarantine") {
    entry = QuarantineEntry{reader.Identifier("digest")};
  } else if (kind == "clear") {
    entry = ClearEntry{reader.Identifier("digest")};
  }
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return entry;
}

std::optional<AnnounceEntry> DecodeAnnounceEntry(const Json::Value& value) {
  JsonMemberReader reader(value);
  const bool announce = reader.Text("kind") == "announce";
  AnnounceEntry entry{reader.Identifier("model"), reader.Unsigned("version")};
  if (!announce || !reader.Ok() || entry.version == 0) {
    return std::nullopt;
  }
  return entry;
}

}  // namespace

std::string EncodeServerEntry(const ServerEntry& entry) {
  return std::visit([](const auto& item) { return WriteJson(ToJson(item)); },
                    entry);
}

DecodedRecord<ServerEntry> DecodeServerRecord(const StreamRecord& record) {
  return DecodeRecord<ServerEntry>(record, DecodeServerEntry);
}

std::string EncodeAnnounceEntry(const AnnounceEntry& entry) {
  Json::Value value;
  value["kind"] = "announce";
  value["model"] = entry.model;
  value["version"] = Json::UInt64(entry.version);
  return WriteJson(value);
}

DecodedRecord<AnnounceEntry> DecodeVersionRecord(const StreamRecord& record) {
  return DecodeRecord<AnnounceEntry>(record, DecodeAnnounceEntry);
}

}  // namespace carobbank
