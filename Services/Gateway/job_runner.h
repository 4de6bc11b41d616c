// Runs the samples of the batch jobs in the partitions that this instance owns.
// Ownership saves work and decides nothing: what the log lists first is the
// result, whoever ran it.

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
#include "sample_output_transfer.h"
#include "sample_stream.h"

namespace carobbank {

class JobRunner {
 public:
  // Takes the texts in progress of a partition that is run no longer.
  using OutputTransferCallback =
      std::function<void(std::int64_t partition,
                         const std::vector<SampleOutput>& texts)>;

  JobRunner(GatewayEnvironment& environment,
            const std::vector<std::unique_ptr<JobPartition>>& partitions,
            OutputTransferCallback transfer_outputs);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  // The partitions whose jobs this instance runs from now on.
  void SetOwned(std::set<std::int64_t> partitions);
  const std::set<std::int64_t>& Owned() const { return this->owned; }
  // What an earlier owner of one of the partitions has come to.
  void ReceiveOutputs(std::vector<SampleOutput> texts);
  // Jobs of the partition changed.
  void Reconcile(std::int64_t partition);
  // Servers or the configuration changed: samples may find a place now.
  void ScheduleDispatch();

  std::size_t RunningSamples() const;

 private:
  // Before a sample that no server could take is offered again.
  static constexpr Milliseconds kRefusalBackoff{40};

  enum class Stage {
    // Waits for a backend server.
    kWaiting,
    kGenerating,
    // Waits for a server that scores it.
    kWaitingForScore,
    kScoring,
    // Its result is on the way to the log, or listed.
    kFinished,
  };
  // What one sample has come to.
  struct Progress {
    Stage stage = Stage::kWaiting;
    // Events of the text so far; resumed streams go on after them.
    std::string text;
    std::size_t events = 0;
    std::string last_event_id;
    std::set<std::int64_t> versions;
    // Answers of 500 to the sample, and to its reward call.
    std::int64_t failures = 0;
    std::int64_t reward_failures = 0;
    // Servers that just failed or refused it.
    ExcludedServers excluded;
    // Not before this time.
    MonotonicTime not_before = MonotonicTime::min();
    std::unique_ptr<SampleStream> stream;
    std::unique_ptr<BackendCall> reward;
  };
  struct ActiveJob {
    JobPartition* partition = nullptr;
    std::string id;
    WallMilliseconds accepted_at = 0;
    Milliseconds due{0};
    // Per sample of the job.
    std::vector<Progress> samples;
    // When a sample last found a server, counted from the acceptance.
    Milliseconds last_start{0};
    std::size_t starts = 0;
    // Indexes of the samples in the order in which they are started: the
    // longest first, because the step ends with its slowest sample.
    std::vector<std::size_t> order;
    // Samples before this place in `order` need no server any more.
    std::size_t first_open = 0;
    // Samples expected to have more output tokens are long ones.
    std::int64_t long_tokens = 0;
    // Where the samples of a group went last.
    std::map<std::string, std::string> group_servers;
    // Invariant: the number of samples in that stage.
    std::size_t waiting_for_score = 0;

    const JobState* State() const { return partition->Fold().Find(id); }
  };
  // A text that no job has use for now: of one that has ended, for a later job
  // with the same sample, or of one that is not taken up yet.
  struct CarriedText {
    SampleOutput text;
    MonotonicTime kept_at;
  };
  using JobMap = std::map<std::string, std::unique_ptr<ActiveJob>, std::less<>>;

  void Adopt(JobPartition& partition, const JobState& state);
  // Keeps the texts of groups that are not complete.
  void CarryOver(const JobState& state, ActiveJob& job);
  // Takes up the carried texts that fit the job.
  void TakeCarried(ActiveJob& job, const JobState& state);
  // False when the job is better off without it.
  bool TakeText(ActiveJob& job,
                const JobState& state,
                std::size_t index,
                SampleOutput text);
  // The unfinished text of one sample, or nothing.
  static std::optional<SampleOutput> TextOf(Progress& progress,
                                            const std::string& sample_id);
  // Hands the texts of a partition's jobs on.
  void GiveUp(std::int64_t partition);
  void DropMissing(const JobPartition& partition);
  void TakeListed(ActiveJob& job, const JobState& state);
  bool StillOpen(const JobState& state) const;
  void LogOver(const JobState& state, const ActiveJob& job) const;
  void Pump();
  std::vector<ActiveJob*> JobsInOrder() const;
  void StartSamples(ActiveJob& job, const JobState& state);
  // False when no server has room.
  bool StartSample(ActiveJob& job, const JobState& state, std::size_t index);
  const FleetServer* ChooseEngine(ActiveJob& job,
                                  const JobState& state,
                                  std::size_t index,
                                  const std::string& service);
  std::vector<const FleetServer*> UsableEngines(
      const JobState& state,
      const std::string& service) const;
  const FleetServer* Choose(std::span<const FleetServer* const> servers,
                            std::span<const std::string> excluded,
                            std::string_view preferred_id,
                            double room_per_slot) const;
  void StartScores(ActiveJob& job, const JobState& state);
  bool StartScore(ActiveJob& job, const JobState& state, std::size_t index);
  bool TakeEvent(ActiveJob& job,
                 std::size_t index,
                 std::string_view data,
                 std::string_view event_id,
                 std::int64_t version);
  void StreamEnded(ActiveJob& job,
                   std::size_t index,
                   SampleStreamOutcome end,
                   std::string_view reason);
  void Scored(ActiveJob& job, std::size_t index, BackendCallResult answer);
  void Finish(ActiveJob& job,
              const JobState& state,
              std::size_t index,
              bool completed,
              std::string score);
  void GiveUpExpired(ActiveJob& job, const JobState& state);
  void Restart(Progress& progress);
  const HostRoute* RouteOf(const JobState& state) const;
  Milliseconds AgeOf(const JobState& state) const;
  void Tick();
  void CheckSilence(ActiveJob& job);
  void LeaveSlowServers(ActiveJob& job);
  // Those at which a text of that many events would stay.
  std::vector<const FleetServer*> FastEnough(
      std::size_t events,
      std::span<const FleetServer* const> servers) const;
  // `own_ms`: what its present server takes for an event.
  bool FasterServerHasRoom(const Progress& progress,
                           double own_ms,
                           std::span<const FleetServer* const> servers) const;
  void ForgetOld();

  GatewayEnvironment& environment;
  const std::vector<std::unique_ptr<JobPartition>>& partitions;
  OutputTransferCallback transfer_outputs;
  std::set<std::int64_t> owned;
  JobMap jobs;
  // By sample id.
  std::map<std::string, CarriedText, std::less<>> carried;
  // Ended streams and calls, kept until their own callback returned.
  std::vector<std::unique_ptr<SampleStream>> ended_streams;
  std::vector<std::unique_ptr<BackendCall>> ended_calls;
  bool pump_posted = false;
  std::unique_ptr<Timer> tick;
  MonotonicTime last_forgetting = MonotonicTime::min();
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
