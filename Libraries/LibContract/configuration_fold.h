// The fold of the stream `configuration`: which documents are in force. Every
// reader that has seen the same records decides the same.

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
  kInForce,      // took the place of the revision that it was based on
  kStaleBase,    // another revision had come into force before it
  kInvalid,      // the document fails validation, or names another service
  kForeignTeam,  // the service belongs to another team
};

std::string_view PublishDecisionName(PublishDecision verdict);

// What became of one publish entry.
struct PublishOutcome {
  std::string publish_id;
  std::string service;
  // The record that carried it.
  std::int64_t offset = kNoRevision;
  PublishDecision decision = PublishDecision::kInvalid;
  std::string detail;
  // What it met: the revision in force just before it, and its publisher.
  std::int64_t previous_revision = kNoRevision;
  std::string previous_publisher;
};

// The form in which processes hand the state to each other.
struct ConfigurationExport {
  std::int64_t offset = kNoRevision;
  std::string digest;
  // When the log took the oldest record that a reader without memory needs; 0
  // when nothing is needed.
  WallMilliseconds oldest_needed_ms = 0;
  std::vector<ServiceRecord> documents;
};

Json::Value ConfigurationExportToJson(const ConfigurationExport& exported);
// Fails with kCorrupt.
Result<ConfigurationExport> ConfigurationExportFromJson(
    const Json::Value& value);

enum class ApplyResult {
  kApplied,   // the state's offset is now this record's
  kOld,       // at or below the state's offset; nothing changed
  kBuffered,  // records before it are missing; held until a snapshot or import
};

// Not thread-safe; State() may be handed to other threads.
class ConfigurationFold {
 public:
  // Takes the record at `offset`, which the log took at `time_ms`.
  ApplyResult Apply(std::int64_t offset,
                    WallMilliseconds time_ms,
                    std::string_view payload);

  // The offset to read next.
  std::int64_t NextOffset() const;
  // False while records before the held ones are missing.
  bool HasNoGap() const { return this->held.empty(); }

  // Never null; the same value until the next change.
  std::shared_ptr<const ConfigurationState> State() const;

  // The outcome under this publish id, for the last kMaxOutcomes ids. In force
  // once stays in force here, also when a repeated append was refused later.
  std::optional<PublishOutcome> OutcomeOf(std::string_view publish_id) const;

  ConfigurationExport Export() const;
  // Takes a peer's state when its offset is higher; returns whether it did.
  // Fails with kCorrupt when the digest contradicts the documents.
  Result<bool> Import(const ConfigurationExport& exported);

  // A snapshot of the present state, to be appended when SnapshotDue().
  SnapshotEntry MakeSnapshot() const;
  // True when the oldest record that a reader without memory needs is older
  // than half of the log's retention.
  bool SnapshotDue(WallMilliseconds now_ms, Milliseconds retention) const;

  // Entries skipped because they break the format.
  std::uint64_t Malformed() const { return this->malformed; }
  // Snapshots whose digest contradicts this fold's own state.
  std::uint64_t SnapshotMismatches() const { return this->mismatches; }

 private:
  struct HeldRecord {
    std::int64_t offset = kNoRevision;
    WallMilliseconds time_ms = 0;
    ConfigurationRecord record;
    std::size_t bytes = 0;
  };

  void Hold(HeldRecord record);
  // Starts from the newest held snapshot that leaves no gap, if there is one.
  void AdoptHeldSnapshot();
  void DropHeldThrough(std::int64_t offset);
  void ApplyHeld();
  void ApplyRecord(const HeldRecord& record);
  void ApplyEntry(const PublishEntry& entry, std::int64_t offset);
  void ApplyEntry(const SnapshotEntry& entry, std::int64_t offset);
  const ServiceInForce* Find(std::string_view service) const;
  void SetOffset(std::int64_t offset);
  void Remember(PublishOutcome outcome);

  // The last record taken in. Invariant: never decreases.
  std::int64_t offset = kNoRevision;
  ServicesInForce services;
  // What State() returned last; reset by every change, so that a long catch-up
  // builds it once.
  mutable std::shared_ptr<const ConfigurationState> cached;

  // Records after a gap, with consecutive offsets. Invariant: empty, or the
  // first one's offset is above `offset` + 1.
  std::deque<HeldRecord> held;
  std::size_t held_bytes = 0;

  struct NeededRecord {
    std::int64_t offset = kNoRevision;
    WallMilliseconds time_ms = 0;
  };
  // What a reader without memory needs: the last snapshot and what followed
  // the point that it covers. Ascending offsets.
  std::deque<NeededRecord> needed;

  std::map<std::string, PublishOutcome, std::less<>> outcomes;
  std::deque<std::string> outcome_order;
  std::uint64_t malformed = 0;
  std::uint64_t mismatches = 0;
};

inline constexpr std::size_t kMaxOutcomes = 4'096;
inline constexpr std::size_t kMaxHeldBytes = 32 * 1024 * 1024;

}  // namespace carobbank
