// Accepts and polls steps of one service, acquires their ownership and copies
// them forward in the log before they expire.

#include "step_service.h"

#include <algorithm>
#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr Milliseconds kLogTimeout{5'000};
constexpr Milliseconds kOwnerQueryInterval{1'000};
constexpr Milliseconds kCopyCheckInterval{10'000};
constexpr std::size_t kSnapshotPartBytes = 1024 * 1024;

std::uint64_t Remaining(const StepState& step) {
  const std::uint64_t expected = step.accept.ExpectedSamples();
  return expected - std::min<std::uint64_t>(expected, step.results.size());
}

}  // namespace

StepService::StepService(RolloutEnvironment& environment, std::string service)
    : environment(environment),
      service(std::move(service)),
      follower(
          environment.generation.loop,
          environment.log,
          RolloutStream(this->service),
          {[this](const LogRecord& record) {
             this->fold->Apply({record.offset, record.time_ms, record.payload});
           },
           [this](std::uint64_t, std::uint64_t first_retained) {
             this->ResetFold(first_retained);
           },
           [this] { this->OnPage(); }}),
      writer(
          {environment.generation.loop, environment.generation.clock,
           environment.generation.random, environment.log, environment.metrics},
          RolloutStream(this->service),
          environment.committer) {
  this->ResetFold(0);
}

StepService::~StepService() = default;

void StepService::ResetFold(std::uint64_t first_retained) {
  RolloutFoldOptions options;
  options.service = this->service;
  options.step_lifetime = StepLifetime(this->environment.retention);
  this->fold =
      std::make_unique<RolloutFold>(std::move(options), first_retained);
}

void StepService::Start() {
  this->follower.Start(0);
  this->copy_timer = this->environment.generation.loop.CallAfter(
      kCopyCheckInterval, [this] { this->CopyDueSteps(); });
}

void StepService::WhenCaughtUp(std::function<void(bool)> then) {
  if (this->follower.CaughtUp()) {
    then(true);
    return;
  }
  this->follower.WhenCurrent(kLogTimeout, std::move(then));
}

void StepService::Submit(AcceptEntry accept, SubmitCallback callback) {
  this->WhenCaughtUp([this, accept = std::move(accept),
                      callback = std::move(callback)](bool caught_up) mutable {
    const bool usable =
        caught_up && this->follower.Reachable() && this->writer.Reachable();
    if (!usable) {
      callback(LogUnavailable(Execution::kNotRun));
      return;
    }
    this->SubmitCaughtUp(std::move(accept), callback);
  });
}

void StepService::SubmitCaughtUp(AcceptEntry accept,
                                 const SubmitCallback& callback) {
  const AcceptDecisionResult decision_result =
      this->fold->DecideAccept(accept.request_id, accept.request_digest,
                               this->environment.generation.clock.WallNow());
  switch (decision_result.decision) {
    case AcceptDecision::kRepeat:
      callback(this->fold->FirstCursor(*this->fold->Find(accept.request_id)));
      return;
    case AcceptDecision::kMismatch:
      callback(RequestIdReused());
      return;
    case AcceptDecision::kNew:
      break;
  }
  accept.basis = decision_result.basis;
  // Shared by the three ways in which the wait can end; the first one responds.
  auto responded = std::make_shared<bool>(false);
  auto respond_once =
      [responded, callback](const std::variant<Cursor, Problem>& response) {
        if (!std::exchange(*responded, true)) {
          callback(response);
        }
      };
  const std::string request_id = accept.request_id;
  const std::string digest = accept.request_digest;
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->writer.Append(
        EncodeRolloutEntry(accept),
        [this, request_id, digest, respond_once](LogPosition position) {
          this->follower.WhenReached(
              position.offset, kLogTimeout,
              [this, request_id, digest, respond_once](bool reached) {
                if (!reached) {
                  respond_once(LogUnavailable(Execution::kMayHaveRun));
                  return;
                }
                this->AfterAccept(request_id, digest, respond_once);
              });
        });
  });
  if (!added.Ok()) {
    callback(OverloadedProblem(added.GetError()));
    return;
  }
  // The entry may still reach the log after this response.
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = this->environment.generation.loop.CallAfter(
      2 * kLogTimeout, [respond_once, timer] {
        respond_once(LogUnavailable(Execution::kMayHaveRun));
        timer->reset();
      });
}

