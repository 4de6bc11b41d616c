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

class JobCalls {
 public:
  JobCalls(GatewayEnvironment& environment,
           const std::vector<std::unique_ptr<JobPartition>>& partitions);
  ~JobCalls();
  JobCalls(const JobCalls&) = delete;
  JobCalls& operator=(const JobCalls&) = delete;

  void Submit(const HostRoute& route,
              const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder);
  void Handle(JobCall call, std::shared_ptr<HttpResponder> responder);

  // Jobs of this partition may have new results.
  void Changed(std::int64_t partition);
  std::size_t Waiting() const { return this->reads.size(); }
  // Waiting reads are answered at once, for a shutdown.
  void AnswerAll();

 private:
  // A read of results that waits for news.
  struct Read {
    JobCall call;
    JobPartition* partition = nullptr;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Timer> timer;
  };

  // Where a new job goes. Successive jobs of one model meet in one partition,
  // so that their owner can carry texts over; a job that is submitted again
  // goes to the same.
  JobPartition& PartitionFor(const BatchJob& job) const;
  // The partition that holds the job, or null when none is known to.
  JobPartition* FindPartition(std::string_view job_id) const;
  // Runs `then` with fresh knowledge of all partitions, or refuses.
  void WithFreshKnowledge(std::shared_ptr<HttpResponder> responder,
                          std::function<void()> then);
  void WithJob(const JobCall& call,
               std::shared_ptr<HttpResponder> responder,
               std::function<void(JobPartition&, const JobState&)> then);
  void WriteJob(JobPartition& partition,
                const BatchJob& job,
                Milliseconds patience,
                std::shared_ptr<HttpResponder> responder);
  void ReadResults(const JobCall& call,
                   const std::shared_ptr<HttpResponder>& responder);
  bool TryAnswerRead(const JobCall& call,
                     const JobPartition& partition,
                     HttpResponder& responder);
  void WaitForResults(const JobCall& call,
                      JobPartition& partition,
                      std::shared_ptr<HttpResponder> responder);
  void AnswerRead(const std::shared_ptr<Read>& read);
  void ReadBody(const JobCall& call, std::shared_ptr<HttpResponder> responder);
  void EndJob(const JobCall& call, std::shared_ptr<HttpResponder> responder);

  GatewayEnvironment& environment;
  const std::vector<std::unique_ptr<JobPartition>>& partitions;
  std::set<std::shared_ptr<Read>> reads;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
