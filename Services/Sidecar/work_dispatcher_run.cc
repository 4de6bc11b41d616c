// Starting, preempting and ending of requests in the dispatcher.

#include <algorithm>
#include <utility>

#include "Sidecar/problems.h"
#include "Sidecar/work_dispatcher.h"

namespace carobbank {

namespace {

// The engine takes at most this long to free the concurrency slot of a
// preempted request.
constexpr Milliseconds kPreemptedRetry{50};

constexpr std::string_view kCompleteOutcome = "whole";

// A server drops a request within this time after its caller disconnected.
// Until then the request may cause a crash.
constexpr Milliseconds kCrashAttributionWindow{1'000};
// More requests than a server can run within kCrashAttributionWindow.
constexpr std::size_t kMaxEndedEarly = 256;

}  // namespace

WorkDispatcher::ActiveWork* WorkDispatcher::Find(WorkHandle handle) {
  const auto found = this->active_work.find(handle.slot);
  const bool same =
      found != this->active_work.end() && found->second.handle == handle;
  return same ? &found->second : nullptr;
}

std::vector<WorkHandle> WorkDispatcher::Handles(bool running) const {
  std::vector<WorkHandle> handles;
  for (const auto& [slot, work] : this->active_work) {
    if ((work.stream != nullptr) == running) {
      handles.push_back(work.handle);
    }
  }
  return handles;
}

void WorkDispatcher::RefuseQueued(WorkHandle handle, const Problem& problem) {
  ActiveWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const std::shared_ptr<WorkResponseWriter> response = work->response;
  this->scheduler.Remove(handle, this->environment.clock.Now());
  this->environment.recorder.OnRefused(*work->request, work->quiet, problem);
  if (this->exclusive_work == handle) {
    this->exclusive_work.reset();
  }
  this->active_work.erase(handle.slot);
  response->Fail(problem);
}

void WorkDispatcher::RefuseAllQueued(
    const std::function<std::optional<Problem>(const WorkRequest&)>& check) {
  for (const WorkHandle handle : this->Handles(false)) {
    ActiveWork* work = this->Find(handle);
    if (work == nullptr) {
      continue;
    }
    if (const auto problem = check(*work->request)) {
      this->RefuseQueued(handle, *problem);
    }
  }
}

void WorkDispatcher::StopRunning(
    const std::function<std::optional<Problem>(const WorkRequest&)>& check) {
  for (const WorkHandle handle : this->Handles(true)) {
    ActiveWork* work = this->Find(handle);
    if (work == nullptr) {
      continue;
    }
    if (const auto problem = check(*work->request)) {
      const std::shared_ptr<WorkStream> stream = work->stream;
      stream->Stop(*problem);
    }
  }
}

void WorkDispatcher::Tick() {
  const MonotonicTime now = this->environment.clock.Now();
  // Ending a request changes `active_work`, so both lists are copied first.
  std::vector<std::shared_ptr<WorkResponseWriter>> responses;
  std::vector<std::shared_ptr<WorkStream>> streams;
  for (const auto& [slot, work] : this->active_work) {
    responses.push_back(work.response);
    if (work.stream != nullptr) {
      streams.push_back(work.stream);
    }
  }
  for (const auto& stream : streams) {
    stream->CheckTimeouts(now);
  }
  for (const auto& response : responses) {
    response->KeepAlive(now);
  }
  this->DispatchQueued();
  this->RecordQueues();
}

void WorkDispatcher::DispatchQueued() {
  if (this->dispatching) {
    return;
  }
  this->dispatching = true;
  this->RefuseExpired();
  this->Preempt();
  while (this->StartNext()) {
  }
  this->dispatching = false;
  if (const auto wake = this->scheduler.NextWake()) {
    this->environment.wake_at(*wake);
  }
}

void WorkDispatcher::RefuseExpired() {
  const MonotonicTime now = this->environment.clock.Now();
  for (const WorkHandle handle : this->scheduler.TakeExpired(now)) {
    this->RefuseQueued(handle, DeadlineProblem());
  }
}

void WorkDispatcher::Preempt() {
  while (const auto handle =
             this->scheduler.ChoosePreemption(this->environment.clock.Now())) {
    ActiveWork* work = this->Find(*handle);
    if (work == nullptr || work->stream == nullptr) {
      return;
    }
    const std::shared_ptr<WorkStream> stream = work->stream;
    this->environment.recorder.OnPreempted(*work->request, work->quiet);
    stream->Stop(PreemptedProblem(kPreemptedRetry));
  }
}

bool WorkDispatcher::StartNext() {
  // While an exclusive request is admitted, no request starts beside a running
  // one.
  if (this->exclusive_work && this->scheduler.Running() > 0) {
    return false;
  }
  const auto handle = this->scheduler.Start(this->environment.clock.Now());
  if (!handle) {
    return false;
  }
  ActiveWork* work = this->Find(*handle);
  if (work == nullptr) {
    this->scheduler.Finish(*handle, this->environment.clock.Now());
    return true;
  }
  this->Run(*work);
  return true;
}

void WorkDispatcher::Run(ActiveWork& work) {
  const WorkHandle handle = work.handle;
  const MonotonicTime now = this->environment.clock.Now();
  // The deadline may have passed while this process was suspended. Nothing was
  // sent to the backend server yet, so refusing is still safe.
  if (work.request->ExpiredAt(now, this->environment.clock.WallNow())) {
    const std::shared_ptr<WorkResponseWriter> response = work.response;
    this->environment.recorder.OnRefused(*work.request, work.quiet,
                                         DeadlineProblem());
    this->Finish(handle, "deadline_exceeded");
    response->Fail(DeadlineProblem());
    return;
  }
  if (this->snapshot->engine) {
    work.incarnation = this->snapshot->engine->incarnation;
  }
  this->environment.recorder.OnStarted(*work.request, work.quiet, now);
  WorkStreamHandlers handlers;
  handlers.on_tokens = [this, handle](std::uint32_t tokens,
                                      std::optional<std::uint64_t> version) {
    this->OnTokens(handle, tokens, version);
  };
  handlers.on_end = [this, handle](WorkStreamOutcome outcome,
                                   const std::optional<Problem>& problem) {
    this->OnEnd(handle, outcome, problem);
  };
  work.response->SetResponseHeader("X-Carobbank-Load", this->Load().Text());
  const auto stream =
      std::make_shared<WorkStream>(this->environment.backend, work.request,
                                   work.response, std::move(handlers));
  work.stream = stream;
  work.began = now;
  stream->Begin();
}

void WorkDispatcher::OnTokens(WorkHandle handle,
                              std::uint32_t tokens,
                              std::optional<std::uint64_t> version) {
  ActiveWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  this->scheduler.RecordGeneratedTokens(handle, tokens,
                                        this->environment.clock.Now());
  this->environment.recorder.OnTokens(*work->request, tokens);
  if (work->tokens == 0) {
    this->environment.recorder.OnFirstToken(*work->request, work->quiet);
  }
  work->tokens += tokens;
  if (version && version != work->version) {
    work->version = version;
    this->environment.recorder.OnVersionChange(*work->request, work->quiet,
                                               *version);
  }
}

void WorkDispatcher::OnEnd(WorkHandle handle,
                           WorkStreamOutcome outcome,
                           const std::optional<Problem>& problem) {
  ActiveWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  if (outcome != WorkStreamOutcome::kBroken) {
    this->Finish(handle,
                 problem ? std::string_view(problem->code) : kCompleteOutcome);
    this->DispatchQueued();
    return;
  }
  // The request keeps its concurrency slot until the probe has distinguished a
  // crash from a broken connection.
  this->environment.backend.ProbeCrash(
      work->incarnation,
      [this, handle, connection_problem = *problem,
       token = std::weak_ptr<bool>(this->alive)](bool crashed) {
        if (!token.expired()) {
          this->OnProbed(handle, connection_problem, crashed);
        }
      });
}

void WorkDispatcher::OnProbed(WorkHandle handle,
                              const Problem& connection_problem,
                              bool crashed) {
  ActiveWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const Problem problem =
      crashed ? BackendCrashedProblem() : connection_problem;
  const std::shared_ptr<WorkResponseWriter> response = work->response;
  if (crashed && !work->reported_in_crash) {
    this->ReportCrashSuspects();
  }
  this->Finish(handle, problem.code);
  response->Fail(problem);
  this->DispatchQueued();
}

void WorkDispatcher::ReportCrashSuspects() {
  CrashEvidence evidence;
  evidence.lists_all_work = true;
  const MonotonicTime now = this->environment.clock.Now();
  MonotonicTime earliest_began = now;
  for (auto& [slot, work] : this->active_work) {
    if (work.stream == nullptr || work.reported_in_crash) {
      continue;
    }
    work.reported_in_crash = true;
    earliest_began = std::min(earliest_began, work.began);
    const std::string& digest = work.request->digest;
    evidence.lists_all_work = evidence.lists_all_work && !digest.empty();
    if (!digest.empty()) {
      this->suspects.Add(digest);
      evidence.digests.push_back(digest);
    }
  }
  // A request that ended before the earliest of these began had left the
  // server.
  for (const EndedEarlyWork& work : std::exchange(this->ended_early, {})) {
    if (work.ended > earliest_began &&
        now - work.ended <= kCrashAttributionWindow) {
      this->suspects.Add(work.digest);
      evidence.digests.push_back(work.digest);
    }
  }
  if (!evidence.digests.empty()) {
    this->environment.on_crash(evidence);
  }
}

void WorkDispatcher::RecordEndedEarly(const WorkRequest& request) {
  if (request.digest.empty()) {
    return;
  }
  this->ended_early.push_back({request.digest, this->environment.clock.Now()});
  if (this->ended_early.size() > kMaxEndedEarly) {
    this->ended_early.pop_front();
  }
}

void WorkDispatcher::Finish(WorkHandle handle, std::string_view outcome) {
  ActiveWork* work = this->Find(handle);
  const MonotonicTime now = this->environment.clock.Now();
  if (!this->environment.backend.IsEngine()) {
    this->scheduler.RecordGeneratedTokens(handle, 1, now);
  }
  this->scheduler.Finish(handle, now);
  this->environment.recorder.OnEnded(*work->request, work->quiet, outcome,
                                     work->tokens);
  if (outcome != kCompleteOutcome && work->response->Started()) {
    this->environment.recorder.OnTruncated(*work->request, outcome,
                                           work->tokens);
  }
  if (outcome != kCompleteOutcome && work->stream != nullptr &&
      !work->reported_in_crash) {
    this->RecordEndedEarly(*work->request);
  }
  this->RecordLiveActivity(*work->request);
  if (this->exclusive_work == handle) {
    this->exclusive_work.reset();
  }
  this->active_work.erase(handle.slot);
}

void WorkDispatcher::OnCallerDisconnected(WorkHandle handle) {
  ActiveWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const Problem problem =
      BackendFailedProblem("the entry closed the connection");
  if (work->stream != nullptr) {
    const std::shared_ptr<WorkStream> stream = work->stream;
    stream->Stop(problem);
  } else {
    this->RefuseQueued(handle, problem);
  }
  this->DispatchQueued();
}

void WorkDispatcher::RecordQueues() {
  for (const ServiceReport& report : this->scheduler.Report()) {
    this->environment.recorder.SetQueueLength(report.service, report.queued);
  }
}

}  // namespace carobbank
