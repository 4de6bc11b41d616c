// The fold of `rollouts.<service>`: accepts, owners, results and ends.

#include "LibLedger/rollout_fold.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

const std::string& SampleIdOf(const SampleResult& result) {
  return std::visit(
      [](const auto& item) -> const std::string& { return item.sample_id; },
      result);
}

StepId StepIdOf(const SampleResult& result) {
  return std::visit(
      [](const auto& item) {
        return StepId{item.request_id, item.accepted_at};
      },
      result);
}

}  // namespace

bool SpansValid(const CommitEntry& commit, std::uint64_t oldest_version) {
  std::uint64_t covered = 0;
  for (const TokenSpan& span : commit.spans) {
    if (span.from != covered || span.to <= span.from) {
      return false;
    }
    if (span.version == 0 || span.version < oldest_version) {
      return false;
    }
    covered = span.to;
  }
  return covered == commit.tokens;
}

bool StepState::Has(std::string_view sample_id) const {
  return this->finished.contains(sample_id);
}

bool StepState::Complete() const {
  return !this->end_reason.empty() ||
         this->results.size() >= this->accept.ExpectedSamples();
}

RolloutFold::RolloutFold(RolloutFoldOptions options, std::uint64_t start_offset)
    : options(std::move(options)),
      start_offset(start_offset),
      next_offset(start_offset) {}

bool RolloutFold::Apply(const StreamRecord& record) {
  if (record.offset < this->next_offset) {
    return true;
  }
  if (record.offset > this->next_offset) {
    return false;
  }
  this->next_offset = record.offset + 1;
  this->log_time_ms = std::max(this->log_time_ms, record.time_ms);
  this->DropExpired();
  DecodedRecord<RolloutEntry> decoded = DecodeRolloutRecord(record);
  this->counters.malformed += decoded.skipped;
  for (PositionedEntry<RolloutEntry>& entry : decoded.entries) {
    if (this->IsRelevant(entry.entry)) {
      this->ApplyEntry(std::move(entry));
    }
  }
  return true;
}

bool RolloutFold::IsRelevant(const RolloutEntry& entry) const {
  if (!this->options.only_step) {
    return true;
  }
  const std::string& request_id = std::visit(
      [](const auto& item) -> const std::string& { return item.request_id; },
      entry);
  return request_id == this->options.only_step->request_id;
}

void RolloutFold::ApplyEntry(PositionedEntry<RolloutEntry> positioned) {
  const LogPosition position = positioned.position;
  const WallMilliseconds time_ms = this->log_time_ms;
  if (auto* accept = std::get_if<AcceptEntry>(&positioned.entry)) {
    this->OnAccept(position, time_ms, std::move(*accept));
  } else if (auto* takeover =
                 std::get_if<StepTakeoverEntry>(&positioned.entry)) {
    this->OnTakeover(position, *takeover);
  } else if (auto* commit = std::get_if<CommitEntry>(&positioned.entry)) {
    this->OnResult(position, std::move(*commit));
  } else if (auto* fail = std::get_if<FailEntry>(&positioned.entry)) {
    this->OnResult(position, std::move(*fail));
  } else if (auto* end = std::get_if<EndEntry>(&positioned.entry)) {
    this->OnEnd(position, *end);
  } else if (auto* snapshot =
                 std::get_if<StepSnapshotEntry>(&positioned.entry)) {
    this->OnSnapshotPart(time_ms, std::move(*snapshot));
  }
}

bool RolloutFold::IsAcceptValid(const AcceptEntry& entry,
                                const LogPosition& position,
                                WallMilliseconds time_ms) const {
  if (this->options.only_step) {
    return position == this->options.only_step->accepted_at;
  }
  const WallMilliseconds delay = time_ms - entry.basis.decided_ms;
  return delay <= this->options.step_lifetime.count() / 2 &&
         entry.basis.read_to >= this->start_offset;
}

void RolloutFold::OnAccept(const LogPosition& position,
                           WallMilliseconds time_ms,
                           AcceptEntry entry) {
  if (this->steps.contains(entry.request_id)) {
    ++this->counters.repeated_accepts;
    return;
  }
  if (!this->IsAcceptValid(entry, position, time_ms)) {
    ++this->counters.ignored_entries;
    return;
  }
  StepState step;
  step.accepted_at = position;
  step.start_offset = position.offset;
  step.lives_until_ms = time_ms + this->options.step_lifetime.count();
  step.accept = std::move(entry);
  const std::string request_id = step.accept.request_id;
  this->steps.emplace(request_id, std::move(step));
}

