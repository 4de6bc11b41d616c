// The fold of the stream `configuration`: which documents are in force. Readers
// that have applied the same records hold the same state.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibContract/configuration_record.h"
#include "LibContract/configuration_state.h"
#include "LibContract/service_document.h"

namespace carobbank {

enum class PublishDecision {
  kInForce,      // replaced the revision that it was based on
  kStaleBase,    // another revision was already in force
  kInvalid,      // the document fails validation or declares another service
  kForeignTeam,  // the service belongs to another team
};

std::string_view PublishDecisionName(PublishDecision decision);

// The outcome of one publish entry.
struct PublishOutcome {
  std::string publish_id;
  std::string service;
  // The record that contains the entry.
  std::int64_t offset = kNoRevision;
  PublishDecision decision = PublishDecision::kInvalid;
  std::string detail;
  // The revision in force just before this entry, and its publisher.
  std::int64_t previous_revision = kNoRevision;
  std::string previous_publisher;
};

// The form in which processes exchange the state.
struct ConfigurationExport {
  std::int64_t offset = kNoRevision;
  std::string digest;
  // When the log appended the oldest record that a reader needs when it starts
  // without state; 0 when it needs none.
  WallMilliseconds oldest_needed_ms = 0;
  std::vector<ServiceRevision> documents;
};

Json::Value ConfigurationExportToJson(const ConfigurationExport& exported);
// Fails with kCorrupt.
Result<ConfigurationExport> ConfigurationExportFromJson(
    const Json::Value& value);

enum class ApplyResult {
  kApplied,   // the state's offset is at or above this record's
  kOld,       // at or below the state's offset; the state is unchanged
  kBuffered,  // earlier records are missing; waits for a snapshot or import
};

// Not thread-safe; the value of State() may be shared with other threads.
class ConfigurationFold {
 public:
  // Applies the record at `offset`, which the log appended at `time_ms`.
  ApplyResult Apply(std::int64_t offset,
                    WallMilliseconds time_ms,
                    std::string_view payload);

  // The offset to read next.
  std::int64_t NextOffset() const;
  // False while records before the buffered ones are missing.
  bool HasNoGap() const { return this->buffered.empty(); }

  // Never null; the same value until the next change.
  std::shared_ptr<const ConfigurationState> State() const;

  // The outcome of this publish id, for the last kMaxOutcomes ids. An outcome
  // of kInForce stays, also when a repeated append of the entry is refused.
  std::optional<PublishOutcome> OutcomeOf(std::string_view publish_id) const;

  ConfigurationExport Export() const;
  // Replaces the state by a peer's when its offset is higher; returns whether
  // that happened. Fails with kCorrupt when the documents are invalid or don't
  // match the digest.
  Result<bool> Import(const ConfigurationExport& exported);

  // A snapshot of the current state, to be appended when SnapshotDue().
  SnapshotEntry MakeSnapshot() const;
  // True when the oldest record that a reader needs when it starts without
  // state is older than half of the log's retention.
  bool SnapshotDue(WallMilliseconds now_ms, Milliseconds retention) const;

  // Entries skipped because they break the format.
  std::uint64_t Malformed() const { return this->malformed; }
  // Snapshots whose digest differs from this fold's own state, or whose
  // services are invalid or don't match their digest.
  std::uint64_t SnapshotMismatches() const { return this->mismatches; }

 private:
  struct BufferedRecord {
    std::int64_t offset = kNoRevision;
    WallMilliseconds time_ms = 0;
    ConfigurationRecord record;
    std::size_t bytes = 0;
  };

  void Buffer(BufferedRecord record);
  // Replaces the state by a snapshot in the newest buffered record, if that
  // snapshot leaves no gap before the other buffered records.
  void ApplyBufferedSnapshot();
  void DropBufferedThrough(std::int64_t offset);
  void ApplyBuffered();
  void ApplyRecord(const BufferedRecord& record);
  void ApplyEntry(const PublishEntry& entry, std::int64_t offset);
  void ApplyEntry(const SnapshotEntry& entry, std::int64_t offset);
  const ServiceInForce* Find(std::string_view service) const;
  void SetOffset(std::int64_t offset);
  void RecordOutcome(PublishOutcome outcome);

  // The last record applied. Invariant: never decreases.
  std::int64_t offset = kNoRevision;
  ServicesInForce services;
  // The last value of State(). Every change resets it, so that a long catch-up
  // builds the value once.
  mutable std::shared_ptr<const ConfigurationState> cached;

  // Records after a gap, with consecutive offsets. Invariant: empty, or the
  // first record's offset is above `offset` + 1.
  std::deque<BufferedRecord> buffered;
  std::size_t buffer_bytes = 0;

  struct BootstrapRecord {
    std::int64_t offset = kNoRevision;
    WallMilliseconds time_ms = 0;
  };
  // The records that a reader needs when it starts without state: the last
  // snapshot and every record after its `through`. Ascending offsets.
  std::deque<BootstrapRecord> bootstrap_records;

  std::map<std::string, PublishOutcome, std::less<>> outcomes;
  std::deque<std::string> outcome_order;
  std::uint64_t malformed = 0;
  std::uint64_t mismatches = 0;
};

inline constexpr std::size_t kMaxOutcomes = 4'096;
inline constexpr std::size_t kMaxBufferedRecordBytes = 32 * 1024 * 1024;

}  // namespace carobbank
