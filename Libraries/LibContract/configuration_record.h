// Typed records of the log's stream `configuration` (docs/PROTOCOL.md).

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

// An operator's request to put a document in force.
struct PublishEntry {
  std::string service;
  // The revision that the operator saw in force; kNoRevision for a new service.
  std::int64_t base_revision = kNoRevision;
  std::string document;
  std::string publisher;
  // Unique per request; an append repeated after a lost response keeps the id.
  std::string publish_id;

  bool operator==(const PublishEntry&) const = default;
};

// One service's revision inside a snapshot or an export.
struct ServiceRevision {
  std::string service;
  std::int64_t revision = kNoRevision;
  std::string document;
  std::string publisher;
  std::string publish_id;

  bool operator==(const ServiceRevision&) const = default;
};

// All services in force after the record at `through`, for readers that start
// when older records are past the log's retention.
struct SnapshotEntry {
  std::int64_t through = kNoRevision;
  // ServicesDigest of `services`, to detect corruption.
  std::string digest;
  std::vector<ServiceRevision> services;

  bool operator==(const SnapshotEntry&) const = default;
};

using ConfigurationEntry = std::variant<PublishEntry, SnapshotEntry>;

struct ConfigurationRecord {
  std::vector<ConfigurationEntry> entries;
  // Entries that break the format; every reader skips the same ones.
  std::size_t malformed = 0;
};

// Never fails: a payload that isn't a record counts as one malformed entry.
// Entries of an unknown kind are skipped and not counted.
ConfigurationRecord ParseConfigurationRecord(std::string_view payload);
std::string WriteConfigurationRecord(
    std::span<const ConfigurationEntry> entries);

Json::Value ServiceRevisionToJson(const ServiceRevision& service);
// Fails with kCorrupt.
Result<ServiceRevision> ServiceRevisionFromJson(const Json::Value& value);

}  // namespace carobbank
