// Runs the samples of the batch jobs in the partitions that this instance owns.
// Ownership only avoids duplicate work. The first result of a sample in the log
// is in force, whichever instance ran the sample.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "excluded_servers.h"
#include "job_partition.h"
#include "released_attempts.h"
#include "sample_output_transfer.h"
#include "sample_placement.h"
#include "sample_stream.h"
#include "server_start_checks.h"

namespace carobbank {

class JobRunner {
 public:
  // Receives the unfinished outputs of a partition that this instance no longer
  // owns.
  using OutputTransferCallback =
      std::function<void(std::int64_t partition,
                         const std::vector<SampleOutput>& outputs)>;

  JobRunner(GatewayEnvironment& environment,
            const std::vector<std::unique_ptr<JobPartition>>& partitions,
            OutputTransferCallback transfer_outputs);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  // Sets the partitions whose jobs this instance runs.
  void SetOwned(std::set<std::int64_t> partitions);
  const std::set<std::int64_t>& Owned() const { return this->owned; }
  // Receives unfinished outputs from an earlier owner of a partition.
  void ReceiveOutputs(std::vector<SampleOutput> outputs);
  // Updates the active jobs after the partition's jobs have changed.
  void Reconcile(std::int64_t partition);
  // Posts one dispatch pass, for example after servers or the configuration
  // have changed and waiting samples may find a server.
  void ScheduleDispatch();

  std::size_t RunningSamples() const;
  ServerStartChecks& StartChecks() { return this->start_checks; }

