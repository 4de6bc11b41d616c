// The gate's work in progress: starting, preempting and ending it.

#include <algorithm>
#include <utility>

#include "Sidecar/problems.h"
#include "Sidecar/work_gate.h"

namespace carobbank {

namespace {

// The engine needs this long at most to free a preempted place.
constexpr Milliseconds kPreemptedRetry{50};

constexpr std::string_view kWholeOutcome = "whole";

// A server that lost the caller of a request drops it within this time; until
// then a crash may be that request's.
constexpr Milliseconds kBlameTime{1'000};
// More than a server has places for within that time.
constexpr std::size_t kMostBrokenOff = 256;

}  // namespace

WorkGate::GatedWork* WorkGate::Find(WorkHandle handle) {
  const auto found = this->works.find(handle.slot);
  const bool same =
      found != this->works.end() && found->second.handle == handle;
  return same ? &found->second : nullptr;
}

std::vector<WorkHandle> WorkGate::Handles(bool running) const {
  std::vector<WorkHandle> handles;
  for (const auto& [slot, work] : this->works) {
    if ((work.stream != nullptr) == running) {
      handles.push_back(work.handle);
    }
  }
  return handles;
}

void WorkGate::RefuseQueued(WorkHandle handle, const Problem& problem) {
  GatedWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const std::shared_ptr<WorkReply> reply = work->reply;
  this->scheduler.Remove(handle, this->environment.clock.Now());
  this->environment.recorder.OnRefused(*work->request, work->quiet, problem);
  if (this->alone == handle) {
    this->alone.reset();
  }
  this->works.erase(handle.slot);
  reply->Fail(problem);
}

void WorkGate::RefuseAllQueued(
    const std::function<std::optional<Problem>(const WorkRequest&)>& judge) {
  for (const WorkHandle handle : this->Handles(false)) {
    GatedWork* work = this->Find(handle);
    if (work == nullptr) {
      continue;
    }
    if (const auto problem = judge(*work->request)) {
      this->RefuseQueued(handle, *problem);
    }
  }
}

void WorkGate::StopRunning(
    const std::function<std::optional<Problem>(const WorkRequest&)>& judge) {
  for (const WorkHandle handle : this->Handles(true)) {
    GatedWork* work = this->Find(handle);
    if (work == nullptr) {
      continue;
    }
    if (const auto problem = judge(*work->request)) {
      const std::shared_ptr<WorkStream> stream = work->stream;
      stream->Stop(*problem);
    }
  }
}

void WorkGate::Tick() {
  const MonotonicTime now = this->environment.clock.Now();
  // Ending one changes `works`, so that both are copied first.
  std::vector<std::shared_ptr<WorkReply>> replies;
  std::vector<std::shared_ptr<WorkStream>> streams;
  for (const auto& [slot, work] : this->works) {
    replies.push_back(work.reply);
    if (work.stream != nullptr) {
      streams.push_back(work.stream);
    }
  }
  for (const auto& stream : streams) {
    stream->CheckSilence(now);
  }
  for (const auto& reply : replies) {
    reply->KeepAlive(now);
  }
  this->Pump();
  this->RecordQueues();
}

void WorkGate::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  this->RefuseExpired();
  this->Preempt();
  while (this->StartNext()) {
  }
  this->pumping = false;
  if (const auto wake = this->scheduler.NextWake()) {
    this->environment.wake_at(*wake);
  }
}

void WorkGate::RefuseExpired() {
  const MonotonicTime now = this->environment.clock.Now();
  for (const WorkHandle handle : this->scheduler.TakeExpired(now)) {
    this->RefuseQueued(handle, DeadlineProblem());
  }
}

void WorkGate::Preempt() {
  while (const auto handle =
             this->scheduler.ChoosePreemption(this->environment.clock.Now())) {
    GatedWork* work = this->Find(*handle);
    if (work == nullptr || work->stream == nullptr) {
      return;
    }
    const std::shared_ptr<WorkStream> stream = work->stream;
    this->environment.recorder.OnPreempted(*work->request, work->quiet);
    stream->Stop(PreemptedProblem(kPreemptedRetry));
  }
}

bool WorkGate::StartNext() {
  // While a work runs alone, nothing starts beside it.
  if (this->alone && this->scheduler.Running() > 0) {
    return false;
  }
  const auto handle = this->scheduler.Start(this->environment.clock.Now());
  if (!handle) {
    return false;
  }
  GatedWork* work = this->Find(*handle);
  if (work == nullptr) {
    this->scheduler.Finish(*handle, this->environment.clock.Now());
    return true;
  }
  this->Run(*work);
  return true;
}

void WorkGate::Run(GatedWork& work) {
  const WorkHandle handle = work.handle;
  const MonotonicTime now = this->environment.clock.Now();
  // A process that was paused wakes with time gone by; nothing was sent yet.
  if (work.request->ExpiredAt(now, this->environment.clock.WallNow())) {
    const std::shared_ptr<WorkReply> reply = work.reply;
    this->environment.recorder.OnRefused(*work.request, work.quiet,
                                         DeadlineProblem());
    this->Forget(handle, "deadline_exceeded");
    reply->Fail(DeadlineProblem());
    return;
  }
  if (this->snapshot->engine) {
    work.incarnation = this->snapshot->engine->incarnation;
  }
  this->environment.recorder.OnStarted(*work.request, work.quiet, now);
  StreamHandlers handlers;
  handlers.on_tokens = [this, handle](std::uint32_t tokens,
                                      std::optional<std::uint64_t> version) {
    this->OnTokens(handle, tokens, version);
  };
  handlers.on_end = [this, handle](StreamEnd end,
                                   const std::optional<Problem>& problem) {
    this->OnEnd(handle, end, problem);
  };
  work.reply->SetLabel("X-Carobbank-Load", this->Load().Text());
  const auto stream = std::make_shared<WorkStream>(
      this->environment.backend, work.request, work.reply, std::move(handlers));
  work.stream = stream;
  work.began = now;
  stream->Begin();
}

void WorkGate::OnTokens(WorkHandle handle,
                        std::uint32_t tokens,
                        std::optional<std::uint64_t> version) {
  GatedWork* work = this->Find(handle);
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

void WorkGate::OnEnd(WorkHandle handle,
                     StreamEnd end,
                     const std::optional<Problem>& problem) {
  GatedWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  if (end != StreamEnd::kBroken) {
    this->Forget(handle,
                 problem ? std::string_view(problem->code) : kWholeOutcome);
    this->Pump();
    return;
  }
  // The place stays taken until it is known what happened.
  this->environment.backend.ProbeCrash(
      work->incarnation,
      [this, handle, broken = *problem,
       token = std::weak_ptr<bool>(this->alive)](bool crashed) {
        if (!token.expired()) {
          this->OnProbed(handle, broken, crashed);
        }
      });
}

void WorkGate::OnProbed(WorkHandle handle,
                        const Problem& broken,
                        bool crashed) {
  GatedWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const Problem problem = crashed ? BackendCrashedProblem() : broken;
  const std::shared_ptr<WorkReply> reply = work->reply;
  if (crashed && !work->blamed) {
    this->BlameRunning();
  }
  this->Forget(handle, problem.code);
  reply->Fail(problem);
  this->Pump();
}

void WorkGate::BlameRunning() {
  CrashEvidence evidence;
  evidence.lists_all_work = true;
  const MonotonicTime now = this->environment.clock.Now();
  MonotonicTime earliest_began = now;
  for (auto& [slot, work] : this->works) {
    if (work.stream == nullptr || work.blamed) {
      continue;
    }
    work.blamed = true;
    earliest_began = std::min(earliest_began, work.began);
    const std::string& digest = work.request->digest;
    evidence.lists_all_work = evidence.lists_all_work && !digest.empty();
    if (!digest.empty()) {
      this->suspects.Add(digest);
      evidence.digests.push_back(digest);
    }
  }
  // What ended before any of these began had left the server already.
  for (const BrokenOffWork& work : std::exchange(this->broken_off, {})) {
    if (work.ended > earliest_began && now - work.ended <= kBlameTime) {
      this->suspects.Add(work.digest);
      evidence.digests.push_back(work.digest);
    }
  }
  if (!evidence.digests.empty()) {
    this->environment.on_crash(evidence);
  }
}

void WorkGate::NoteBrokenOff(const WorkRequest& request) {
  if (request.digest.empty()) {
    return;
  }
  this->broken_off.push_back({request.digest, this->environment.clock.Now()});
  if (this->broken_off.size() > kMostBrokenOff) {
    this->broken_off.pop_front();
  }
}

void WorkGate::Forget(WorkHandle handle, std::string_view outcome) {
  GatedWork* work = this->Find(handle);
  const MonotonicTime now = this->environment.clock.Now();
  if (!this->environment.backend.IsEngine()) {
    this->scheduler.RecordGeneratedTokens(handle, 1, now);
  }
  this->scheduler.Finish(handle, now);
  this->environment.recorder.OnEnded(*work->request, work->quiet, outcome,
                                     work->tokens);
  if (outcome != kWholeOutcome && work->reply->Started()) {
    this->environment.recorder.OnCut(*work->request, outcome, work->tokens);
  }
  if (outcome != kWholeOutcome && work->stream != nullptr && !work->blamed) {
    this->NoteBrokenOff(*work->request);
  }
  this->NoteLive(*work->request);
  if (this->alone == handle) {
    this->alone.reset();
  }
  this->works.erase(handle.slot);
}

void WorkGate::OnCallerGone(WorkHandle handle) {
  GatedWork* work = this->Find(handle);
  if (work == nullptr) {
    return;
  }
  const Problem gone = BackendFailedProblem("the entry went away");
  if (work->stream != nullptr) {
    const std::shared_ptr<WorkStream> stream = work->stream;
    stream->Stop(gone);
  } else {
    this->RefuseQueued(handle, gone);
  }
  this->Pump();
}

void WorkGate::RecordQueues() {
  for (const ServiceReport& report : this->scheduler.Report()) {
    this->environment.recorder.SetQueueLength(report.service, report.queued);
  }
}

}  // namespace carobbank
