// Callers' calls about batch jobs: submission, results, bodies, end. Answers
// come from the fold of the job's partition; what it doesn't know is looked up
// in the log before the caller is told that it doesn't exist.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include "gateway_environment.h"
#include "job_partition.h"

namespace carobbank {

class JobCallHandler {
 public:
  explicit JobCallHandler(GatewayEnvironment& environment);
  ~JobCallHandler();
  JobCallHandler(const JobCallHandler&) = delete;
  JobCallHandler& operator=(const JobCallHandler&) = delete;

  // The partition must be followed until the caller has its answer.
  void Submit(const HostRoute& route,
              BatchJob job,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);
  void Handle(const JobCall& call,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);

  // Jobs of this partition may have new results.
  void OnPartitionChanged(std::int64_t partition);
  // A caller waits for news of the partition.
  bool HasWaitingReads(const JobPartition& partition) const;
  // Waiting reads are answered at once, for a shutdown.
  void AnswerWaitingReads();

 private:
  // A read of results that waits for news.
  struct Read {
    JobCall call;
    JobPartition* partition = nullptr;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };

  // Runs `then` with fresh knowledge of the partition, or refuses.
  void WithFreshKnowledge(JobPartition& partition,
                          std::shared_ptr<HttpResponder> responder,
                          std::function<void()> then);
  // Runs `then` with the job's state, or answers that there is none.
  void WithJob(const JobCall& call,
               JobPartition& partition,
               std::shared_ptr<HttpResponder> responder,
               std::function<void(const JobState&)> then);
  void WriteJob(JobPartition& partition,
                const BatchJob& job,
                Milliseconds patience,
                std::shared_ptr<HttpResponder> responder);
  void ReadResults(const JobCall& call,
                   JobPartition& partition,
                   const std::shared_ptr<HttpResponder>& responder);
  bool TryAnswerRead(const JobCall& call,
                     const JobPartition& partition,
                     HttpResponder& responder);
  void WaitForResults(const JobCall& call,
                      JobPartition& partition,
                      std::shared_ptr<HttpResponder> responder);
  void AnswerRead(const std::shared_ptr<Read>& read);
  void ReadBody(const JobCall& call,
                JobPartition& partition,
                std::shared_ptr<HttpResponder> responder);
  void EndJob(const JobCall& call,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);

  GatewayEnvironment& environment;
  std::set<std::shared_ptr<Read>> reads;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
