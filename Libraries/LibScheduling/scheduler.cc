// Admission, start, charging and completion of work items.

#include "LibScheduling/scheduler.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

// Weight of the newest sample in moving averages.
constexpr double kSmoothing = 0.1;
constexpr std::uint32_t kUnknownLengthTokens = 64;
constexpr Milliseconds kMinimumRetryAfter{100};
constexpr Milliseconds kMaximumRetryAfter{30'000};
constexpr Milliseconds kRetryAfterWithoutHistory{1'000};

std::unique_ptr<QueueDiscipline> CreateDiscipline(QueueStrategy strategy,
                                                  WorkTable& table) {
  return strategy == QueueStrategy::kFifo ? CreateFifoDiscipline(table)
                                          : CreateFairShareDiscipline(table);
}

double CostOf(std::uint32_t prompt_tokens, std::uint32_t generated_tokens) {
  return kPromptTokenCost * prompt_tokens +
         kGeneratedTokenCost * generated_tokens;
}

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options)
    : discipline(CreateDiscipline(options.strategy, this->table)),
      max_queued(options.max_queued),
      token_interval(options.token_interval) {
  this->limit.SetLimits(options.limits);
}

void Scheduler::Configure(std::span<const ServicePolicy> policies,
                          MonotonicTime now) {
  for (ServiceIndex index = 0; index < this->table.ServiceCount(); ++index) {
    this->table.Service(index).configured = false;
  }
  for (const ServicePolicy& policy : policies) {
    const ServiceIndex index = this->table.AddService(policy.service);
    ServiceState& service = this->table.Service(index);
    service.policy = policy;
    service.configured = true;
    service.bucket.SetRate(policy.tokens_per_second, now);
    this->discipline->UpdateService(index, now);
  }
}

void Scheduler::SetLimits(const ConcurrencyLimits& limits) {
  this->limit.SetLimits(limits);
}

void Scheduler::SetTokenInterval(std::chrono::microseconds interval) {
  this->token_interval = interval;
}

PushOutcome Scheduler::Push(const WorkItem& work, MonotonicTime now) {
  PushOutcome outcome;
  const auto service = this->table.FindService(work.service);
  if (!service || !this->table.Service(*service).configured) {
    outcome.refusal = PushRefusal::kUnknownService;
    return outcome;
  }
  const ServiceState& state = this->table.Service(*service);
  if (state.queued >= state.policy.max_queued) {
    outcome.refusal = PushRefusal::kServiceQueueFull;
    return outcome;
  }
  if (this->Queued() >= this->max_queued) {
    const auto shed = this->FindShedCandidate(state.policy.priority_class);
    if (!shed && !this->MayExceedQueueLimit(state.policy.priority_class)) {
      outcome.refusal = PushRefusal::kQueueFull;
      return outcome;
    }
    if (shed) {
      outcome.shed = this->table.HandleOf(*shed);
      this->Dequeue(*shed, now);
      this->table.Release(*shed);
    }
  }
  const WorkSlot slot = this->Enqueue(work, *service, now);
  outcome.handle = this->table.HandleOf(slot);
  return outcome;
}

bool Scheduler::MayExceedQueueLimit(PriorityClass priority_class) const {
  const std::uint32_t live = this->limit.Running(PriorityClass::kLive);
  const bool others_run = this->limit.Running() > live;
  return priority_class == PriorityClass::kLive && others_run &&
         this->Queued() < 2 * this->max_queued;
}

std::optional<WorkSlot> Scheduler::FindShedCandidate(
    PriorityClass above) const {
  for (std::size_t index = kPriorityClassCount - 1; index > ClassIndex(above);
       --index) {
    const auto lower = static_cast<PriorityClass>(index);
    if (const auto candidate = this->discipline->ShedCandidate(lower)) {
      return candidate;
    }
  }
  return std::nullopt;
}

WorkSlot Scheduler::Enqueue(const WorkItem& work,
                            ServiceIndex service,
                            MonotonicTime now) {
  const WorkSlot slot = this->table.Allocate();
  ScheduledWork& scheduled = this->table.At(slot);
  ServiceState& state = this->table.Service(service);
  scheduled.state = WorkState::kQueued;
  scheduled.priority_class = state.policy.priority_class;
  scheduled.service = service;
  scheduled.prompt_tokens = work.prompt_tokens;
  scheduled.expected_tokens = work.expected_tokens;
  scheduled.deadline = work.deadline;
  scheduled.sequence = this->next_sequence++;
  // Without a given slack a work item is ordered as if it had already waited
  // for its expected running time, so that long ones start earlier.
  scheduled.latest_start =
      work.slack ? work.received + *work.slack
                 : work.received - this->token_interval * work.expected_tokens;
  ++state.queued;
  this->deadlines.Push(this->deadline_positions, slot, work.deadline);
  this->discipline->Push(slot, now);
  return slot;
}

void Scheduler::Dequeue(WorkSlot slot, MonotonicTime now) {
  --this->table.Service(this->table.At(slot).service).queued;
  this->deadlines.Remove(this->deadline_positions, slot);
  this->discipline->Remove(slot, now);
}

bool Scheduler::Remove(WorkHandle handle, MonotonicTime now) {
  const auto slot = this->table.Find(handle);
  if (!slot || this->table.At(*slot).state != WorkState::kQueued) {
    return false;
  }
  this->Dequeue(*slot, now);
  this->table.Release(*slot);
  return true;
}

std::optional<WorkHandle> Scheduler::Start(MonotonicTime now) {
  const StartableClasses startable = this->limit.Startable();
  if (!startable.Any()) {
    return std::nullopt;
  }
  const auto slot = this->discipline->PeekNext(now, startable);
  if (!slot) {
    return std::nullopt;
  }
  const ScheduledWork& work = this->table.At(*slot);
  // An expired work item stays queued for TakeExpired(), which the caller calls
  // before Start().
  if (work.deadline <= now) {
    return std::nullopt;
  }
  const std::uint64_t memory = work.prompt_tokens + this->ExpectedTokens(work);
  if (!this->limit.MemoryAllows(memory)) {
    return std::nullopt;
  }
  this->BeginRunning(*slot, now);
  return this->table.HandleOf(*slot);
}

void Scheduler::BeginRunning(WorkSlot slot, MonotonicTime now) {
  ScheduledWork& work = this->table.At(slot);
  ServiceState& service = this->table.Service(work.service);
  ++service.running;
  this->Dequeue(slot, now);
  work.state = WorkState::kRunning;
  work.expected_tokens = this->ExpectedTokens(work);
  work.reserved_memory = work.prompt_tokens + work.expected_tokens;
  work.charged = CostOf(work.prompt_tokens, work.expected_tokens);
  this->limit.Start(work.priority_class, work.reserved_memory);
  this->running.push_back(slot);
  service.served_tokens += work.prompt_tokens;
  service.bucket.Charge(work.prompt_tokens, now);
  this->discipline->Charge(work.service, work.charged);
  this->discipline->UpdateService(work.service, now);
}

std::vector<WorkHandle> Scheduler::TakeExpired(MonotonicTime now) {
  std::vector<WorkHandle> expired;
  while (!this->deadlines.Empty() && this->deadlines.Top().key <= now) {
    const WorkSlot slot = this->deadlines.Top().slot;
    expired.push_back(this->table.HandleOf(slot));
    this->Dequeue(slot, now);
    this->table.Release(slot);
  }
  return expired;
}

void Scheduler::RecordGeneratedTokens(WorkHandle handle,
                                      std::uint32_t tokens,
                                      MonotonicTime now) {
  const auto slot = this->table.Find(handle);
  if (!slot) {
    return;
  }
  ScheduledWork& work = this->table.At(*slot);
  ServiceState& service = this->table.Service(work.service);
  work.generated_tokens += tokens;
  service.served_tokens += tokens;
  service.bucket.Charge(tokens, now);
  const double cost = CostOf(work.prompt_tokens, work.generated_tokens);
  if (cost > work.charged) {
    this->discipline->Charge(work.service, cost - work.charged);
    work.charged = cost;
  }
  this->discipline->UpdateService(work.service, now);
}

void Scheduler::Finish(WorkHandle handle, MonotonicTime now) {
  const auto slot = this->table.Find(handle);
  if (!slot || this->table.At(*slot).state == WorkState::kQueued) {
    return;
  }
  const ScheduledWork work = this->table.At(*slot);
  ServiceState& service = this->table.Service(work.service);
  --service.running;
  this->pending_preemptions -= work.state == WorkState::kPreempted ? 1 : 0;
  this->limit.Finish(work.priority_class, work.reserved_memory);
  std::erase(this->running, *slot);
  const double cost = CostOf(work.prompt_tokens, work.generated_tokens);
  this->discipline->Charge(work.service, cost - work.charged);
  if (work.state == WorkState::kRunning) {
    service.mean_generated +=
        kSmoothing * (work.generated_tokens - service.mean_generated);
  }
  this->table.Release(*slot);
  this->discipline->UpdateService(work.service, now);
  this->RecordFinish(now);
}

std::uint32_t Scheduler::ExpectedTokens(const ScheduledWork& work) const {
  if (work.expected_tokens != 0) {
    return work.expected_tokens;
  }
  const double mean = this->table.Service(work.service).mean_generated;
  return mean < 1.0 ? kUnknownLengthTokens
                    : static_cast<std::uint32_t>(std::lround(mean));
}

std::optional<MonotonicTime> Scheduler::NextWake() const {
  std::optional<MonotonicTime> wake = this->discipline->NextReadyTime();
  if (!this->deadlines.Empty()) {
    const MonotonicTime deadline = this->deadlines.Top().key;
    wake = wake ? std::min(*wake, deadline) : deadline;
  }
  if (wake == MonotonicTime::max()) {
    return std::nullopt;
  }
  return wake;
}

void Scheduler::RecordFinish(MonotonicTime now) {
  if (this->last_finish) {
    const std::chrono::duration<double, std::milli> interval =
        now - *this->last_finish;
    this->finish_interval_ms =
        this->finish_interval_ms == 0.0
            ? interval.count()
            : this->finish_interval_ms +
                  kSmoothing * (interval.count() - this->finish_interval_ms);
  }
  this->last_finish = now;
}

Milliseconds Scheduler::RetryAfter(PriorityClass priority_class) const {
  if (this->finish_interval_ms == 0.0) {
    return kRetryAfterWithoutHistory;
  }
  std::uint32_t ahead = 1;
  for (ServiceIndex index = 0; index < this->table.ServiceCount(); ++index) {
    const ServiceState& service = this->table.Service(index);
    ahead +=
        service.policy.priority_class <= priority_class ? service.queued : 0;
  }
  const Milliseconds wait(
      static_cast<std::int64_t>(ahead * this->finish_interval_ms));
  return std::clamp(wait, kMinimumRetryAfter, kMaximumRetryAfter);
}

std::optional<PriorityClass> Scheduler::ClassOf(
    std::string_view service) const {
  const auto index = this->table.FindService(service);
  if (!index || !this->table.Service(*index).configured) {
    return std::nullopt;
  }
  return this->table.Service(*index).policy.priority_class;
}

std::vector<ServiceReport> Scheduler::Report() const {
  std::vector<ServiceReport> reports;
  for (ServiceIndex index = 0; index < this->table.ServiceCount(); ++index) {
    const ServiceState& service = this->table.Service(index);
    reports.push_back({service.policy.service, service.policy.priority_class,
                       service.queued, service.running, service.served_tokens});
  }
  return reports;
}

}  // namespace carobbank
