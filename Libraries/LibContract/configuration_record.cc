// The JSON form of configuration records.

#include "LibContract/configuration_record.h"

#include <optional>

namespace carobbank {

namespace {

bool HasText(const Json::Value& value, const char* key) {
  return value.isObject() && value[key].isString();
}

bool HasOffset(const Json::Value& value, const char* key) {
  return value.isObject() && value[key].isInt64() &&
         value[key].asInt64() >= kNoRevision;
}

std::optional<PublishEntry> ParsePublish(const Json::Value& value) {
  const bool whole = HasText(value, "service") &&
                     HasOffset(value, "base_revision") &&
                     HasText(value, "document") && HasText(value, "publish_id");
  if (!whole) {
    return std::nullopt;
  }
  PublishEntry entry;
  entry.service = JsonString(value, "service");
  entry.base_revision = JsonInteger(value, "base_revision");
  entry.document = JsonString(value, "document");
  entry.publisher = JsonString(value, "publisher");
  entry.publish_id = JsonString(value, "publish_id");
  return entry;
}

std::optional<SnapshotEntry> ParseSnapshot(const Json::Value& value) {
  const bool whole = HasOffset(value, "through") && HasText(value, "digest") &&
                     value["services"].isArray();
  if (!whole) {
    return std::nullopt;
  }
  SnapshotEntry entry;
  entry.through = JsonInteger(value, "through");
  entry.digest = JsonString(value, "digest");
  for (const Json::Value& member : value["services"]) {
    auto record = Capture([&] { return ServiceRecordFromJson(member); });
    if (!record.Ok()) {
      return std::nullopt;
    }
    entry.services.push_back(std::move(record.Value()));
  }
  return entry;
}

template <typename Entry>
void Take(std::optional<Entry> entry, ConfigurationRecord& record) {
  if (entry) {
    record.entries.emplace_back(std::move(*entry));
  } else {
    ++record.malformed;
  }
}

void ParseEntry(const Json::Value& value, ConfigurationRecord& record) {
  if (!HasText(value, "kind")) {
    ++record.malformed;
    return;
  }
  const std::string kind = JsonString(value, "kind");
  if (kind == "document") {
    Take(ParsePublish(value), record);
  } else if (kind == "snapshot") {
    Take(ParseSnapshot(value), record);
  }
}

Json::Value EntryToJson(const PublishEntry& entry) {
  Json::Value value;
  value["kind"] = "document";
  value["service"] = entry.service;
  value["base_revision"] = Json::Int64(entry.base_revision);
  value["document"] = entry.document;
  value["publisher"] = entry.publisher;
  value["publish_id"] = entry.publish_id;
  return value;
}

Json::Value EntryToJson(const SnapshotEntry& entry) {
  Json::Value value;
  value["kind"] = "snapshot";
  value["through"] = Json::Int64(entry.through);
  value["digest"] = entry.digest;
  Json::Value& services = value["services"] = Json::Value(Json::arrayValue);
  for (const ServiceRecord& record : entry.services) {
    services.append(ServiceRecordToJson(record));
  }
  return value;
}

}  // namespace

ConfigurationRecord ParseConfigurationRecord(std::string_view payload) {
  ConfigurationRecord record;
  const std::optional<Json::Value> value = ParseJsonObject(payload);
  if (!value || !(*value)["entries"].isArray()) {
    record.malformed = 1;
    return record;
  }
  for (const Json::Value& entry : (*value)["entries"]) {
    ParseEntry(entry, record);
  }
  return record;
}

std::string WriteConfigurationRecord(
    std::span<const ConfigurationEntry> entries) {
  Json::Value value;
  Json::Value& list = value["entries"] = Json::Value(Json::arrayValue);
  for (const ConfigurationEntry& entry : entries) {
    list.append(std::visit([](const auto& typed) { return EntryToJson(typed); },
                           entry));
  }
  return WriteJson(value);
}

Json::Value ServiceRecordToJson(const ServiceRecord& record) {
  Json::Value value;
  value["service"] = record.service;
  value["revision"] = Json::Int64(record.revision);
  value["document"] = record.document;
  value["publisher"] = record.publisher;
  value["publish_id"] = record.publish_id;
  return value;
}

Result<ServiceRecord> ServiceRecordFromJson(const Json::Value& value) {
  const bool whole = HasText(value, "service") &&
                     HasOffset(value, "revision") && HasText(value, "document");
  if (!whole) {
    return Fail(ErrorKind::kCorrupt, "not a service in force",
                "read it from a carobbank process of the same version");
  }
  ServiceRecord record;
  record.service = JsonString(value, "service");
  record.revision = JsonInteger(value, "revision");
  record.document = JsonString(value, "document");
  record.publisher = JsonString(value, "publisher");
  record.publish_id = JsonString(value, "publish_id");
  return record;
}

}  // namespace carobbank
