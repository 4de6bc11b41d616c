// Snapshots for the log, and the exchange of the state between processes.

#include "LibContract/configuration_fold.h"

namespace carobbank {

Json::Value ConfigurationExportToJson(const ConfigurationExport& exported) {
  Json::Value value;
  value["offset"] = Json::Int64(exported.offset);
  value["digest"] = exported.digest;
  value["oldest_needed_ms"] = Json::Int64(exported.oldest_needed_ms);
  Json::Value& documents = value["documents"] = Json::Value(Json::arrayValue);
  for (const ServiceRecord& record : exported.documents) {
    documents.append(ServiceRecordToJson(record));
  }
  return value;
}

Result<ConfigurationExport> ConfigurationExportFromJson(
    const Json::Value& value) {
  const bool whole = value.isObject() && value["offset"].isInt64() &&
                     value["digest"].isString() && value["documents"].isArray();
  if (!whole) {
    return Fail(ErrorKind::kCorrupt, "not an exported configuration",
                "ask an entry of the same version for its configuration");
  }
  ConfigurationExport exported;
  exported.offset = JsonInteger(value, "offset");
  exported.digest = JsonString(value, "digest");
  exported.oldest_needed_ms = JsonInteger(value, "oldest_needed_ms");
  for (const Json::Value& member : value["documents"]) {
    BOOST_LEAF_AUTO(record, ServiceRecordFromJson(member));
    exported.documents.push_back(std::move(record));
  }
  return exported;
}

ConfigurationExport ConfigurationFold::Export() const {
  ConfigurationExport exported;
  exported.offset = this->offset;
  exported.digest = this->State()->digest;
  exported.documents = ToServiceRecords(this->services);
  if (!this->needed.empty()) {
    exported.oldest_needed_ms = this->needed.front().time_ms;
  }
  return exported;
}

Result<bool> ConfigurationFold::Import(const ConfigurationExport& exported) {
  if (exported.offset <= this->offset) {
    return false;
  }
  BOOST_LEAF_AUTO(services, FromServiceRecords(exported.documents));
  if (ServicesDigest(services) != exported.digest) {
    return Fail(ErrorKind::kCorrupt,
                "the digest of an exported configuration contradicts it",
                "check that both processes run the same version");
  }
  this->services = std::move(services);
  this->SetOffset(exported.offset);
  this->needed.clear();
  this->needed.push_back({exported.offset, exported.oldest_needed_ms});
  this->DropHeldThrough(exported.offset);
  this->ApplyHeld();
  return true;
}

SnapshotEntry ConfigurationFold::MakeSnapshot() const {
  SnapshotEntry entry;
  entry.through = this->offset;
  entry.digest = this->State()->digest;
  entry.services = ToServiceRecords(this->services);
  return entry;
}

bool ConfigurationFold::SnapshotDue(WallMilliseconds now_ms,
                                    Milliseconds retention) const {
  if (this->services.empty() || this->needed.empty()) {
    return false;
  }
  const WallMilliseconds age_ms = now_ms - this->needed.front().time_ms;
  return age_ms > retention.count() / 2;
}

}  // namespace carobbank
