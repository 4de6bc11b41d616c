// How records change what is in force. docs/PROTOCOL.md gives their form.

#include "LibContract/configuration_fold.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace carobbank {

namespace {

// The verdict on a publish entry, given what is in force.
struct Judgement {
  PublishDecision verdict = PublishDecision::kInForce;
  std::string detail;
};

Judgement Judge(const PublishEntry& entry,
                const ValidationResult<ServiceDocument>& checked,
                const ServiceInForce* present) {
  if (!checked.Ok()) {
    return {PublishDecision::kInvalid, checked.report.ToError().Text()};
  }
  if (checked.value.name != entry.service) {
    return {PublishDecision::kInvalid,
            "the document names the service '" + checked.value.name + "'"};
  }
  if (present != nullptr && present->document.team != checked.value.team) {
    return {PublishDecision::kForeignTeam,
            "the service belongs to the team '" + present->document.team + "'"};
  }
  const std::int64_t in_force =
      present == nullptr ? kNoRevision : present->revision;
  if (in_force != entry.base_revision) {
    return {PublishDecision::kStaleBase,
            "based on revision " + std::to_string(entry.base_revision) +
                " while " + std::to_string(in_force) + " was in force"};
  }
  return {};
}

}  // namespace

std::string_view PublishDecisionName(PublishDecision verdict) {
  switch (verdict) {
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
  return 1 + (this->held.empty() ? this->offset : this->held.back().offset);
}

ApplyResult ConfigurationFold::Apply(std::int64_t offset,
                                     WallMilliseconds time_ms,
                                     std::string_view payload) {
  if (offset <= this->offset) {
    return ApplyResult::kOld;
  }
  HeldRecord record{offset, time_ms, ParseConfigurationRecord(payload),
                    payload.size()};
  if (offset == this->offset + 1) {
    this->ApplyRecord(record);
    this->DropHeldThrough(offset);
    this->ApplyHeld();
    return ApplyResult::kApplied;
  }
  this->Hold(std::move(record));
  this->AdoptHeldSnapshot();
  return this->offset >= offset ? ApplyResult::kApplied
                                : ApplyResult::kBuffered;
}

void ConfigurationFold::Hold(HeldRecord record) {
  if (!this->held.empty()) {
    if (record.offset <= this->held.back().offset) {
      return;
    }
    if (record.offset != this->held.back().offset + 1) {
      // A second gap: what came before it can't be used any more.
      this->held.clear();
      this->held_bytes = 0;
    }
  }
  this->held_bytes += record.bytes;
  this->held.push_back(std::move(record));
  while (this->held_bytes > kMaxHeldBytes && this->held.size() > 1) {
    this->held_bytes -= this->held.front().bytes;
    this->held.pop_front();
  }
}

void ConfigurationFold::AdoptHeldSnapshot() {
  // Only the newest record can bring a snapshot that was not looked at yet.
  const HeldRecord& newest = this->held.back();
  const std::int64_t first_held = this->held.front().offset;
  for (const ConfigurationEntry& entry : newest.record.entries) {
    const auto* snapshot = std::get_if<SnapshotEntry>(&entry);
    const bool usable = snapshot != nullptr &&
                        snapshot->through + 1 >= first_held &&
                        snapshot->through < newest.offset;
    if (!usable) {
      continue;
    }
    auto services =
        Capture([&] { return FromServiceRecords(snapshot->services); });
    if (!services.Ok() ||
        ServicesDigest(services.Value()) != snapshot->digest) {
      ++this->mismatches;
      continue;
    }
    const std::int64_t through = snapshot->through;
    this->needed.clear();
    this->services = std::move(services.Value());
    this->SetOffset(through);
    this->DropHeldThrough(through);
    this->ApplyHeld();
    return;
  }
}

void ConfigurationFold::DropHeldThrough(std::int64_t offset) {
  while (!this->held.empty() && this->held.front().offset <= offset) {
    this->held_bytes -= this->held.front().bytes;
    this->held.pop_front();
  }
}

void ConfigurationFold::ApplyHeld() {
  while (!this->held.empty() && this->held.front().offset == this->offset + 1) {
    const HeldRecord record = std::move(this->held.front());
    this->held_bytes -= record.bytes;
    this->held.pop_front();
    this->ApplyRecord(record);
  }
}

void ConfigurationFold::ApplyRecord(const HeldRecord& record) {
  this->needed.push_back({record.offset, record.time_ms});
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
  const ServiceInForce* present = this->Find(entry.service);
  auto checked = ParseServiceDocument(entry.service, entry.document);
  Judgement judgement = Judge(entry, checked, present);

  PublishOutcome outcome;
  outcome.publish_id = entry.publish_id;
  outcome.service = entry.service;
  outcome.offset = offset;
  outcome.decision = judgement.verdict;
  outcome.detail = std::move(judgement.detail);
  if (present != nullptr) {
    outcome.previous_revision = present->revision;
    outcome.previous_publisher = present->publisher;
  }
  const bool in_force = outcome.decision == PublishDecision::kInForce;
  this->Remember(std::move(outcome));
  if (!in_force) {
    return;
  }

  ServiceInForce service;
  service.revision = offset;
  service.document = std::move(checked.value);
  service.text = entry.document;
  service.digest = DocumentDigest(service.document);
  service.publisher = entry.publisher;
  service.publish_id = entry.publish_id;
  this->services[entry.service] =
      std::make_shared<const ServiceInForce>(std::move(service));
}

void ConfigurationFold::ApplyEntry(const SnapshotEntry& entry,
                                   std::int64_t offset) {
  // A reader with a whole history needs no snapshot; it only learns that older
  // records may go.
  if (entry.through >= offset) {
    ++this->malformed;
    return;
  }
  const bool comparable = entry.through == this->offset;
  if (comparable && entry.digest != ServicesDigest(this->services)) {
    ++this->mismatches;
    return;
  }
  while (!this->needed.empty() &&
         this->needed.front().offset <= entry.through) {
    this->needed.pop_front();
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

void ConfigurationFold::Remember(PublishOutcome outcome) {
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
