// Snapshots for the log, and export and import of the state between processes.

#include "LibContract/configuration_fold.h"

namespace carobbank {

Json::Value ConfigurationExportToJson(const ConfigurationExport& exported) {
  Json::Value value;
  value["offset"] = Json::Int64(exported.offset);
  value["digest"] = exported.digest;
  value["oldest_needed_ms"] = Json::Int64(exported.oldest_needed_ms);
  Json::Value& documents = value["documents"] = Json::Value(Json::arrayValue);
  for (const ServiceRevision& revision : exported.documents) {
    documents.append(ServiceRevisionToJson(revision));
  }
  return value;
}

Result<ConfigurationExport> ConfigurationExportFromJson(
    const Json::Value& value) {
  const bool well_formed = value.isObject() && value["offset"].isInt64() &&
                           value["digest"].isString() &&
                           value["documents"].isArray();
  if (!well_formed) {
    return Fail(ErrorKind::kCorrupt,
                "configuration export with a missing or mistyped field",
                "fetch the configuration from an entry of the same version");
  }
  ConfigurationExport exported;
  exported.offset = JsonInteger(value, "offset");
  exported.digest = JsonString(value, "digest");
  exported.oldest_needed_ms = JsonInteger(value, "oldest_needed_ms");
  for (const Json::Value& member : value["documents"]) {
    BOOST_LEAF_AUTO(revision, ServiceRevisionFromJson(member));
    exported.documents.push_back(std::move(revision));
  }
  return exported;
}

ConfigurationExport ConfigurationFold::Export() const {
  ConfigurationExport exported;
  exported.offset = this->offset;
  exported.digest = this->State()->digest;
  exported.documents = ToServiceRevisions(this->services);
  if (!this->bootstrap_records.empty()) {
    exported.oldest_needed_ms = this->bootstrap_records.front().time_ms;
  }
  return exported;
}

Result<bool> ConfigurationFold::Import(const ConfigurationExport& exported) {
  if (exported.offset <= this->offset) {
    return false;
  }
  BOOST_LEAF_AUTO(services, FromServiceRevisions(exported.documents));
  if (ServicesDigest(services) != exported.digest) {
    return Fail(ErrorKind::kCorrupt,
                "the digest of a configuration export does not match its "
                "documents",
                "check that both processes run the same version");
  }
  this->services = std::move(services);
  this->SetOffset(exported.offset);
  this->bootstrap_records.clear();
  this->bootstrap_records.push_back(
      {exported.offset, exported.oldest_needed_ms});
  this->DropBufferedThrough(exported.offset);
  this->ApplyBuffered();
  return true;
}

SnapshotEntry ConfigurationFold::MakeSnapshot() const {
  SnapshotEntry entry;
  entry.through = this->offset;
  entry.digest = this->State()->digest;
  entry.services = ToServiceRevisions(this->services);
  return entry;
}

bool ConfigurationFold::SnapshotDue(WallMilliseconds now_ms,
                                    Milliseconds retention) const {
  if (this->services.empty() || this->bootstrap_records.empty()) {
    return false;
  }
  const WallMilliseconds age_ms =
      now_ms - this->bootstrap_records.front().time_ms;
  return age_ms > retention.count() / 2;
}

}  // namespace carobbank
