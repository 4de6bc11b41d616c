// Admission, control snapshots, limits and drain of the dispatcher.

#include "Sidecar/work_dispatcher.h"

#include <algorithm>
#include <utility>

#include "Sidecar/problems.h"
#include "Sidecar/service_policies.h"

namespace carobbank {

namespace {

// Applies until the engine has reported its batch size.
constexpr std::uint32_t kDefaultMaxRunning = 8;

// Live calls often follow one another; the batch limit stays in effect for this
// long after the last one.
constexpr Milliseconds kLiveRecencyWindow{2'000};

// A request of a plain service counts as one unit, so that fair shares apply to
// requests.
constexpr std::uint32_t kPlainUnit = 1;

WorkItem ToWorkItem(const WorkRequest& request, bool is_engine) {
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

std::string WorkDispatcherLoad::Text() const {
  return std::to_string(this->running) + "," + std::to_string(this->waiting) +
         "," + std::to_string(this->max_batch);
}

WorkDispatcher::WorkDispatcher(WorkDispatcherEnvironment environment,
                               const WorkDispatcherOptions& options)
    : environment(std::move(environment)),
      options(options),
      scheduler(options.scheduler),
      snapshot(std::make_shared<const SidecarControlSnapshot>()) {
  this->ApplyLimits();
}

WorkDispatcher::~WorkDispatcher() = default;

void WorkDispatcher::Admit(HttpRequest request,
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
  auto response = this->MakeResponseWriter(work, std::move(responder));
  if (const auto refusal = this->AdmissionRefusal(work)) {
    this->environment.recorder.OnRefused(work, this->IsQuiet(work.service),
                                         *refusal);
    response->Fail(*refusal);
    return;
  }
  this->Enqueue(std::move(work), std::move(response));
  this->DispatchQueued();
}

std::shared_ptr<WorkResponseWriter> WorkDispatcher::MakeResponseWriter(
    const WorkRequest& work,
    std::shared_ptr<HttpResponder> responder) {
  HttpHeaders extra_headers = {
      {"X-Carobbank-Instance", this->options.instance},
      {"X-Carobbank-Time", this->environment.recorder.Stamp()},
      {"X-Carobbank-Load", this->Load().Text()},
      {"X-Carobbank-Attempt", work.attempt_id}};
  return std::make_shared<WorkResponseWriter>(
      std::move(responder), std::move(extra_headers), work.streamed);
}

std::optional<Problem> WorkDispatcher::AdmissionRefusal(
    const WorkRequest& work) const {
  const WorkDispatcherLoad load = this->Load();
  AdmissionContext context;
  context.now = this->environment.clock.Now();
  context.wall_now = this->environment.clock.WallNow();
  context.is_engine = this->environment.backend.IsEngine();
  context.terminating = this->terminating;
  context.idle = this->Idle();
  context.has_free_slot = load.waiting == 0 && load.running < load.max_batch;
  context.suspect = this->suspects.Contains(work.digest);
  context.retry_after = this->RetryAfter(work.service);
  if (this->quarantined.contains(work.digest)) {
    return QuarantinedProblem();
  }
  return CheckAdmission(work, *this->snapshot, context);
}

Milliseconds WorkDispatcher::RetryAfter(std::string_view service) const {
  const auto priority_class = this->scheduler.ClassOf(service);
  return this->scheduler.RetryAfter(
      priority_class.value_or(PriorityClass::kBackground));
}

bool WorkDispatcher::IsQuiet(std::string_view service) const {
  if (!this->snapshot->configuration) {
    return false;
  }
  const ServiceInForce* service_in_force =
      this->snapshot->configuration->Find(service);
  return service_in_force != nullptr && service_in_force->document.quiet;
}

void WorkDispatcher::Enqueue(WorkRequest request,
                             std::shared_ptr<WorkResponseWriter> response) {
  const bool is_engine = this->environment.backend.IsEngine();
  const bool quiet = this->IsQuiet(request.service);
  const PushOutcome outcome = this->scheduler.Push(
      ToWorkItem(request, is_engine), this->environment.clock.Now());
  if (outcome.shed) {
    // The new request may already have reused the slot of the shed one.
    this->RefuseQueued(*outcome.shed,
                       ShedProblem(this->RetryAfter(request.service)));
  }
  if (!outcome.handle) {
    const Problem refusal =
        outcome.refusal == PushRefusal::kUnknownService
            ? UnknownServiceProblem(request.service)
            : QueueFullProblem(this->RetryAfter(request.service));
    this->environment.recorder.OnRefused(request, quiet, refusal);
    response->Fail(refusal);
    return;
  }
  const WorkHandle handle = *outcome.handle;
  this->RecordLiveActivity(request);
  this->environment.recorder.OnQueued(request, quiet);
  const bool must_be_exclusive =
      request.exclusive || this->suspects.Contains(request.digest);
  if (must_be_exclusive) {
    this->exclusive_work = handle;
  }
  response->OnClosed([this, handle, token = std::weak_ptr<bool>(this->alive)] {
    if (!token.expired()) {
      this->OnCallerDisconnected(handle);
    }
  });
  ActiveWork& work = this->active_work[handle.slot];
  work.request = std::make_shared<const WorkRequest>(std::move(request));
  work.response = std::move(response);
  work.handle = handle;
  work.quiet = quiet;
}

void WorkDispatcher::Apply(std::shared_ptr<const SidecarControlSnapshot> next) {
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
          if (!engine || !work.versions.IsTooNew(engine->version)) {
            return std::nullopt;
          }
          return VersionOutOfBoundProblem(engine->version, work.versions);
        });
  }
  this->DispatchQueued();
}

void WorkDispatcher::ApplyLimits() {
  ConcurrencyLimits limits = this->options.scheduler.limits;
  limits.max_running = this->options.max_running;
  if (limits.max_running == 0) {
    const auto& load = this->snapshot->load;
    limits.max_running =
        load && load->max_batch > 0 ? load->max_batch : kDefaultMaxRunning;
  }
  if (!this->has_live_service) {
    limits.live_headroom = 0;
  }
  limits.mixed_batch_limit = this->MixedBatchLimit();
  if (this->snapshot->load) {
    limits.max_memory_tokens = this->snapshot->load->cache_tokens_total;
  }
  this->scheduler.SetLimits(limits);
  if (this->snapshot->load && this->snapshot->load->token_interval_us > 0) {
    this->scheduler.SetTokenInterval(
        std::chrono::microseconds(this->snapshot->load->token_interval_us));
  }
}

std::uint32_t WorkDispatcher::MixedBatchLimit() {
  const auto& load = this->snapshot->load;
  if (load && load->as_of_ms != this->observed_load_ms) {
    this->observed_load_ms = load->as_of_ms;
    this->slowdown.Observe(load->running,
                           static_cast<double>(load->token_interval_us));
  }
  const bool live_recently =
      this->last_live_activity &&
      this->environment.clock.Now() - *this->last_live_activity <
          kLiveRecencyWindow;
  if (!live_recently) {
    return UINT32_MAX;
  }
  // One concurrency slot stays open to the other classes, which would otherwise
  // never run.
  const std::uint32_t live = this->scheduler.Running(PriorityClass::kLive);
  return std::max(
      live + 1, this->slowdown.LargestBatch(live, this->options.live_slowdown));
}

void WorkDispatcher::RecordLiveActivity(const WorkRequest& work) {
  if (this->scheduler.ClassOf(work.service) == PriorityClass::kLive) {
    this->last_live_activity = this->environment.clock.Now();
  }
}

void WorkDispatcher::BeginDrain() {
  this->terminating = true;
  if (!this->was_draining) {
    this->was_draining = true;
    this->environment.recorder.OnDrain("began");
  }
  this->RefuseAllQueued([](const WorkRequest&) { return DrainingProblem(); });
}

void WorkDispatcher::EndDrain() {
  this->StopRunning([](const WorkRequest&) { return DrainDeadlineProblem(); });
}

bool WorkDispatcher::Draining() const {
  return this->terminating || this->snapshot->leaving;
}

WorkDispatcherLoad WorkDispatcher::Load() const {
  return {this->scheduler.Running(),
          static_cast<std::uint32_t>(this->scheduler.Queued()),
          this->scheduler.Limits().max_running};
}

void WorkDispatcher::Quarantine(std::string digest) {
  this->quarantined.insert(std::move(digest));
  this->RefuseAllQueued(
      [this](const WorkRequest& work) -> std::optional<Problem> {
        if (!this->quarantined.contains(work.digest)) {
          return std::nullopt;
        }
        return QuarantinedProblem();
      });
}

}  // namespace carobbank