void StepService::AfterAccept(const std::string& request_id,
                              const std::string& digest,
                              const SubmitCallback& callback) {
  const StepState* step = this->fold->Find(request_id);
  if (!step) {
    callback(InternalProblem("the accepted step is not in its stream"));
    return;
  }
  if (step->accept.request_digest != digest) {
    callback(RequestIdReused());
    return;
  }
  this->RecordStep(EventKind::kStepOwnership, *step, "accepted");
  this->local_states[request_id].started =
      this->environment.generation.clock.Now();
  callback(this->fold->FirstCursor(*step));
  this->EnsureOwned(*step, OwnerStatus::kUnknown);
}

void StepService::Poll(Cursor cursor,
                       Milliseconds wait,
                       std::size_t max_results,
                       PollCallback callback) {
  this->WhenCaughtUp([this, cursor = std::move(cursor), wait, max_results,
                      callback = std::move(callback)](bool caught_up) mutable {
    if (!caught_up) {
      callback(LogUnavailable(Execution::kNotRun));
      return;
    }
    const std::uint64_t accepted = cursor.accepted_at.offset;
    this->follower.WhenReached(
        accepted, kLogTimeout,
        [this, cursor = std::move(cursor), wait, max_results,
         callback = std::move(callback)](bool reached) mutable {
          if (!reached) {
            callback(LogUnavailable(Execution::kNotRun));
            return;
          }
          this->PollCaughtUp(std::move(cursor), wait, max_results,
                             std::move(callback));
        });
  });
}

void StepService::PollCaughtUp(Cursor cursor,
                               Milliseconds wait,
                               std::size_t max_results,
                               PollCallback callback) {
  if (const StepState* step = this->fold->Find(cursor.request_id); step) {
    this->local_states[cursor.request_id].polled_ms = this->fold->LogTime();
    this->EnsureOwned(*step, OwnerStatus::kUnknown);
  }
  auto response = this->ReadNow(cursor, max_results);
  const auto* samples = std::get_if<PolledSamples>(&response);
  const bool empty = samples && samples->results.empty() && !samples->done;
  if (!empty || wait <= Milliseconds(0)) {
    callback(std::move(response));
    return;
  }
  auto waiter = std::make_shared<Waiter>();
  waiter->cursor = std::move(cursor);
  waiter->max_results = max_results;
  waiter->callback = std::move(callback);
  waiter->timer = this->environment.generation.loop.CallAfter(
      wait, [this, weak = std::weak_ptr<Waiter>(waiter)] {
        if (const auto expired = weak.lock(); expired) {
          std::erase(this->waiters, expired);
          expired->callback(
              this->ReadNow(expired->cursor, expired->max_results));
        }
      });
  this->waiters.push_back(std::move(waiter));
}

std::variant<PolledSamples, Problem> StepService::ReadNow(
    const Cursor& cursor,
    std::size_t max_results) const {
  const auto page =
      Capture([&] { return ReadDelivery(*this->fold, cursor, max_results); });
  if (!page.Ok()) {
    return CursorProblem(page.GetError());
  }
  PolledSamples samples;
  for (const SampleResult* result : page.Value().results) {
    samples.results.push_back(*result);
  }
  samples.next = page.Value().next;
  samples.done = page.Value().done;
  samples.end_reason = page.Value().end_reason;
  if (const StepState* step = this->fold->Find(cursor.request_id); step) {
    samples.remaining = Remaining(*step);
  }
  return samples;
}

void StepService::OnPage() {
  for (auto& [request_id, runner] : this->runners) {
    if (const StepState* step = this->fold->Find(request_id); step) {
      runner->OnResults(*step);
    }
  }
  if (this->follower.Next() == 0 || this->follower.CaughtUp()) {
    this->Reconcile();
  }
  this->NotifyPollers();
}

