// The partitions of the log of batch jobs, and which of them this instance
// reads: those that it runs, and for a while those that it has to answer for
// because no other instance does.

#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "job_partition.h"

namespace carobbank {

class JobPartitions {
 public:
  // `on_batch`: jobs of that partition may have changed.
  JobPartitions(GatewayEnvironment& environment,
                const std::string& topic,
                const std::function<void(std::int64_t)>& on_batch);

  const std::vector<std::unique_ptr<JobPartition>>& All() const {
    return this->partitions;
  }
  // Null when there is no such partition.
  JobPartition* Find(std::int64_t number) const;
  // Where a new job goes. Successive jobs of one model meet in one partition,
  // so that their owner can carry texts over; a job that is submitted again
  // goes to the same.
  JobPartition& ForJob(const BatchJob& job) const;
  // The followed partition that holds the job, or null when none is known to.
  JobPartition* FindByJob(std::string_view job_id) const;

  // These are followed until others are named.
  void SetNeeded(std::set<std::int64_t> numbers);
  // Follows the partition for kTemporaryFollowTime, needed or not.
  void FollowTemporarily(JobPartition& partition);
  // Rests what is not needed any more. `in_use`: callers wait for its news.
  void UnfollowUnneeded(const std::function<bool(const JobPartition&)>& in_use);

  static constexpr Milliseconds kTemporaryFollowTime{5'000};

 private:
  GatewayEnvironment& environment;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::set<std::int64_t> needed;
  // By number: when it was last needed or held.
  std::vector<MonotonicTime> last_needed;
};

}  // namespace carobbank
