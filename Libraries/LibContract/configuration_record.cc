// The JSON form of configuration records.

#include "LibContract/configuration_record.h"

#include <optional>

namespace carobbank {

namespace {

bool HasString(const Json::Value& value, const char* key) {
  return value.isObject() && value[key].isString();
}

bool HasOffset(const Json::Value& value, const char* key) {
  return value.isObject() && value[key].isInt64() &&
         value[key].asInt64() >= kNoRevision;
}

std::optional<PublishEntry> ParsePublish(const Json::Value& value) {
  const bool well_formed =
      HasString(value, "service") && HasOffset(value, "base_revision") &&
      HasString(value, "document") && HasString(value, "publish_id");
  if (!well_formed) {
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
  const bool well_formed = HasOffset(value, "through") &&
                           HasString(value, "digest") &&
                           value["services"].isArray();
  if (!well_formed) {
    return std::nullopt;
  }
  SnapshotEntry entry;
  entry.through = JsonInteger(value, "through");
  entry.digest = JsonString(value, "digest");
  for (const Json::Value& member : value["services"]) {
    auto service = Capture([&] { return ServiceRevisionFromJson(member); });
    if (!service.Ok()) {
      return std::nullopt;
    }
    entry.services.push_back(std::move(service.Value()));
  }
  return entry;
}

template <typename Entry>
void AddEntry(std::optional<Entry> entry, ConfigurationRecord& record) {
  if (entry) {
    record.entries.emplace_back(std::move(*entry));
  } else {
    ++record.malformed;
  }
}

void ParseEntry(const Json::Value& value, ConfigurationRecord& record) {
  if (!HasString(value, "kind")) {
    ++record.malformed;
    return;
  }
  const std::string kind = JsonString(value, "kind");
  if (kind == "document") {
    AddEntry(ParsePublish(value), record);
  } else if (kind == "snapshot") {
    AddEntry(ParseSnapshot(value), record);
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
  for (const ServiceRevision& service : entry.services) {
    services.append(ServiceRevisionToJson(service));
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

Json::Value ServiceRevisionToJson(const ServiceRevision& service) {
  Json::Value value;
  value["service"] = service.service;
  value["revision"] = Json::Int64(service.revision);
  value["document"] = service.document;
  value["publisher"] = service.publisher;
  value["publish_id"] = service.publish_id;
  return value;
}

Result<ServiceRevision> ServiceRevisionFromJson(const Json::Value& value) {
  const bool well_formed = HasString(value, "service") &&
                           HasOffset(value, "revision") &&
                           HasString(value, "document");
  if (!well_formed) {
    return Fail(ErrorKind::kCorrupt,
                "service revision with a missing or mistyped field",
                "fetch it from a carobbank process of the same version");
  }
  ServiceRevision service;
  service.service = JsonString(value, "service");
  service.revision = JsonInteger(value, "revision");
  service.document = JsonString(value, "document");
  service.publisher = JsonString(value, "publisher");
  service.publish_id = JsonString(value, "publish_id");
  return service;
}

}  // namespace carobbank
