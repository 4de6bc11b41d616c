// Application of log records to the configuration in force. docs/PROTOCOL.md
// gives the form of the records.

#include "LibContract/configuration_fold.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace carobbank {

namespace {

// The decision on a publish entry, given the revision in force.
struct PublishCheck {
  PublishDecision decision = PublishDecision::kInForce;
  std::string detail;
};

PublishCheck CheckPublish(const PublishEntry& entry,
                          const ValidationResult<ServiceDocument>& parsed,
                          const ServiceInForce* current) {
  if (!parsed.Ok()) {
    return {PublishDecision::kInvalid, parsed.report.ToError().Text()};
  }
  if (parsed.value.name != entry.service) {
    return {PublishDecision::kInvalid,
            "the document names the service '" + parsed.value.name + "'"};
  }
  if (current != nullptr && current->document.team != parsed.value.team) {
    return {PublishDecision::kForeignTeam,
            "the service belongs to the team '" + current->document.team + "'"};
  }
  const std::int64_t in_force =
      current == nullptr ? kNoRevision : current->revision;
  if (in_force != entry.base_revision) {
    return {PublishDecision::kStaleBase,
            "based on revision " + std::to_string(entry.base_revision) +
                " while " + std::to_string(in_force) + " was in force"};
  }
  return {};
}

}  // namespace

std::string_view PublishDecisionName(PublishDecision decision) {
  switch (decision) {
    case PublishDecision::kInForce:
      return "in_force";
    case PublishDecision::kStaleBase:
      return "stale_base";
    case PublishDecision::kInvalid:
      return "invalid";
    case PublishDecision::kForeignTeam:
      return "foreign_team";
  }
  return "invalid";
}

std::shared_ptr<const ConfigurationState> ConfigurationFold::State() const {
  if (!this->cached) {
    ConfigurationState state;
    state.offset = this->offset;
    state.services = this->services;
    state.digest = ServicesDigest(this->services);
    this->cached = std::make_shared<const ConfigurationState>(std::move(state));
  }
  return this->cached;
}

std::int64_t ConfigurationFold::NextOffset() const {
  return 1 +
         (this->buffered.empty() ? this->offset : this->buffered.back().offset);
}

ApplyResult ConfigurationFold::Apply(std::int64_t offset,
                                     WallMilliseconds time_ms,
                                     std::string_view payload) {
  if (offset <= this->offset) {
    return ApplyResult::kOld;
  }
  BufferedRecord record{offset, time_ms, ParseConfigurationRecord(payload),
                        payload.size()};
  if (offset == this->offset + 1) {
    this->ApplyRecord(record);
    this->DropBufferedThrough(offset);
    this->ApplyBuffered();
    return ApplyResult::kApplied;
  }
  this->Buffer(std::move(record));
  this->ApplyBufferedSnapshot();
  return this->offset >= offset ? ApplyResult::kApplied
                                : ApplyResult::kBuffered;
}

void ConfigurationFold::Buffer(BufferedRecord record) {
  if (!this->buffered.empty()) {
    if (record.offset <= this->buffered.back().offset) {
      return;
    }
    if (record.offset != this->buffered.back().offset + 1) {
      // A second gap: the records before it can't be applied any more.
      this->buffered.clear();
      this->buffer_bytes = 0;
    }
  }
  this->buffer_bytes += record.bytes;
  this->buffered.push_back(std::move(record));
  while (this->buffer_bytes > kMaxBufferedRecordBytes &&
         this->buffered.size() > 1) {
    this->buffer_bytes -= this->buffered.front().bytes;
    this->buffered.pop_front();
  }
}

void ConfigurationFold::ApplyBufferedSnapshot() {
  // The snapshots of older buffered records were checked when these arrived.
  const BufferedRecord& newest = this->buffered.back();
  const std::int64_t first_buffered = this->buffered.front().offset;
  for (const ConfigurationEntry& entry : newest.record.entries) {
    const auto* snapshot = std::get_if<SnapshotEntry>(&entry);
    const bool usable = snapshot != nullptr &&
                        snapshot->through + 1 >= first_buffered &&
                        snapshot->through < newest.offset;
    if (!usable) {
      continue;
    }
    auto services =
        Capture([&] { return FromServiceRevisions(snapshot->services); });
    if (!services.Ok() ||
        ServicesDigest(services.Value()) != snapshot->digest) {
      ++this->mismatches;
      continue;
    }
    const std::int64_t through = snapshot->through;
    this->bootstrap_records.clear();
    this->services = std::move(services.Value());
    this->SetOffset(through);
    this->DropBufferedThrough(through);
    this->ApplyBuffered();
    return;
  }
}

