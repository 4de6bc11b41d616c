// Handles callers' requests about batch jobs: submission, results, bodies and
// the end of a job. Responses come from the fold of the job's partition. A job
// that the fold lacks is looked up in the log before the response is "not
// found".

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

  // The partition must be followed until the caller has its response.
  void Submit(const HostRoute& route,
              BatchJob job,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);
  void Handle(const JobCall& call,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);

  // Jobs of this partition may have new results.
  void OnPartitionChanged(std::int64_t partition);
  // Whether a caller waits for new records of the partition.
  bool HasWaitingReads(const JobPartition& partition) const;
  // Responds to all waiting reads at once, for a shutdown.
  void RespondToWaitingReads();

 private:
  // A read of results that waits for new records.
  struct WaitingRead {
    JobCall call;
    JobPartition* partition = nullptr;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };

  // The job of the call; null also for one that the caller may not use.
  const JobState* FindJob(const JobCall& call,
                          const JobPartition& partition) const;
  HttpResponse NoSuchJob(const JobCall& call) const;
  // Refreshes the partition and runs `then`, or responds that the log is
  // unavailable.
  void AfterRefresh(JobPartition& partition,
                    std::shared_ptr<HttpResponder> responder,
                    std::function<void()> then);
  // Runs `then` with the job's state, or responds that there is no such job.
  void WithJob(const JobCall& call,
               JobPartition& partition,
               std::shared_ptr<HttpResponder> responder,
               std::function<void(const JobState&)> then);
  void WriteJob(JobPartition& partition,
                const BatchJob& job,
                Milliseconds timeout,
                std::shared_ptr<HttpResponder> responder);
  void ReadResults(const JobCall& call,
                   JobPartition& partition,
                   const std::shared_ptr<HttpResponder>& responder);
  bool TryRespondToRead(const JobCall& call,
                        const JobPartition& partition,
                        HttpResponder& responder);
  void WaitForResults(const JobCall& call,
                      JobPartition& partition,
                      std::shared_ptr<HttpResponder> responder);
  void RespondToRead(const std::shared_ptr<WaitingRead>& read);
  // Responds that there is no further result only if the log confirms it.
  void EndWait(const std::shared_ptr<WaitingRead>& read);
  void ReadBody(const JobCall& call,
                JobPartition& partition,
                std::shared_ptr<HttpResponder> responder);
  void EndJob(const JobCall& call,
              JobPartition& partition,
              std::shared_ptr<HttpResponder> responder);

  GatewayEnvironment& environment;
  std::set<std::shared_ptr<WaitingRead>> waiting_reads;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
