// Which streams are shared, and the codec of their records.

#include "stream_versions.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "request_record_log.h"

namespace carobbank {

namespace {

constexpr std::string_view kPrefix = "s/";
constexpr std::string_view kHashPrefix = "sha256:";
constexpr std::size_t kMaxIdBytes = 128;

bool IsPlain(char c) {
  constexpr std::string_view kMarks = "-._~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kMarks.find(c) != std::string_view::npos;
}

// Keys in the log of an earlier release of this program may hold any id.
bool IsIdInLog(std::string_view id) {
  constexpr std::size_t kHashBytes = 64;
  if (id.starts_with(kHashPrefix)) {
    id.remove_prefix(kHashPrefix.size());
    return id.size() == kHashBytes &&
           std::all_of(id.begin(), id.end(), IsPlain);
  }
  return id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), IsPlain);
}

bool Differs(const StreamOrigin& known,
             std::string_view service,
             std::string_view software_version) {
  return known.software_version != software_version ||
         (!service.empty() && !known.service.empty() &&
          known.service != service);
}

}  // namespace

std::string StreamIdInLog(std::string_view request_id) {
  if (request_id.size() <= kMaxIdBytes &&
      std::all_of(request_id.begin(), request_id.end(), IsPlain)) {
    return std::string(request_id);
  }
  return std::string(kHashPrefix) + Sha256Hex(request_id);
}

KeyedRecord EncodeStreamVersion(const StreamVersion& stream) {
  Json::Value value;
  if (!stream.service.empty()) {
    value["service"] = stream.service;
  }
  value["software"] = stream.software_version;
  if (stream.software_version.empty()) {
    value["ambiguous"] = true;
  }
  value["at"] = Json::Int64(stream.at);
  return {std::string(kPrefix) + stream.request_id, WriteJson(value)};
}

bool IsStreamVersionKey(std::string_view key) {
  return key.starts_with(kPrefix);
}

std::optional<StreamVersion> DecodeStreamVersion(const KeyedRecord& record) {
  if (!IsStreamVersionKey(record.key)) {
    return std::nullopt;
  }
  StreamVersion stream;
  stream.request_id = record.key.substr(kPrefix.size());
  if (!IsIdInLog(stream.request_id)) {
    stream.request_id = StreamIdInLog(stream.request_id);
  }
  if (record.value.empty()) {
    return stream;
  }
  const std::optional<Json::Value> body = ParseJsonObject(record.value);
  if (!body || (JsonString(*body, "software").empty() &&
                !JsonBoolean(*body, "ambiguous", false))) {
    return std::nullopt;
  }
  stream.service = JsonString(*body, "service");
  stream.software_version = JsonString(*body, "software");
  stream.at = JsonInteger(*body, "at");
  return stream;
}

void StreamVersions::OnBegun(std::string_view request_id,
                             const StreamOrigin& origin) {
  if (request_id.empty()) {
    return;
  }
  const auto [found, is_new] = this->streams.try_emplace(
      StreamIdInLog(request_id),
      Stream{origin, this->environment.clock.WallNow()});
  Stream& stream = found->second;
  if (Differs(stream.origin, origin.service, origin.software_version)) {
    this->SetAmbiguous(found->first, stream);
  } else if (!stream.shared && this->NeedsRecord(origin)) {
    this->Share(found->first, stream);
  } else if (!stream.shared) {
    this->unshared_origins.insert(origin);
  }
}

void StreamVersions::OnBegun(std::string_view request_id,
                             const StreamOrigin& origin,
                             const StreamServer& server) {
  Unconfirmed stream{std::string(request_id), origin, server};
  if (!this->Resolve(stream)) {
    this->unconfirmed.push_back(std::move(stream));
  }
}

void StreamVersions::ConfirmStarts() {
  std::erase_if(this->unconfirmed, [this](const Unconfirmed& stream) {
    return this->Resolve(stream);
  });
}

bool StreamVersions::Resolve(const Unconfirmed& stream) {
  switch (StartOf(this->environment.fleet, stream.server)) {
    case StreamServerStart::kConfirmed:
      this->OnBegun(stream.request_id, stream.origin);
      return true;
    case StreamServerStart::kRefuted:
      this->OnRefuted(stream);
      return true;
    case StreamServerStart::kUnconfirmed:
      return false;
    case StreamServerStart::kGone:
      break;
  }
  return true;
}

