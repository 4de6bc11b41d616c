// Client interface to a log of partitioned, compacted topics, which retains the
// newest record of every key. Appends may be conditional, and groups assign
// partitions to their members. Each platform has its own adapter.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct TopicPartition {
  std::string topic;
  std::int64_t partition = 0;

  auto operator<=>(const TopicPartition&) const = default;
};

struct KeyedLogRecord {
  std::uint64_t offset = 0;
  KeyedRecord record;
};

enum class AppendStatus {
  kAppended,
  // The partition didn't end at the expected offset; nothing was appended.
  kConflict,
  // Nothing was appended; try again later.
  kRefused,
  // The records may have been appended, or may still be appended later.
  kUnknown,
};

struct AppendOutcome {
  AppendStatus status = AppendStatus::kUnknown;
  // kAppended: offset of the first record.
  std::uint64_t offset = 0;
  // kAppended: end offset of the partition after the append.
  std::uint64_t end = 0;
  // Why the append failed, for log lines.
  std::string reason;
};

struct KeyedLogPage {
  // In order of offset.
  std::vector<KeyedLogRecord> records;
  // The offset to read from next.
  std::uint64_t next = 0;
  // One past the partition's last record.
  std::uint64_t end = 0;
};

// The newest record of each key, in order of offset.
struct KeyedSnapshot {
  std::vector<KeyedLogRecord> records;
  // Every record before `end` is in `records` or was replaced by a newer one,
  // unless it is missing or unreadable.
  std::uint64_t end = 0;
  // Number of records whose key or value could not be decoded.
  std::size_t unreadable_records = 0;
  // Why records of other keys are missing, or empty when none are. The log is
  // then read on from its oldest retained record: `end` is the offset of that.
  std::string missing;
};

struct GroupMembership {
  std::int64_t generation = 0;
  std::vector<TopicPartition> partitions;
};

// The group member that a partition is assigned to.
struct PartitionOwner {
  TopicPartition partition;
  std::string member;
};

class PartitionedLog {
 public:
  virtual ~PartitionedLog() = default;

  using AppendCallback = std::function<void(AppendOutcome)>;
  // Appends all records or none, and only if the partition ends at
  // `expected_end`, if given.
  virtual void Append(const TopicPartition& partition,
                      const std::vector<KeyedRecord>& records,
                      std::optional<std::uint64_t> expected_end,
                      AppendCallback callback) = 0;

  using ReadCallback = std::function<void(Outcome<KeyedLogPage>)>;
  // A long poll waits up to `wait` for a record at `from`; a log that has not
  // responded after `wait` plus `response_timeout` counts as unreachable.
  // Errors: kExpired when records from `from` on are no longer retained (read
  // a snapshot), kNotFound for a topic without any record, else kUnavailable.
  virtual void Read(const TopicPartition& partition,
                    std::uint64_t from,
                    Milliseconds wait,
                    Milliseconds response_timeout,
                    ReadCallback callback) = 0;

  using SnapshotCallback = std::function<void(Outcome<KeyedSnapshot>)>;
  // Errors: kNotFound and kUnavailable as for Read().
  virtual void ReadSnapshot(const TopicPartition& partition,
                            SnapshotCallback callback) = 0;

  using JoinCallback = std::function<void(Outcome<GroupMembership>)>;
  // Joins the group that assigns the topic's partitions, or renews the
  // membership.
  virtual void Join(std::string_view group,
                    std::string_view member,
                    std::string_view topic,
                    std::int64_t generation,
                    JoinCallback callback) = 0;
  virtual void Leave(std::string_view group, std::string_view member) = 0;

  using OwnersCallback =
      std::function<void(Outcome<std::vector<PartitionOwner>>)>;
  // Partitions without an owner are left out. Errors: kNotFound for a group
  // that never had a member, kUnavailable, kCorrupt.
  virtual void ReadOwners(std::string_view group, OwnersCallback callback) = 0;
};

}  // namespace carobbank
