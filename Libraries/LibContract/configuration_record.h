// Records of the log's stream `configuration` (docs/PROTOCOL.md), typed.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

inline constexpr std::string_view kConfigurationStream = "configuration";

// The revision of a service that has none, and the offset of no record.
inline constexpr std::int64_t kNoRevision = -1;

// An operator's wish to put a document in force.
struct PublishEntry {
  std::string service;
  // The revision that the operator saw in force; kNoRevision for a new service.
  std::int64_t base_revision = kNoRevision;
  std::string document;
  std::string publisher;
  // Unique per wish; an append repeated after a lost answer keeps it.
  std::string publish_id;

  bool operator==(const PublishEntry&) const = default;
};

// One service inside a snapshot or an export.
struct ServiceRecord {
  std::string service;
  std::int64_t revision = kNoRevision;
  std::string document;
  std::string publisher;
  std::string publish_id;

  bool operator==(const ServiceRecord&) const = default;
};

// Everything in force after the record at `through`, for readers that come when
// older records have passed the log's retention.
struct SnapshotEntry {
  std::int64_t through = kNoRevision;
  // Digest of the services, to detect damage.
  std::string digest;
  std::vector<ServiceRecord> services;

  bool operator==(const SnapshotEntry&) const = default;
};

using ConfigurationEntry = std::variant<PublishEntry, SnapshotEntry>;

struct ConfigurationRecord {
  std::vector<ConfigurationEntry> entries;
  // Entries that break the format; every reader skips them alike.
  std::size_t malformed = 0;
};

// Never fails: a payload that is no record counts as one malformed entry.
// Entries of a kind that is not known are skipped in silence.
ConfigurationRecord ParseConfigurationRecord(std::string_view payload);
std::string WriteConfigurationRecord(
    std::span<const ConfigurationEntry> entries);

Json::Value ServiceRecordToJson(const ServiceRecord& record);
// Fails with kCorrupt.
Result<ServiceRecord> ServiceRecordFromJson(const Json::Value& value);

}  // namespace carobbank
