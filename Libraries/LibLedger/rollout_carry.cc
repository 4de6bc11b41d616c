// Snapshots of steps: writing them, and restoring a step from a snapshot when
// the step's accept is no longer retained.

#include <algorithm>
#include <utility>

#include "LibLedger/rollout_fold.h"

namespace carobbank {

namespace {

// Approximate size of a result or prompt group without its text.
constexpr std::size_t kResultFrameBytes = 256;

std::size_t ApproximateBytes(const SampleResult& result) {
  std::size_t bytes = kResultFrameBytes;
  if (const auto* commit = std::get_if<CommitEntry>(&result)) {
    bytes += commit->text.size() + commit->spans.size() * 64;
  }
  return bytes;
}

std::size_t ApproximateBytes(const AcceptEntry& accept) {
  std::size_t bytes = kResultFrameBytes;
  for (const PromptGroup& group : accept.groups) {
    bytes += group.prompt.size() + kResultFrameBytes;
  }
  return bytes;
}

bool SameSnapshot(const StepSnapshotEntry& left,
                  const StepSnapshotEntry& right) {
  return left.request_id == right.request_id &&
         left.accepted_at == right.accepted_at && left.parts == right.parts &&
         left.as_of_offset == right.as_of_offset &&
         left.as_of_ms == right.as_of_ms &&
         left.lives_until_ms == right.lives_until_ms;
}

}  // namespace

std::vector<RolloutEntry> RolloutFold::MakeSnapshotEntries(
    const StepState& step,
    std::string_view carry_id,
    std::size_t max_part_bytes,
    WallMilliseconds now_ms) const {
  StepSnapshotEntry blank;
  blank.request_id = step.accept.request_id;
  blank.accepted_at = step.accepted_at;
  blank.carry_id = carry_id;
  blank.as_of_offset = this->next_offset - 1;
  blank.as_of_ms = std::max(this->log_time_ms, now_ms);
  blank.lives_until_ms = step.lives_until_ms;

  std::vector<StepSnapshotEntry> parts{blank};
  parts.front().accept = step.accept;
  parts.front().owner = step.owner.owner;
  parts.front().term = step.owner.term;
  parts.front().end_reason = step.end_reason;
  std::size_t bytes = ApproximateBytes(step.accept);
  for (const SampleResult& result : step.results) {
    bytes += ApproximateBytes(result);
    if (bytes > max_part_bytes) {
      parts.push_back(blank);
      bytes = ApproximateBytes(result);
    }
    parts.back().results.push_back(result);
  }

  std::vector<RolloutEntry> entries;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].part = static_cast<std::uint32_t>(index);
    parts[index].parts = static_cast<std::uint32_t>(parts.size());
    entries.emplace_back(std::move(parts[index]));
  }
  return entries;
}

void RolloutFold::OnSnapshotPart(WallMilliseconds time_ms,
                                 StepSnapshotEntry entry) {
  const auto [found, added] = this->snapshots.try_emplace(entry.carry_id);
  SnapshotParts& snapshot = found->second;
  if (added) {
    snapshot.first_ms = time_ms;
  }
  if (!snapshot.parts.empty() &&
      !SameSnapshot(snapshot.parts.begin()->second, entry)) {
    ++this->counters.ignored_entries;
    return;
  }
  const std::uint32_t part = entry.part;
  const std::uint32_t parts = entry.parts;
  snapshot.parts.try_emplace(part, std::move(entry));
  if (snapshot.parts.size() < parts) {
    return;
  }
  SnapshotParts completed = std::move(snapshot);
  this->snapshots.erase(found);
  this->ApplySnapshot(std::move(completed));
}

WallMilliseconds RolloutFold::ExpiryAfter(const StepSnapshotEntry& head) const {
  // The writer's clock may be ahead of the log's; the lifetime never starts
  // later than the log time at which the snapshot was complete.
  return std::min(head.as_of_ms, this->log_time_ms) +
         this->options.step_lifetime.count();
}

void RolloutFold::ApplySnapshot(SnapshotParts snapshot) {
  const StepSnapshotEntry& head = snapshot.parts.begin()->second;
  // A snapshot is void when its step had expired before the snapshot was
  // complete. The check uses the expiry that the snapshot states, so that every
  // fold decides alike.
  if (this->log_time_ms > head.lives_until_ms ||
      head.as_of_offset >= this->next_offset) {
    ++this->counters.ignored_entries;
    return;
  }
  const StepId id{head.request_id, head.accepted_at};
  if (StepState* step = this->FindById(id)) {
    step->lives_until_ms =
        std::max(step->lives_until_ms, this->ExpiryAfter(head));
    step->start_offset = std::max(step->start_offset, head.as_of_offset + 1);
    return;
  }
  const bool read_all_since = head.as_of_offset + 1 >= this->start_offset;
  if (!read_all_since || this->steps.contains(head.request_id)) {
    ++this->counters.ignored_entries;
    return;
  }
  this->RestoreStep(std::move(snapshot));
}

void RolloutFold::RestoreStep(SnapshotParts snapshot) {
  StepSnapshotEntry& head = snapshot.parts.begin()->second;
  StepState step;
  step.accept = std::move(*head.accept);
  step.accepted_at = head.accepted_at;
  step.start_offset = head.as_of_offset + 1;
  step.lives_until_ms = this->ExpiryAfter(head);
  step.owner = {head.owner, head.term};
  for (auto& [part, entry] : snapshot.parts) {
    for (SampleResult& result : entry.results) {
      this->AddResult(step, std::move(result));
    }
  }
  step.end_reason = head.end_reason;
  this->MergeOrphan(step, head.as_of_offset);
  const std::string request_id = step.accept.request_id;
  this->steps.emplace(request_id, std::move(step));
}

void RolloutFold::MergeOrphan(StepState& step, std::uint64_t as_of_offset) {
  const auto found =
      this->orphans.find({step.accept.request_id, step.accepted_at});
  if (found == this->orphans.end()) {
    return;
  }
  Orphan orphan = std::move(found->second);
  this->orphans.erase(found);
  for (Orphan::Takeover& takeover : orphan.takeovers) {
    if (takeover.offset > as_of_offset &&
        takeover.owner.term > step.owner.term) {
      step.owner = std::move(takeover.owner);
    }
  }
  for (Orphan::Result& result : orphan.results) {
    if (result.offset > as_of_offset) {
      this->AddResult(step, std::move(result.result));
    }
  }
  const bool ended_since =
      !orphan.end_reason.empty() && orphan.end_offset > as_of_offset;
  if (ended_since && step.end_reason.empty()) {
    step.end_reason = orphan.end_reason;
  }
}

}  // namespace carobbank
