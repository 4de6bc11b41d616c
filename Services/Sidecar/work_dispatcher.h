// The last gate before the backend server: takes work in, queues it through the
// scheduler, runs it, and ends it truthfully. Lives on the traffic thread.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibScheduling/scheduling.h"
#include "Sidecar/admission.h"
#include "Sidecar/backend.h"
#include "Sidecar/crash_suspects.h"
#include "Sidecar/work_recorder.h"
#include "Sidecar/work_response_writer.h"
#include "Sidecar/work_stream.h"

namespace carobbank {

struct WorkDispatcherOptions {
  std::string instance;
  std::string pool;
  SchedulerOptions scheduler;
  // 0: as many as the engine reports for its batch.
  std::uint32_t max_running = 0;
  // While live work runs, its tokens take at most this many times as long as
  // without other classes in the batch.
  double live_slowdown = 1.15;
};

struct WorkDispatcherEnvironment {
  const Clock& clock;
  Backend& backend;
  WorkRecorder recorder;
  // Call Tick() at this time, at the latest.
  std::function<void(MonotonicTime)> wake_at;
  // The backend server crashed; called once for each crash.
  std::function<void(const CrashEvidence& evidence)> on_crash;
};

struct WorkDispatcherLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_batch = 0;

  // "<running>,<waiting>,<max_batch>"
  std::string Text() const;
};

class WorkDispatcher {
 public:
  WorkDispatcher(WorkDispatcherEnvironment environment,
                 const WorkDispatcherOptions& options);
  ~WorkDispatcher();
  WorkDispatcher(const WorkDispatcher&) = delete;
  WorkDispatcher& operator=(const WorkDispatcher&) = delete;

  // Takes the request in, or refuses it.
  void Admit(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  // New control state.
  void Apply(std::shared_ptr<const SidecarControlSnapshot> snapshot);
  // Time passed: expiry, starts, comments to those who wait.
  void Tick();

  // From now on everything is refused; what has not begun is refused at once,
  // so that the entries send it elsewhere; what runs goes on.
  void BeginDrain();
  // Ends what still runs with an explicit error.
  void EndDrain();
  bool Draining() const;
  // Nothing waits and nothing runs.
  bool Idle() const { return this->active_work.empty(); }

  WorkDispatcherLoad Load() const;
  std::vector<ServiceReport> Services() const {
    return this->scheduler.Report();
  }
  const SidecarControlSnapshot& Snapshot() const { return *this->snapshot; }
  // Barred at once, before the configuration says so.
  void Quarantine(std::string digest);

 private:
  // A piece of work between its receipt and its end.
  struct ActiveWork {
    std::shared_ptr<const WorkRequest> request;
    std::shared_ptr<WorkResponseWriter> response;
    WorkHandle handle;
    // Set while it runs.
    std::shared_ptr<WorkStream> stream;
    // When it began to run.
    MonotonicTime began{};
    // The engine's, when the work began.
    std::optional<std::uint64_t> incarnation;
    std::optional<std::uint64_t> version;
    std::uint64_t tokens = 0;
    // Its digest is in the evidence of a crash already.
    bool reported_in_crash = false;
    // No events for it.
    bool quiet = false;
  };

  std::shared_ptr<WorkResponseWriter> MakeResponseWriter(
      const WorkRequest& work,
      std::shared_ptr<HttpResponder> responder);
  std::optional<Problem> AdmissionRefusal(const WorkRequest& work) const;
  Milliseconds RetryAfter(std::string_view service) const;
  bool IsQuiet(std::string_view service) const;
  void Enqueue(WorkRequest work, std::shared_ptr<WorkResponseWriter> response);

  ActiveWork* Find(WorkHandle handle);
  void RefuseQueued(WorkHandle handle, const Problem& problem);
  void RefuseAllQueued(
      const std::function<std::optional<Problem>(const WorkRequest&)>& check);
  void StopRunning(
      const std::function<std::optional<Problem>(const WorkRequest&)>& check);
  std::vector<WorkHandle> Handles(bool running) const;

  // Refuses what expired, preempts, and starts what may start.
  void DispatchQueued();
  void RefuseExpired();
  void Preempt();
  bool StartNext();
  void Run(ActiveWork& work);
  void OnTokens(WorkHandle handle,
                std::uint32_t tokens,
                std::optional<std::uint64_t> version);
  void OnEnd(WorkHandle handle,
             WorkStreamOutcome outcome,
             const std::optional<Problem>& problem);
  // Everything that runs now, or broke off beside it shortly before, may be the
  // cause.
  void ReportCrashSuspects();
  void RecordEndedEarly(const WorkRequest& request);
  void OnProbed(WorkHandle handle, const Problem& problem, bool crashed);
  void Finish(WorkHandle handle, std::string_view outcome);
  void OnCallerDisconnected(WorkHandle handle);
  void ApplyLimits();
  // How large a batch may be with live work in it; no limit without.
  std::uint32_t MixedBatchLimit();
  void RecordLiveActivity(const WorkRequest& work);
  void RecordQueues();

  WorkDispatcherEnvironment environment;
  WorkDispatcherOptions options;
  Scheduler scheduler;
  // Never null.
  std::shared_ptr<const SidecarControlSnapshot> snapshot;
  // By the handle's slot. Invariant: holds exactly what the scheduler holds.
  std::unordered_map<std::uint32_t, ActiveWork> active_work;
  CrashSuspects suspects;
  // Work that ended early: a server may crash on it a moment later. Invariant:
  // by age, none reported_in_crash yet, at most kMaxEndedEarly.
  struct EndedEarlyWork {
    std::string digest;
    MonotonicTime ended;
  };
  std::deque<EndedEarlyWork> ended_early;
  std::set<std::string, std::less<>> quarantined;
  // A work that must run with nothing else at risk.
  std::optional<WorkHandle> exclusive_work;
  BatchSlowdown slowdown;
  // The report that `slowdown` took in last.
  WallMilliseconds observed_load_ms = 0;
  // When live work last started or ended.
  std::optional<MonotonicTime> last_live_activity;
  // Headroom is kept only for services that there are.
  bool has_live_service = false;
  bool terminating = false;
  bool was_draining = false;
  bool dispatching = false;
  // Expires with this object, so that probes can tell.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
