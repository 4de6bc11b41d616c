// One service's steps at this entry: follows their stream, responds to
// the trainers' polls, and runs the steps that this entry owns.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibLedger/ledger.h"
#include "log_stream_follower.h"
#include "log_writer.h"
#include "step_runner.h"

namespace carobbank {

struct RolloutEnvironment {
  GenerationEnvironment& generation;
  RoutedPools& pools;
  LogClient& log;
  EventTimeline& timeline;
  MetricRegistry& metrics;
  // This entry's instance id, the owner in `take` entries.
  std::string self;
  GroupCommitterOptions committer;
  RetentionOptions retention;
  // The step policy of the service's document; nothing when no document is in
  // force.
  std::function<std::optional<StepPolicy>(std::string_view service)> policy;
  // Queries the owner whether it works on a step.
  std::function<void(std::string_view owner,
                     std::string_view service,
                     std::string_view request_id,
                     std::function<void(OwnerStatus)> done)>
      query_owner;
};

struct PolledSamples {
  // Copies, because the fold changes with later records.
  std::vector<SampleResult> results;
  Cursor next;
  bool done = false;
  std::string end_reason;
  std::uint64_t remaining = 0;
};

class StepService {
 public:
  StepService(RolloutEnvironment& environment, std::string service);
  ~StepService();

  // Starts to follow the stream.
  void Start();

  using SubmitCallback = std::function<void(std::variant<Cursor, Problem>)>;
  void Submit(AcceptEntry accept, SubmitCallback callback);

  using PollCallback =
      std::function<void(std::variant<PolledSamples, Problem>)>;
  void Poll(Cursor cursor,
            Milliseconds wait,
            std::size_t max_results,
            PollCallback callback);

  // Reports whether this entry works on the step, after starting its runner if
  // this entry owns it.
  void CheckOwnership(std::string request_id,
                      std::function<void(bool working)> done);

  // Number of steps that this entry works on.
  std::size_t Running() const { return this->runners.size(); }
  bool WritesPending() const { return this->writer.BufferedEntries() > 0; }
  const RolloutFold& Fold() const { return *this->fold; }
  Json::Value StatusJson() const;

 private:
  struct Waiter {
    Cursor cursor;
    std::size_t max_results = 0;
    PollCallback callback;
    std::unique_ptr<Timer> timer;
  };
  // State of a step that only this entry keeps, beside the fold.
  struct LocalStepState {
    MonotonicTime next_query{};
    bool query_in_flight = false;
    bool takeover_in_flight = false;
    MonotonicTime started{};
    // Time of the latest poll at this entry, in log time.
    WallMilliseconds polled_ms = 0;
    // lives_until_ms of the step when this entry last copied it forward.
    WallMilliseconds copied_until_ms = 0;
  };

  void ResetFold(std::uint64_t first_retained);
  void WhenCaughtUp(std::function<void(bool)> then);
  void SubmitCaughtUp(AcceptEntry accept, const SubmitCallback& callback);
  void AfterAccept(const std::string& request_id,
                   const std::string& digest,
                   const SubmitCallback& callback);
  void PollCaughtUp(Cursor cursor,
                    Milliseconds wait,
                    std::size_t max_results,
                    PollCallback callback);
  std::variant<PolledSamples, Problem> ReadNow(const Cursor& cursor,
                                               std::size_t max_results) const;
  void OnPage();
  void NotifyPollers();
  void Reconcile();
  void StartRunner(const StepState& step);
  void EnsureOwned(const StepState& step, OwnerStatus owner_status);
  void QueryOwner(const StepState& step);
  void TakeOver(const StepTakeoverEntry& takeover);
  void CopyDueSteps();
  void CopyForward(const StepState& step);
  void RecordStep(EventKind kind, const StepState& step, std::string detail);

  RolloutEnvironment& environment;
  std::string service;
  std::unique_ptr<RolloutFold> fold;
  LogStreamFollower follower;
  LogWriter writer;
  // By request id. Invariant: holds only steps whose owner in the fold is this
  // entry.
  std::map<std::string, std::unique_ptr<StepRunner>, std::less<>> runners;
  std::map<std::string, LocalStepState, std::less<>> local_states;
  std::vector<std::shared_ptr<Waiter>> waiters;
  std::unique_ptr<Timer> copy_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
