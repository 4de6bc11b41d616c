// Chooses the running work item to preempt for waiting live work.

#include <algorithm>

#include "LibScheduling/scheduler.h"

namespace carobbank {

namespace {

// A work item this close to its end frees its slot sooner than a preemption
// would.
constexpr std::uint32_t kAlmostDoneTokens = 8;

// Tokens that another server computes again when the work item resumes there:
// its prompt and its partial output.
std::uint64_t RecomputedTokens(const ScheduledWork& work) {
  return std::uint64_t{work.prompt_tokens} + work.generated_tokens;
}

}  // namespace

std::optional<WorkHandle> Scheduler::ChoosePreemption(MonotonicTime now) {
  if (!this->IsLiveBlocked(now)) {
    return std::nullopt;
  }
  std::uint32_t waiting = 0;
  for (ServiceIndex index = 0; index < this->table.ServiceCount(); ++index) {
    const ServiceState& service = this->table.Service(index);
    const bool live = service.policy.priority_class == PriorityClass::kLive;
    waiting += live ? service.queued : 0;
  }
  if (this->pending_preemptions >= waiting) {
    return std::nullopt;
  }
  std::optional<WorkSlot> victim;
  for (const WorkSlot candidate : this->running) {
    const ScheduledWork& work = this->table.At(candidate);
    const bool eligible = work.state == WorkState::kRunning &&
                          work.priority_class != PriorityClass::kLive &&
                          !this->IsAlmostDone(work);
    if (eligible && (!victim || this->IsBetterVictim(candidate, *victim))) {
      victim = candidate;
    }
  }
  if (!victim) {
    return std::nullopt;
  }
  this->table.At(*victim).state = WorkState::kPreempted;
  ++this->pending_preemptions;
  return this->table.HandleOf(*victim);
}

bool Scheduler::IsLiveBlocked(MonotonicTime now) {
  if (!this->discipline->HasReady(PriorityClass::kLive, now)) {
    return false;
  }
  if (!this->limit.Startable().Allows(PriorityClass::kLive)) {
    return true;
  }
  StartableClasses only_live;
  only_live.allowed[ClassIndex(PriorityClass::kLive)] = true;
  const auto next = this->discipline->PeekNext(now, only_live);
  const ScheduledWork& work = this->table.At(*next);
  return !this->limit.MemoryAllows(work.prompt_tokens +
                                   this->ExpectedTokens(work));
}

bool Scheduler::IsAlmostDone(const ScheduledWork& work) const {
  const std::uint32_t almost =
      work.expected_tokens - std::min(work.expected_tokens, kAlmostDoneTokens);
  return work.generated_tokens >= almost &&
         work.generated_tokens < work.expected_tokens;
}

bool Scheduler::IsBetterVictim(WorkSlot candidate, WorkSlot than) const {
  const ScheduledWork& left = this->table.At(candidate);
  const ScheduledWork& right = this->table.At(than);
  if (left.priority_class != right.priority_class) {
    return left.priority_class > right.priority_class;
  }
  const std::uint64_t left_loss = RecomputedTokens(left);
  const std::uint64_t right_loss = RecomputedTokens(right);
  if (left_loss != right_loss) {
    return left_loss < right_loss;
  }
  // With equal losses the work item with more slack is preempted.
  return left.latest_start > right.latest_start;
}

}  // namespace carobbank