void StreamVersions::OnRefuted(const Unconfirmed& stream) {
  WriteLog(LogLevel::kWarning,
           "stream can't be taken up: its server had restarted",
           {{"stream", stream.request_id},
            {"server", stream.server.id},
            {"server_started_at", std::to_string(stream.server.started_at)}});
  const auto [found, is_new] = this->streams.try_emplace(
      StreamIdInLog(stream.request_id),
      Stream{stream.origin, this->environment.clock.WallNow()});
  this->SetAmbiguous(found->first, found->second);
}

bool StreamVersions::NeedsRecord(const StreamOrigin& origin) const {
  return !this->origins.Only(origin.host, origin.path_prefix) ||
         this->log.SharesWithPeersOnly();
}

void StreamVersions::SetAmbiguous(const std::string& request_id,
                                  Stream& stream) {
  if (!stream.origin.software_version.empty()) {
    stream.origin.software_version.clear();
    this->Share(request_id, stream);
  }
}

void StreamVersions::ShareMixed() {
  std::set<StreamOrigin> needed;
  for (const StreamOrigin& origin : this->unshared_origins) {
    if (this->NeedsRecord(origin)) {
      needed.insert(origin);
    }
  }
  if (needed.empty()) {
    return;
  }
  for (auto& [request_id, stream] : this->streams) {
    if (!stream.shared && needed.contains(stream.origin)) {
      this->Share(request_id, stream);
    }
  }
  for (const StreamOrigin& origin : needed) {
    this->unshared_origins.erase(origin);
  }
}

void StreamVersions::Share(const std::string& request_id, Stream& stream) {
  stream.shared = true;
  this->log.Record(StreamVersion{request_id, stream.origin.service,
                                 stream.origin.software_version, stream.at});
}

std::optional<StreamVersion> StreamVersions::Find(
    std::string_view request_id) const {
  const auto found = this->streams.find(StreamIdInLog(request_id));
  if (found == this->streams.end()) {
    return std::nullopt;
  }
  const StreamOrigin& origin = found->second.origin;
  return StreamVersion{found->first, origin.service, origin.software_version,
                       found->second.at};
}

void StreamVersions::OnRecord(const StreamVersion& stream) {
  const auto [found, is_new] = this->streams.try_emplace(
      stream.request_id,
      Stream{
          {"", "", stream.service, stream.software_version}, stream.at, true});
  Stream& known = found->second;
  if (is_new ||
      !Differs(known.origin, stream.service, stream.software_version)) {
    return;
  }
  if (known.IsOwn()) {
    this->SetAmbiguous(found->first, known);
  }
  known.origin.software_version.clear();
}

void StreamVersions::OnRemoved(std::string_view request_id) {
  const auto found = this->streams.find(request_id);
  if (found != this->streams.end()) {
    this->streams.erase(found);
  }
}

void StreamVersions::Reset() {
  std::erase_if(this->streams,
                [](const auto& entry) { return !entry.second.IsOwn(); });
}

std::vector<StreamVersion> StreamVersions::Shared() const {
  std::vector<StreamVersion> shared;
  for (const auto& [request_id, stream] : this->streams) {
    if (stream.shared) {
      shared.push_back({request_id, stream.origin.service,
                        stream.origin.software_version, stream.at});
    }
  }
  return shared;
}

void StreamVersions::RemoveOld(bool remove_records) {
  const WallMilliseconds oldest =
      this->environment.clock.WallNow() - kRetention.count();
  std::erase_if(this->unconfirmed, [oldest](const Unconfirmed& stream) {
    return stream.server.answered_at < oldest;
  });
  std::erase_if(this->streams, [&](const auto& entry) {
    const auto& [request_id, stream] = entry;
    const bool old = stream.at < oldest;
    if (old && stream.shared && remove_records) {
      this->log.Remove(StreamVersion{request_id, "", "", 0});
    }
    return old && (remove_records || !stream.shared);
  });
}

}  // namespace carobbank