void StepService::NotifyPollers() {
  std::vector<std::shared_ptr<Waiter>> ready;
  std::vector<std::variant<PolledSamples, Problem>> responses;
  std::erase_if(this->waiters, [&](const std::shared_ptr<Waiter>& waiter) {
    auto response = this->ReadNow(waiter->cursor, waiter->max_results);
    const auto* samples = std::get_if<PolledSamples>(&response);
    if (samples && samples->results.empty() && !samples->done) {
      return false;
    }
    ready.push_back(waiter);
    responses.push_back(std::move(response));
    return true;
  });
  for (std::size_t index = 0; index < ready.size(); ++index) {
    ready[index]->timer->Cancel();
    ready[index]->callback(std::move(responses[index]));
  }
}

void StepService::Reconcile() {
  std::erase_if(this->runners, [&](const auto& item) {
    const StepState* step = this->fold->Find(item.first);
    if (!step) {
      return true;
    }
    if (step->Complete()) {
      this->RecordStep(EventKind::kStepOwnership, *step, "whole");
      const auto local_state = this->local_states.find(item.first);
      if (local_state != this->local_states.end() &&
          local_state->second.started != MonotonicTime()) {
        this->environment.metrics
            .GetTiming(metrics::kStepTime, {{"service", this->service}})
            .Record(this->environment.generation.clock.Now() -
                    local_state->second.started);
      }
      return true;
    }
    return step->owner.owner != this->environment.self;
  });
  for (const StepState* step : this->fold->Steps()) {
    const bool owned_here = step->owner.owner == this->environment.self;
    if (owned_here && !step->Complete() &&
        !this->runners.contains(step->accept.request_id)) {
      this->StartRunner(*step);
    }
  }
  std::erase_if(this->local_states, [&](const auto& item) {
    return !this->fold->Find(item.first);
  });
}

void StepService::StartRunner(const StepState& step) {
  auto policy = this->environment.policy(this->service);
  if (!policy) {
    return;
  }
  StepRunnerEnvironment environment{
      this->environment.generation, this->environment.pools, this->writer,
      this->environment.timeline, this->environment.metrics};
  auto runner = Capture([&] {
    return StepRunner::Create(environment, std::move(*policy), step);
  });
  if (!runner.Ok()) {
    this->RecordStep(EventKind::kRefusal, step, runner.GetError().Text());
    return;
  }
  this->RecordStep(EventKind::kStepOwnership, step, "owned");
  this->local_states[step.accept.request_id].takeover_in_flight = false;
  this->runners[step.accept.request_id] = std::move(runner.Value());
}

void StepService::EnsureOwned(const StepState& step, OwnerStatus owner_status) {
  const OwnershipDecision view =
      DecideOwnership(step, this->environment.self, owner_status);
  switch (view.action) {
    case OwnershipAction::kNone:
    case OwnershipAction::kDeferToOwner:
      return;
    case OwnershipAction::kWork:
      if (!this->runners.contains(step.accept.request_id)) {
        this->StartRunner(step);
      }
      return;
    case OwnershipAction::kAskOwner:
      this->QueryOwner(step);
      return;
    case OwnershipAction::kTakeOver:
      this->TakeOver(*view.take_over);
      return;
  }
}

void StepService::QueryOwner(const StepState& step) {
  const std::string request_id = step.accept.request_id;
  LocalStepState& local_state = this->local_states[request_id];
  const MonotonicTime now = this->environment.generation.clock.Now();
  if (local_state.query_in_flight || now < local_state.next_query) {
    return;
  }
  local_state.query_in_flight = true;
  local_state.next_query = now + kOwnerQueryInterval;
  this->environment.query_owner(
      step.owner.owner, this->service, request_id,
      [this, request_id,
       token = std::weak_ptr<bool>(this->alive)](OwnerStatus owner_status) {
        if (token.expired()) {
          return;
        }
        this->local_states[request_id].query_in_flight = false;
        const StepState* step = this->fold->Find(request_id);
        if (step && owner_status != OwnerStatus::kUnknown) {
          this->EnsureOwned(*step, owner_status);
        }
      });
}

