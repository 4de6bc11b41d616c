// Admission, control state and drain of the gate.

#include "Sidecar/work_gate.h"

#include <algorithm>
#include <utility>

#include "Sidecar/problems.h"
#include "Sidecar/service_policies.h"

namespace carobbank {

namespace {

// Until the engine has said how large its batch is.
constexpr std::uint32_t kDefaultPlaces = 8;

// Live calls come one after the other; the batch isn't filled in between.
constexpr Milliseconds kLiveMemory{2'000};

// Work of a plain service counts as one unit: requests are what is shared.
constexpr std::uint32_t kPlainUnit = 1;

WorkItem SchedulerWork(const WorkRequest& request, bool is_engine) {
  WorkItem work;
  work.service = request.service;
  work.prompt_tokens = is_engine ? request.prompt_tokens : kPlainUnit;
  work.expected_tokens = is_engine ? request.expected_tokens : kPlainUnit;
  work.received = request.received;
  work.deadline = request.deadline;
  work.slack = request.slack;
  return work;
}

}  // namespace

std::string GateLoad::Text() const {
  return std::to_string(this->running) + "," + std::to_string(this->waiting) +
         "," + std::to_string(this->max_batch);
}

WorkGate::WorkGate(GateEnvironment environment, const GateOptions& options)
    : environment(std::move(environment)),
      options(options),
      scheduler(options.scheduler),
      snapshot(std::make_shared<const ControlSnapshot>()) {
  this->ApplyLimits();
}

WorkGate::~WorkGate() = default;

void WorkGate::Admit(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) {
  auto parsed = Capture([&] {
    return ParseWorkRequest(std::move(request), this->environment.clock,
                            this->environment.backend.IsEngine());
  });
  if (!parsed.Ok()) {
    responder->Send(BadRequestProblem(parsed.GetError().Text()).ToResponse());
    return;
  }
  WorkRequest& work = parsed.Value();
  auto reply = this->MakeReply(work, std::move(responder));
  if (const auto refusal = this->Judge(work)) {
    this->environment.recorder.OnRefused(work, this->IsQuiet(work.service),
                                         *refusal);
    reply->Fail(*refusal);
    return;
  }
  this->Enqueue(std::move(work), std::move(reply));
  this->Pump();
}

std::shared_ptr<WorkReply> WorkGate::MakeReply(
    const WorkRequest& work,
    std::shared_ptr<HttpResponder> responder) {
  HttpHeaders labels = {
      {"X-Carobbank-Instance", this->options.instance},
      {"X-Carobbank-Time", this->environment.recorder.Stamp()},
      {"X-Carobbank-Load", this->Load().Text()},
      {"X-Carobbank-Attempt", work.attempt_id}};
  return std::make_shared<WorkReply>(std::move(responder), std::move(labels),
                                     work.streamed);
}

std::optional<Problem> WorkGate::Judge(const WorkRequest& work) const {
  const GateLoad load = this->Load();
  AdmissionContext context;
  context.now = this->environment.clock.Now();
  context.wall_now = this->environment.clock.WallNow();
  context.is_engine = this->environment.backend.IsEngine();
  context.terminating = this->terminating;
  context.idle = this->Idle();
  context.has_free_slot = load.waiting == 0 && load.running < load.max_batch;
  context.suspect = this->suspects.Contains(work.digest);
  context.retry_after = this->RetryAfter(work.service);
  if (this->barred.contains(work.digest)) {
    return QuarantinedProblem();
  }
  return JudgeAdmission(work, *this->snapshot, context);
}

Milliseconds WorkGate::RetryAfter(std::string_view service) const {
  const auto priority_class = this->scheduler.ClassOf(service);
  return this->scheduler.RetryAfter(
      priority_class.value_or(PriorityClass::kBackground));
}

bool WorkGate::IsQuiet(std::string_view service) const {
  if (!this->snapshot->configuration) {
    return false;
  }
  const ServiceInForce* known = this->snapshot->configuration->Find(service);
  return known != nullptr && known->document.quiet;
}

void WorkGate::Enqueue(WorkRequest request, std::shared_ptr<WorkReply> reply) {
  const bool is_engine = this->environment.backend.IsEngine();
  const bool quiet = this->IsQuiet(request.service);
  const PushOutcome outcome = this->scheduler.Push(
      SchedulerWork(request, is_engine), this->environment.clock.Now());
  if (outcome.shed) {
    // The slot may have been taken over by the new work already.
    this->RefuseQueued(*outcome.shed,
                       ShedProblem(this->RetryAfter(request.service)));
  }
  if (!outcome.handle) {
    const Problem refusal =
        outcome.refusal == PushRefusal::kUnknownService
            ? UnknownServiceProblem(request.service)
            : QueueFullProblem(this->RetryAfter(request.service));
    this->environment.recorder.OnRefused(request, quiet, refusal);
    reply->Fail(refusal);
    return;
  }
  const WorkHandle handle = *outcome.handle;
  this->NoteLive(request);
  this->environment.recorder.OnQueued(request, quiet);
  const bool must_be_alone =
      request.alone || this->suspects.Contains(request.digest);
  if (must_be_alone) {
    this->alone = handle;
  }
  reply->OnClosed([this, handle, token = std::weak_ptr<bool>(this->alive)] {
    if (!token.expired()) {
      this->OnCallerGone(handle);
    }
  });
  GatedWork& work = this->works[handle.slot];
  work.request = std::make_shared<const WorkRequest>(std::move(request));
  work.reply = std::move(reply);
  work.handle = handle;
  work.quiet = quiet;
}

void WorkGate::Apply(std::shared_ptr<const ControlSnapshot> next) {
  const bool reconfigured =
      next->configuration != this->snapshot->configuration ||
      next->pool_size != this->snapshot->pool_size;
  this->snapshot = std::move(next);
  if (reconfigured && this->snapshot->configuration) {
    const std::vector<ServicePolicy> policies =
        PoliciesOf(*this->snapshot->configuration, this->options.pool,
                   this->snapshot->pool_size);
    this->has_live_service =
        std::any_of(policies.begin(), policies.end(), [](const auto& policy) {
          return policy.priority_class == PriorityClass::kLive;
        });
    this->scheduler.Configure(policies, this->environment.clock.Now());
  }
  this->ApplyLimits();
  if (this->Draining()) {
    this->RefuseAllQueued([](const WorkRequest&) { return DrainingProblem(); });
  }
  if (this->Draining() != this->was_draining) {
    this->was_draining = this->Draining();
    this->environment.recorder.OnDrain(this->was_draining ? "began" : "ended");
  }
  if (this->environment.backend.IsEngine()) {
    this->RefuseAllQueued(
        [this](const WorkRequest& work) -> std::optional<Problem> {
          if (VersionAllows(work, *this->snapshot)) {
            return std::nullopt;
          }
          return NoVersionProblem(work.versions);
        });
    this->StopRunning(
        [this](const WorkRequest& work) -> std::optional<Problem> {
          const auto& engine = this->snapshot->engine;
          if (!engine || !work.versions.IsPast(engine->version)) {
            return std::nullopt;
          }
          return VersionOutOfBoundProblem(engine->version, work.versions);
        });
  }
  this->Pump();
}

void WorkGate::ApplyLimits() {
  ConcurrencyLimits limits = this->options.scheduler.limits;
  limits.max_running = this->options.max_running;
  if (limits.max_running == 0) {
    const auto& load = this->snapshot->load;
    limits.max_running =
        load && load->max_batch > 0 ? load->max_batch : kDefaultPlaces;
  }
  if (!this->has_live_service) {
    limits.live_headroom = 0;
  }
  limits.mixed_batch_limit = this->SharedBatch();
  if (this->snapshot->load) {
    limits.max_memory_tokens = this->snapshot->load->cache_tokens_total;
  }
  this->scheduler.SetLimits(limits);
  if (this->snapshot->load && this->snapshot->load->token_interval_us > 0) {
    this->scheduler.SetTokenInterval(
        std::chrono::microseconds(this->snapshot->load->token_interval_us));
  }
}

std::uint32_t WorkGate::SharedBatch() {
  const auto& load = this->snapshot->load;
  if (load && load->as_of_ms != this->observed_ms) {
    this->observed_ms = load->as_of_ms;
    this->slowdown.Observe(load->running,
                           static_cast<double>(load->token_interval_us));
  }
  const bool live_recently =
      this->last_live &&
      this->environment.clock.Now() - *this->last_live < kLiveMemory;
  if (!live_recently) {
    return UINT32_MAX;
  }
  // One place stays open to the others, or they would never run.
  const std::uint32_t live = this->scheduler.Running(PriorityClass::kLive);
  return std::max(
      live + 1, this->slowdown.LargestBatch(live, this->options.live_slowdown));
}

void WorkGate::NoteLive(const WorkRequest& work) {
  if (this->scheduler.ClassOf(work.service) == PriorityClass::kLive) {
    this->last_live = this->environment.clock.Now();
  }
}

void WorkGate::BeginDrain() {
  this->terminating = true;
  if (!this->was_draining) {
    this->was_draining = true;
    this->environment.recorder.OnDrain("began");
  }
  this->RefuseAllQueued([](const WorkRequest&) { return DrainingProblem(); });
}

void WorkGate::EndDrain() {
  this->StopRunning([](const WorkRequest&) { return DrainDeadlineProblem(); });
}

bool WorkGate::Draining() const {
  return this->terminating || this->snapshot->leaving;
}

GateLoad WorkGate::Load() const {
  return {this->scheduler.Running(),
          static_cast<std::uint32_t>(this->scheduler.Queued()),
          this->scheduler.Limits().max_running};
}

void WorkGate::Quarantine(std::string digest) {
  this->barred.insert(std::move(digest));
  this->RefuseAllQueued(
      [this](const WorkRequest& work) -> std::optional<Problem> {
        if (!this->barred.contains(work.digest)) {
          return std::nullopt;
        }
        return QuarantinedProblem();
      });
}

}  // namespace carobbank