void RolloutFold::OnTakeover(const LogPosition& position,
                             const StepTakeoverEntry& entry) {
  const StepId id{entry.request_id, entry.accepted_at};
  if (StepState* step = this->FindById(id)) {
    if (entry.term > step->owner.term) {
      step->owner = {entry.owner, entry.term};
    }
    return;
  }
  Orphan* orphan = this->OrphanFor(id);
  if (orphan == nullptr) {
    ++this->counters.ignored_entries;
    return;
  }
  orphan->takeovers.push_back({position.offset, {entry.owner, entry.term}});
}

void RolloutFold::OnResult(const LogPosition& position, SampleResult result) {
  const StepId id = StepIdOf(result);
  if (StepState* step = this->FindById(id)) {
    this->AddResult(*step, std::move(result));
    return;
  }
  Orphan* orphan = this->OrphanFor(id);
  if (orphan == nullptr || !orphan->end_reason.empty()) {
    ++this->counters.ignored_entries;
    return;
  }
  orphan->results.push_back({position.offset, std::move(result)});
}

void RolloutFold::AddResult(StepState& step, SampleResult result) {
  const std::string& sample_id = SampleIdOf(result);
  if (!step.end_reason.empty()) {
    ++this->counters.ignored_entries;
    return;
  }
  if (step.Has(sample_id)) {
    ++this->counters.duplicate_results;
    return;
  }
  const auto* commit = std::get_if<CommitEntry>(&result);
  const bool valid =
      commit == nullptr || SpansValid(*commit, step.accept.OldestVersion());
  if (!valid || !step.accept.Expects(sample_id)) {
    ++this->counters.invalid_commits;
    return;
  }
  step.finished.insert(sample_id);
  step.results.push_back(std::move(result));
}

void RolloutFold::OnEnd(const LogPosition& position, const EndEntry& entry) {
  const StepId id{entry.request_id, entry.accepted_at};
  if (StepState* step = this->FindById(id)) {
    if (step->end_reason.empty()) {
      step->end_reason = entry.reason;
    }
    return;
  }
  Orphan* orphan = this->OrphanFor(id);
  if (orphan == nullptr) {
    ++this->counters.ignored_entries;
    return;
  }
  if (orphan->end_reason.empty()) {
    orphan->end_reason = entry.reason;
    orphan->end_offset = position.offset;
  }
}

StepState* RolloutFold::FindById(const StepId& id) {
  const auto found = this->steps.find(id.request_id);
  if (found == this->steps.end() ||
      found->second.accepted_at != id.accepted_at) {
    return nullptr;
  }
  return &found->second;
}

RolloutFold::Orphan* RolloutFold::OrphanFor(const StepId& id) {
  const bool started_late = this->start_offset > 0;
  if (!started_late || this->steps.contains(id.request_id)) {
    return nullptr;
  }
  Orphan& orphan = this->orphans[id];
  orphan.last_ms = this->log_time_ms;
  return &orphan;
}

const StepState* RolloutFold::Find(std::string_view request_id) const {
  const auto found = this->steps.find(request_id);
  return found == this->steps.end() ? nullptr : &found->second;
}

std::vector<const StepState*> RolloutFold::Steps() const {
  std::vector<const StepState*> all;
  all.reserve(this->steps.size());
  for (const auto& [request_id, step] : this->steps) {
    all.push_back(&step);
  }
  return all;
}

AcceptDecisionResult RolloutFold::DecideAccept(std::string_view request_id,
                                               std::string_view request_digest,
                                               WallMilliseconds now_ms) const {
  AcceptDecisionResult decision_result;
  decision_result.basis = {this->next_offset, now_ms};
  const StepState* step = this->Find(request_id);
  if (step == nullptr || now_ms > step->lives_until_ms) {
    return decision_result;
  }
  decision_result.decision = step->accept.request_digest == request_digest
                                 ? AcceptDecision::kRepeat
                                 : AcceptDecision::kMismatch;
  return decision_result;
}

Cursor RolloutFold::FirstCursor(const StepState& step) const {
  Cursor cursor;
  cursor.service = this->options.service;
  cursor.request_id = step.accept.request_id;
  cursor.accepted_at = step.accepted_at;
  cursor.start_offset = step.start_offset;
  return cursor;
}

void RolloutFold::DropExpired() {
  this->counters.expired_steps +=
      std::erase_if(this->steps, [&](const auto& item) {
        return this->log_time_ms > item.second.lives_until_ms;
      });
  const WallMilliseconds oldest =
      this->log_time_ms - this->options.step_lifetime.count();
  std::erase_if(this->orphans,
                [&](const auto& item) { return item.second.last_ms < oldest; });
  std::erase_if(this->snapshots, [&](const auto& item) {
    return item.second.first_ms < oldest;
  });
}

}  // namespace carobbank