void ConfigurationFold::DropBufferedThrough(std::int64_t offset) {
  while (!this->buffered.empty() && this->buffered.front().offset <= offset) {
    this->buffer_bytes -= this->buffered.front().bytes;
    this->buffered.pop_front();
  }
}

void ConfigurationFold::ApplyBuffered() {
  while (!this->buffered.empty() &&
         this->buffered.front().offset == this->offset + 1) {
    const BufferedRecord record = std::move(this->buffered.front());
    this->buffer_bytes -= record.bytes;
    this->buffered.pop_front();
    this->ApplyRecord(record);
  }
}

void ConfigurationFold::ApplyRecord(const BufferedRecord& record) {
  this->bootstrap_records.push_back({record.offset, record.time_ms});
  this->malformed += record.record.malformed;
  for (const ConfigurationEntry& entry : record.record.entries) {
    std::visit(
        [&](const auto& typed) { this->ApplyEntry(typed, record.offset); },
        entry);
  }
  this->SetOffset(record.offset);
}

void ConfigurationFold::ApplyEntry(const PublishEntry& entry,
                                   std::int64_t offset) {
  const ServiceInForce* current = this->Find(entry.service);
  auto parsed = ParseServiceDocument(entry.service, entry.document);
  PublishCheck check = CheckPublish(entry, parsed, current);

  PublishOutcome outcome;
  outcome.publish_id = entry.publish_id;
  outcome.service = entry.service;
  outcome.offset = offset;
  outcome.decision = check.decision;
  outcome.detail = std::move(check.detail);
  if (current != nullptr) {
    outcome.previous_revision = current->revision;
    outcome.previous_publisher = current->publisher;
  }
  const bool in_force = outcome.decision == PublishDecision::kInForce;
  this->RecordOutcome(std::move(outcome));
  if (!in_force) {
    return;
  }

  ServiceInForce service;
  service.revision = offset;
  service.document = std::move(parsed.value);
  service.text = entry.document;
  service.digest = DocumentDigest(service.document);
  service.publisher = entry.publisher;
  service.publish_id = entry.publish_id;
  this->services[entry.service] =
      std::make_shared<const ServiceInForce>(std::move(service));
}

void ConfigurationFold::ApplyEntry(const SnapshotEntry& entry,
                                   std::int64_t offset) {
  // A fold without a gap ignores the snapshot's services; records up to
  // `through` are no longer needed to start without state.
  if (entry.through >= offset) {
    ++this->malformed;
    return;
  }
  const bool comparable = entry.through == this->offset;
  if (comparable && entry.digest != ServicesDigest(this->services)) {
    ++this->mismatches;
    return;
  }
  while (!this->bootstrap_records.empty() &&
         this->bootstrap_records.front().offset <= entry.through) {
    this->bootstrap_records.pop_front();
  }
}

const ServiceInForce* ConfigurationFold::Find(std::string_view service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second.get();
}

void ConfigurationFold::SetOffset(std::int64_t offset) {
  this->offset = std::max(this->offset, offset);
  this->cached.reset();
}

void ConfigurationFold::RecordOutcome(PublishOutcome outcome) {
  if (outcome.publish_id.empty()) {
    return;
  }
  const std::string id = outcome.publish_id;
  const auto [found, added] = this->outcomes.try_emplace(id);
  if (added) {
    this->outcome_order.push_back(id);
  }
  if (added || found->second.decision != PublishDecision::kInForce) {
    found->second = std::move(outcome);
  }
  if (this->outcome_order.size() > kMaxOutcomes) {
    this->outcomes.erase(this->outcome_order.front());
    this->outcome_order.pop_front();
  }
}

std::optional<PublishOutcome> ConfigurationFold::OutcomeOf(
    std::string_view publish_id) const {
  const auto found = this->outcomes.find(publish_id);
  if (found == this->outcomes.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace carobbank
