// The partitions of the log of batch jobs, and which of them this instance
// follows: those whose jobs it runs, and temporarily those whose owner is
// unreachable, so that this instance can respond to requests about their jobs.

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
  // `on_batch`: called with a partition's number when its jobs may have
  // changed.
  JobPartitions(GatewayEnvironment& environment,
                const std::string& topic,
                const std::function<void(std::int64_t)>& on_batch);

  const std::vector<std::unique_ptr<JobPartition>>& All() const {
    return this->partitions;
  }
  // Null when there is no such partition.
  JobPartition* Find(std::int64_t number) const;
  // The partition of a new job. Successive jobs of one model share a partition,
  // so that its owner can reuse outputs of earlier jobs. A job that is
  // submitted again goes to the same partition.
  JobPartition& ForJob(const BatchJob& job) const;
  // The followed partition that contains the job, or null.
  JobPartition* FindByJob(std::string_view job_id) const;

  // Follows these partitions until the next call.
  void SetNeeded(std::set<std::int64_t> numbers);
  // Follows the partition for at least kTemporaryFollowTime, needed or not.
  void FollowTemporarily(JobPartition& partition);
  // Stops following partitions that are no longer needed. `in_use`: callers
  // wait for new records of the partition.
  void UnfollowUnneeded(const std::function<bool(const JobPartition&)>& in_use);

  static constexpr Milliseconds kTemporaryFollowTime{5'000};

 private:
  GatewayEnvironment& environment;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::set<std::int64_t> needed;
  // By partition number: when the partition was last needed or followed
  // temporarily.
  std::vector<MonotonicTime> last_needed;
};

}  // namespace carobbank
