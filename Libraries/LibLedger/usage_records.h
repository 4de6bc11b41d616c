// How many requests of each workspace servers began to run, by time window: the
// types and the log records of usage reports.
//
// Two topics hold them. In the counts topic each process keeps its own counts
// of a window under one key; a newer record replaces the counts of an older
// one. In the reports topic one key per window holds the decided report.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

// Requests of each workspace.
using UsageCounts = std::map<std::string, std::int64_t, std::less<>>;

// Window k begins k window lengths after the Unix epoch.
struct UsageReport {
  std::int64_t window = 0;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

std::int64_t UsageWindowAt(WallMilliseconds at, Milliseconds length);
WallMilliseconds UsageWindowEnd(std::int64_t window, Milliseconds length);

// The counts of one process so far.
struct UsageCountsRecord {
  std::int64_t window = 0;
  // Unique to a process: the instance and its start.
  std::string process;
  // Distinguishes keys of one process and window. A process changes it after an
  // append without an answer, since that append may take effect late and must
  // not replace newer counts.
  std::int64_t epoch = 0;
  // Increases with each record of the process.
  std::int64_t sequence = 0;
  UsageCounts counts;
};

struct UsageReportRecord {
  UsageReport report;
  // The receiver has confirmed the report.
  bool sent = false;
};

KeyedRecord EncodeUsageCounts(const UsageCountsRecord& record);
KeyedRecord EncodeUsageReport(const UsageReportRecord& record);

// The key's part of a counts record; without sequence and counts.
std::optional<UsageCountsRecord> DecodeUsageCountsKey(std::string_view key);
// Empty when the record is malformed; its value must not be empty.
std::optional<UsageCountsRecord> DecodeUsageCounts(const KeyedRecord& record);
std::optional<std::int64_t> DecodeUsageReportKey(std::string_view key);
std::optional<UsageReportRecord> DecodeUsageReport(const KeyedRecord& record);

}  // namespace carobbank
