// A log of partitioned topics that keeps the newest record of every key, with
// conditional appends and membership groups. One adapter speaks it to a
// platform.

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
  // It may have been appended, or may be later.
  kUnknown,
};

struct AppendOutcome {
  AppendStatus status = AppendStatus::kUnknown;
  // kAppended: offset of the first record.
  std::uint64_t offset = 0;
  // kAppended: where the partition ends then.
  std::uint64_t end = 0;
  // Why it failed, for log lines.
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
  // Every record before it is in `records` or was replaced by a newer one.
  std::uint64_t end = 0;
};

struct GroupMembership {
  std::int64_t generation = 0;
  std::vector<TopicPartition> partitions;
};

// Which member of a group a partition is shared out to.
struct PartitionOwner {
  TopicPartition partition;
  std::string member;
};

class PartitionedLog {
 public:
  virtual ~PartitionedLog() = default;

  using AppendCallback = std::function<void(AppendOutcome)>;
  // All or nothing, and only while the partition ends at `expected_end`.
  virtual void Append(const TopicPartition& part,
                      const std::vector<KeyedRecord>& records,
                      std::uint64_t expected_end,
                      AppendCallback callback) = 0;

  using ReadCallback = std::function<void(Outcome<KeyedLogPage>)>;
  // Waits up to `wait` for a record at `from`; a log that has not answered
  // `patience` later is taken for unreachable. Errors: kExpired when records
  // from there on are gone (take a snapshot), kNotFound for a topic without
  // any record, else kUnavailable.
  virtual void Read(const TopicPartition& part,
                    std::uint64_t from,
                    Milliseconds wait,
                    Milliseconds patience,
                    ReadCallback callback) = 0;

  using SnapshotCallback = std::function<void(Outcome<KeyedSnapshot>)>;
  // Errors: kNotFound and kUnavailable as for Read().
  virtual void ReadSnapshot(const TopicPartition& part,
                            SnapshotCallback callback) = 0;

  using JoinCallback = std::function<void(Outcome<GroupMembership>)>;
  // Joins the group that shares out the topic's partitions, or stays in it.
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
