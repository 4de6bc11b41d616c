// Codec of the records, and when they are appended and deleted.

#include "stream_origins.h"

#include "request_record_log.h"

namespace carobbank {

namespace {

constexpr std::string_view kPrefix = "o/";
// All gateways read of a new version at about the same time. The first one that
// appends the record spares the others the append.
constexpr std::uint64_t kRecordSpreadMs = 300;

}  // namespace

KeyedRecord EncodeStreamOrigin(const StreamOrigin& origin) {
  Json::Value value;
  value["host"] = origin.host;
  value["path"] = origin.path_prefix;
  value["service"] = origin.service;
  value["software"] = origin.software_version;
  std::string text = WriteJson(value);
  // A key of the log has at most 255 bytes.
  std::string key = std::string(kPrefix) + Sha256Hex(text);
  return {std::move(key), std::move(text)};
}

bool IsStreamOriginKey(std::string_view key) {
  return key.starts_with(kPrefix);
}

std::optional<StreamOrigin> DecodeStreamOrigin(const KeyedRecord& record) {
  const std::optional<Json::Value> body = ParseJsonObject(record.value);
  if (!IsStreamOriginKey(record.key) || !body) {
    return std::nullopt;
  }
  StreamOrigin origin;
  origin.host = JsonString(*body, "host");
  origin.path_prefix = JsonString(*body, "path");
  origin.service = JsonString(*body, "service");
  origin.software_version = JsonString(*body, "software");
  if (origin.path_prefix.empty() || origin.service.empty()) {
    return std::nullopt;
  }
  return origin;
}

void StreamOrigins::Update() {
  if (!this->environment.configuration) {
    return;
  }
  this->table.SetPresent(OriginsOf(this->environment.configuration->routes,
                                   this->environment.fleet.All()),
                         this->environment.clock.BootNow());
  this->RecordMissing();
}

void StreamOrigins::RecordMissing() {
  if (!this->log.Synced()) {
    return;
  }
  for (const StreamOrigin& origin : this->table.Unrecorded()) {
    const KeyedRecord record = EncodeStreamOrigin(origin);
    if (this->log.Awaits(record)) {
      continue;
    }
    // Without any record no stream can begin.
    const bool others =
        this->table.HasRecordFor(origin.host, origin.path_prefix);
    const std::uint64_t delay_ms =
        others ? this->environment.random.Next() % kRecordSpreadMs : 0;
    this->log.Record(origin, Milliseconds(delay_ms));
  }
}

bool StreamOrigins::MayBegin(const HostRoute& route,
                             const FleetServer& server) const {
  return !route.streaming || !this->log.Started() ||
         this->table.IsRecorded(route, server);
}

void StreamOrigins::RemoveUnused() {
  for (const StreamOrigin& origin : this->table.Unused(
           this->environment.clock.BootNow(), StreamVersions::kRetention)) {
    if (!this->log.Awaits({EncodeStreamOrigin(origin).key, ""})) {
      this->log.Remove(origin);
    }
  }
}

void StreamOrigins::OnRecord(const StreamOrigin& origin) {
  this->table.OnRecorded(origin, this->environment.clock.BootNow());
}

void StreamOrigins::OnRemoved(std::string_view key) {
  for (const StreamOrigin& origin : this->Recorded()) {
    if (EncodeStreamOrigin(origin).key == key) {
      this->table.OnRemoved(origin);
    }
  }
}

std::vector<StreamOrigin> StreamOrigins::Recorded() const {
  std::vector<StreamOrigin> recorded;
  for (const auto& [origin, last_present] : this->table.Recorded()) {
    recorded.push_back(origin);
  }
  return recorded;
}

}  // namespace carobbank