 private:
  // Of samples and reward calls.
  static constexpr std::string_view kMethod = "POST";
  // Delay before a sample that a server refused is sent again.
  static constexpr Milliseconds kRefusalBackoff{40};
  static constexpr Milliseconds kFailureBackoff{30};
  // Timeout of the first event, for which a sample may wait in the server's
  // queue.
  static constexpr Milliseconds kFirstEventTimeout{5'000};

  enum class Stage {
    // Waits for a backend server.
    kWaiting,
    kGenerating,
    // Complete, but it is not certain yet that the servers of its attempts were
    // of one software version.
    kConfirming,
    // Waits for a server for its reward call.
    kWaitingForScore,
    kScoring,
    // Its result is being written to the log, or is in the log.
    kFinished,
  };
  // A server that generated events, whose entry was not confirmed since.
  struct UncertainStart {
    std::string server_id;
    WallMilliseconds server_start = 0;
    // Arrival of the first event; see Clock::BootNow().
    MonotonicTime at{};
  };
  // Progress of one sample.
  struct Progress {
    Stage stage = Stage::kWaiting;
    // Data and number of the events received so far. A resumed stream continues
    // after them.
    std::string output;
    std::size_t events = 0;
    std::string last_event_id;
    std::set<std::int64_t> versions;
    // Software version of the server that began the output; empty if unknown.
    std::string software_version;
    // Attempts that generated events of the output.
    std::size_t attempts = 0;
    // Servers of these attempts that may have been another start than the one
    // whose software version is known.
    std::vector<UncertainStart> uncertain;
    // The present attempt has generated events.
    bool attempt_counted = false;
    // Since when the output waits for a server of its software version.
    std::optional<MonotonicTime> waits_for_software_since;
    // Until when the output may be kConfirming, or kWaiting for the
    // confirmation of its servers.
    MonotonicTime confirm_until{};
    // The output broke off before its servers' starts were confirmed; no
    // attempt starts until they are.
    bool awaits_confirmation = false;
    // Digests of the sample and of its reward call; empty until first needed.
    std::string digest;
    std::string reward_digest;
    // Servers that have just failed or refused the sample.
    ExcludedServers excluded;
    // Attempts since the last one that was not rejected.
    std::int64_t rejections = 0;
    // Times that the sample was moved to a faster server.
    int moves = 0;
    // No attempt starts before this time.
    MonotonicTime not_before = MonotonicTime::min();
    std::unique_ptr<SampleStream> stream;
    std::unique_ptr<BackendCall> reward;
  };
  struct ActiveJob {
    JobPartition* partition = nullptr;
    std::string id;
    // When this instance began to run the job.
    MonotonicTime begun_at{};
    // The same by Clock::BootNow(). The instance that accepted the job had read
    // its configuration from the log before.
    MonotonicTime read_at{};
    WallMilliseconds accepted_at = 0;
    Milliseconds due{0};
    // Samples were given up because their route was removed.
    bool route_removed = false;
    // Per sample of the job.
    std::vector<Progress> samples;
    // Age of the job when an attempt was last started.
    Milliseconds last_start{0};
    std::size_t starts = 0;
    // Indexes of the samples in the order in which they are started: longest
    // first, because the step ends with its slowest sample.
    std::vector<std::size_t> start_order;
    // All samples before this position in `start_order` are finished.
    std::size_t first_unfinished = 0;
    // Samples with more expected output tokens count as long.
    std::int64_t long_tokens = 0;
    // Expected events of the longest sample, as of `estimated_at`; 0 if
    // unknown.
    double longest_events = 0;
    MonotonicTime estimated_at = MonotonicTime::min();
    // By group: id of the server that last received one of its samples.
    std::map<std::string, std::string> group_servers;
    // Invariant: the number of samples in Stage::kWaitingForScore.
    std::size_t waiting_for_score = 0;
    // At least the number of samples in Stage::kConfirming.
    std::size_t confirming = 0;

    const JobState* State() const { return partition->Fold().Find(id); }
  };
  // An output without an active job: from a job that has ended, for a later job
  // with the same sample, or received before its job was started here.
  struct RetainedOutput {
    SampleOutput output;
    MonotonicTime retained_at;
  };
  using JobMap = std::map<std::string, std::unique_ptr<ActiveJob>, std::less<>>;

  void UpdateActiveJob(JobPartition& partition, const JobState& state);
  // Retains the outputs of the job's incomplete groups.
  void RetainOutputs(const JobState& state, ActiveJob& job);
  // Applies the retained outputs of the job's samples, if usable.
  void ApplyRetainedOutputs(ActiveJob& job, const JobState& state);
  // False if the output is unusable for the job or has no more events than the
  // sample's own.
  bool ApplyOutput(ActiveJob& job,
                   const JobState& state,
                   std::size_t index,
                   SampleOutput output);
  // Moves the output of an unfinished sample out of `progress`; nothing if
  // there is none that another owner or job can use.
  std::optional<SampleOutput> ExtractOutput(Progress& progress,
                                            const std::string& sample_id) const;
  // Leaves the sample's attempt in flight, if there is one, to end by itself.
  void ReleaseAttempt(const JobState& state,
                      std::size_t index,
                      Progress& progress);
  // Removes the partition's active jobs and transfers their outputs.
  void ReleasePartition(std::int64_t partition);
  void RemoveMissingJobs(const JobPartition& partition);
  void MarkRecorded(ActiveJob& job, const JobState& state);
  bool StillOpen(const JobState& state) const;
  void LogJobFinished(const JobState& state, const ActiveJob& job) const;
  void DispatchSamples();
  std::vector<ActiveJob*> JobsInOrder() const;
  void StartSamples(ActiveJob& job, const JobState& state);
  // Number of services that run the job's samples.
  std::size_t ServicesOf(const JobState& state) const;
  const std::string& ServiceOfSample(const JobState& state,
                                     std::size_t index) const;
  // False if no server has free capacity.
  bool StartSample(ActiveJob& job, const JobState& state, std::size_t index);
  const FleetServer* ChooseEngine(ActiveJob& job,
                                  const JobState& state,
                                  std::size_t index,
                                  const std::string& service);
  std::vector<const FleetServer*> UsableEngines(
      const JobState& state,
      const std::string& service) const;
  // Removes servers that refuse samples of the job's model while they load.
  void RemoveLoading(const JobState& state,
                     std::vector<const FleetServer*>& servers) const;
  // Asks for permits for waiting samples or reward calls to those of the
  // servers that name a limit and have free capacity.
  void RequestPermits(std::span<const FleetServer* const> servers,
                      double max_in_flight_per_slot,
                      std::size_t waiting);
  void RequestSamplePermits(const ActiveJob& job, const JobState& state);
  void RequestRewardPermits(const ActiveJob& job, const JobState& state);
  const FleetServer* ChooseServer(std::span<const FleetServer* const> servers,
                                  std::span<const std::string> excluded,
                                  std::string_view preferred_id,
                                  double max_in_flight_per_slot,
                                  std::string_view digest,
                                  const SampleChoice& choice = {}) const;
  // True when the sample or its reward call has to wait after a crash of its
  // server, or for another run of it, here or by an earlier owner or job; then
  // no attempt starts before `not_before`.
  bool MustNotStart(const ActiveJob& job,
                    Progress& progress,
                    std::string_view digest) const;
  // The sample, or its reward call, has failed in this way too often to run
  // again in this job.
  bool FailedTooOften(const JobState& state,
                      std::size_t index,
                      SampleFailureKind kind) const;
  void RecordFailure(const JobState& state,
                     std::size_t index,
                     SampleFailureKind kind);
  void StartScores(ActiveJob& job, const JobState& state);
  bool StartScore(ActiveJob& job, const JobState& state, std::size_t index);
  // Delay before the repeat of a sample or reward call that was rejected this
  // many times in a row, at least once.
  static Milliseconds RejectionBackoff(std::int64_t rejections);
  // When a reward call that was rejected is repeated; the latest time when it
  // isn't. Its sample is abandoned with its job then.
  MonotonicTime NextRewardCall(const JobState& state, std::size_t index) const;
  // Logs and counts that the server continues the sample's output.
  void ReportResumed(std::string_view job_id,
                     std::string_view sample_id,
                     const Progress& progress,
                     const FleetServer& server) const;
  EventVerdict AppendEvent(ActiveJob& job,
                           std::size_t index,
                           std::string_view data,
                           std::string_view event_id,
                           std::int64_t version);
  // Discards an output that is longer than its sample allows.
  void OnOverrun(const JobState& state, std::size_t index, Progress& progress);
  void OnStreamEnd(ActiveJob& job,
                   std::size_t index,
                   SampleStreamOutcome outcome,
                   std::string_view reason);
  void OnRewardResult(ActiveJob& job,
                      std::size_t index,
                      BackendCallResult result);
  void Finish(ActiveJob& job,
              const JobState& state,
              std::size_t index,
              bool completed,
              std::string score);
  void FailExpiredSamples(ActiveJob& job, const JobState& state);
  static void ResetOutput(Progress& progress);
  // Whether one known software version generated the whole output.
  bool IsOfOneSoftware(Progress& progress) const;
  // Requests reports of the servers whose start is uncertain.
  void RequestConfirmations(const Progress& progress);
  // A server of the output has left or restarted since.
  bool IsRefuted(const Progress& progress) const;
  // A server of the output did not report.
  bool HasFailedReport(const Progress& progress) const;
  // Keeps an output that broke off until its servers' starts are confirmed, or
  // discards it if they can't be.
  void KeepUntilConfirmed(const std::string& sample_id, Progress& progress);
  // False while the output still awaits confirmation.
  bool ResolveConfirmation(const std::string& sample_id, Progress& progress);
  // Resets an output that no server may continue.
  void DiscardOutput(const std::string& sample_id,
                     Progress& progress,
                     std::string_view reason);
  void OnOutputComplete(ActiveJob& job,
                        const JobState& state,
                        std::size_t index);
  // Completes or discards the outputs in Stage::kConfirming.
  void ConfirmOutputs(ActiveJob& job, const JobState& state);
  // Removes the servers that must not continue the sample's output, and
  // discards the output if none is left or none had capacity for too long.
  void KeepSoftwareVersion(const std::string& sample_id,
                           Progress& progress,
                           std::vector<const FleetServer*>& servers);
  const HostRoute* RouteOf(const JobState& state) const;
  // The configuration in force is at least as new as the one under which the
  // job was accepted, so a route that it lacks has been removed.
  bool KnowsRoutesOf(const ActiveJob& job) const;
  // Finishes a sample whose route, or whose reward call's route, was removed.
  // One whose route may be in a newer configuration waits.
  void FinishWithoutRoute(ActiveJob& job,
                          const JobState& state,
                          std::size_t index);
  Milliseconds AgeOf(const JobState& state) const;
  // Until the job's unfinished samples are abandoned; at least 1 ms.
  Milliseconds TimeLeftOf(const JobState& state) const;
  void Tick();
  void AbortUnresponsiveStreams(ActiveJob& job);
  void MoveFromSlowServers(ActiveJob& job);
  std::optional<ExpectedEvents> RemainingEvents(const JobState& state,
                                                std::size_t index,
                                                const Progress& progress) const;
  // The sample's output is complete.
  void RecordLength(const JobState& state,
                    std::size_t index,
                    const Progress& progress);
  void EstimateLongest(ActiveJob& job, const JobState& state);
  SampleChoice ChoiceOf(ActiveJob& job,
                        const JobState& state,
                        std::size_t index,
                        const std::string& service);
  // For services whose samples are placed by expected end: ends the sample's
  // attempt if it delays its job and ends earlier at one of the servers, which
  // is then removed from `servers`.
  bool MoveStraggler(ActiveJob& job,
                     const JobState& state,
                     std::size_t index,
                     std::vector<const FleetServer*>& servers);
  // Servers from which an output of that many events would not be moved.
  std::vector<const FleetServer*> FastEnoughServers(
      std::size_t events,
      std::span<const FleetServer* const> servers) const;
  // `own_ms`: processing time of an event at the sample's present server.
  bool FasterServerHasCapacity(
      Progress& progress,
      double own_ms,
      std::span<const FleetServer* const> servers) const;
  void RemoveExpiredJobs();

  GatewayEnvironment& environment;
  const std::vector<std::unique_ptr<JobPartition>>& partitions;
  OutputTransferCallback transfer_outputs;
  std::set<std::int64_t> owned;
  JobMap jobs;
  // By OutputKey().
  std::map<std::string, RetainedOutput, std::less<>> retained;
  ReleasedAttempts released_attempts;
  ServerStartChecks start_checks;
  SamplePlacement placement;
  // Ended streams and calls, destroyed only after their own callback has
  // returned.
  std::vector<std::unique_ptr<SampleStream>> ended_streams;
  std::vector<std::unique_ptr<BackendCall>> ended_calls;
  bool dispatch_posted = false;
  std::unique_ptr<Timer> tick;
  MonotonicTime last_removal = MonotonicTime::min();
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