void StepService::TakeOver(const StepTakeoverEntry& takeover) {
  LocalStepState& local_state = this->local_states[takeover.request_id];
  if (local_state.takeover_in_flight) {
    return;
  }
  local_state.takeover_in_flight = true;
  const auto added = Capture([&]() -> Result<EntryTicket> {
    return this->writer.Append(
        EncodeRolloutEntry(takeover),
        [this, request_id = takeover.request_id](LogPosition position) {
          this->follower.WhenReached(
              position.offset, kLogTimeout, [this, request_id](bool) {
                this->local_states[request_id].takeover_in_flight = false;
              });
        });
  });
  if (!added.Ok()) {
    local_state.takeover_in_flight = false;
  }
}

void StepService::CheckOwnership(std::string request_id,
                                 std::function<void(bool)> done) {
  this->WhenCaughtUp([this, request_id = std::move(request_id),
                      done = std::move(done)](bool caught_up) {
    if (caught_up) {
      this->Reconcile();
    }
    done(this->runners.contains(request_id));
  });
}

void StepService::CopyDueSteps() {
  const WallMilliseconds now = this->environment.generation.clock.WallNow();
  for (const StepState* step : this->fold->Steps()) {
    const SnapshotSchedule schedule =
        ScheduleSnapshot(this->environment.retention, step->lives_until_ms);
    const bool owned_here = step->owner.owner == this->environment.self;
    const LocalStepState& local_state =
        this->local_states[step->accept.request_id];
    const bool due =
        now >= (owned_here ? schedule.owner_ms : schedule.others_ms);
    // A complete step is copied forward only if its trainer has polled this
    // entry since the last copy.
    const bool wanted = !step->Complete() ||
                        local_state.polled_ms > local_state.copied_until_ms;
    if (due && wanted && local_state.copied_until_ms < step->lives_until_ms) {
      this->CopyForward(*step);
    }
  }
  this->copy_timer = this->environment.generation.loop.CallAfter(
      kCopyCheckInterval, [this] { this->CopyDueSteps(); });
}

void StepService::CopyForward(const StepState& step) {
  this->local_states[step.accept.request_id].copied_until_ms =
      step.lives_until_ms;
  const std::string carry_id = this->environment.generation.random.Identifier();
  for (const RolloutEntry& entry : this->fold->MakeSnapshotEntries(
           step, carry_id, kSnapshotPartBytes,
           this->environment.generation.clock.WallNow())) {
    const auto added = Capture([&]() -> Result<EntryTicket> {
      return this->writer.Append(EncodeRolloutEntry(entry), [](LogPosition) {});
    });
    if (!added.Ok()) {
      // The next check retries with a new copy.
      this->local_states[step.accept.request_id].copied_until_ms = 0;
      return;
    }
  }
}

void StepService::RecordStep(EventKind kind,
                             const StepState& step,
                             std::string detail) {
  Event event;
  event.kind = kind;
  event.service = this->service;
  event.request = step.accept.request_id;
  event.step = step.accept.step;
  event.detail = std::move(detail);
  event.number = static_cast<std::int64_t>(step.results.size());
  this->environment.timeline.Record(std::move(event));
}

Json::Value StepService::StatusJson() const {
  Json::Value status;
  status["service"] = this->service;
  status["log_reachable"] =
      this->follower.Reachable() && this->writer.Reachable();
  status["buffered_bytes"] = Json::UInt64(this->writer.BufferedBytes());
  status["duplicate_results"] =
      Json::UInt64(this->fold->Counters().duplicate_results);
  status["invalid_commits"] =
      Json::UInt64(this->fold->Counters().invalid_commits);
  status["steps"] = Json::arrayValue;
  for (const StepState* step : this->fold->Steps()) {
    Json::Value row;
    row["request_id"] = step->accept.request_id;
    row["owner"] = step->owner.owner;
    row["samples"] = Json::UInt64(step->accept.ExpectedSamples());
    row["remaining"] = Json::UInt64(Remaining(*step));
    row["running_here"] = this->runners.contains(step->accept.request_id);
    status["steps"].append(std::move(row));
  }
  return status;
}

}  // namespace carobbank
