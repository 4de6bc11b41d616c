// Dispatches requests to the backend server: admits them, queues them through
// the scheduler, runs them, and ends each response complete or with an explicit
// error. Runs on the traffic thread.

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
  // Concurrency limit; 0 selects the batch size that the engine reports.
  std::uint32_t max_running = 0;
  // While live requests run, their token interval may be at most this many
  // times the interval in a batch without other classes.
  double live_slowdown = 1.15;
};

struct WorkDispatcherEnvironment {
  const Clock& clock;
  Backend& backend;
  WorkRecorder recorder;
  // Schedules a call of Tick() at this time at the latest.
  std::function<void(MonotonicTime)> wake_at;
  // Called once for each crash of the backend server.
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

  // Queues the request, or refuses it with a problem response.
  void Admit(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  // Replaces the control snapshot, and re-evaluates queued and running requests
  // against it.
  void Apply(std::shared_ptr<const SidecarControlSnapshot> snapshot);
  // Periodic work: refuses expired requests, ends unresponsive streams, sends
  // keep-alive comments and starts queued requests.
  void Tick();

  // Refuses every queued and later request, so that the entries send them to
  // other servers. Running requests continue.
  void BeginDrain();
  // Ends the requests that still run with an explicit error.
  void EndDrain();
  bool Draining() const;
  // No request is queued or running.
  bool Idle() const { return this->active_work.empty(); }

  WorkDispatcherLoad Load() const;
  std::vector<ServiceReport> Services() const {
    return this->scheduler.Report();
  }
  const SidecarControlSnapshot& Snapshot() const { return *this->snapshot; }
  // Quarantines the digest before it arrives in the configuration.
  void Quarantine(std::string digest);

 private:
  // A request between its admission and its end.
  struct ActiveWork {
    std::shared_ptr<const WorkRequest> request;
    std::shared_ptr<WorkResponseWriter> response;
    WorkHandle handle;
    // Set while the request runs.
    std::shared_ptr<WorkStream> stream;
    // When the request began to run.
    MonotonicTime began{};
    // The engine's incarnation when the request began to run.
    std::optional<std::uint64_t> incarnation;
    std::optional<std::uint64_t> version;
    std::uint64_t tokens = 0;
    // The digest was already reported in the evidence of a crash.
    bool reported_in_crash = false;
    // The request writes no timeline events.
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

  // Refuses expired requests, preempts, and starts queued requests while the
  // limits allow.
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
  // Reports the digests of all running requests, and of those that ended early
  // beside them shortly before: each may have caused the crash.
  void ReportCrashSuspects();
  void RecordEndedEarly(const WorkRequest& request);
  void OnProbed(WorkHandle handle,
                const Problem& connection_problem,
                bool crashed);
  void Finish(WorkHandle handle, std::string_view outcome);
  void OnCallerDisconnected(WorkHandle handle);
  void ApplyLimits();
  // The largest batch that may contain live requests; UINT32_MAX while no live
  // request ran recently.
  std::uint32_t MixedBatchLimit();
  void RecordLiveActivity(const WorkRequest& work);
  void RecordQueues();

  WorkDispatcherEnvironment environment;
  WorkDispatcherOptions options;
  Scheduler scheduler;
  // Never null.
  std::shared_ptr<const SidecarControlSnapshot> snapshot;
  // Queued and running requests by the handle's slot. Invariant: the same
  // requests as in `scheduler`.
  std::unordered_map<std::uint32_t, ActiveWork> active_work;
  CrashSuspects suspects;
  // Requests that ended early; the server may still crash on one a moment
  // later. Invariant: oldest first, none reported in a crash, at most
  // kMaxEndedEarly.
  struct EndedEarlyWork {
    std::string digest;
    MonotonicTime ended;
  };
  std::deque<EndedEarlyWork> ended_early;
  std::set<std::string, std::less<>> quarantined;
  // The request that must run with no other on this server.
  std::optional<WorkHandle> exclusive_work;
  BatchSlowdown slowdown;
  // Time of the load report that was last applied to `slowdown`.
  WallMilliseconds observed_load_ms = 0;
  // When a live request was last admitted or ended.
  std::optional<MonotonicTime> last_live_activity;
  // Live headroom is reserved only while the configuration has a live service.
  bool has_live_service = false;
  bool terminating = false;
  bool was_draining = false;
  bool dispatching = false;
  // Expires with this object; callbacks check it before they use `this`.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
