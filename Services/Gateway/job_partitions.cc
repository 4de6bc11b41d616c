// Follows partitions while they are needed, and kTemporaryFollowTime longer.

#include "job_partitions.h"

#include <utility>

namespace carobbank {

JobPartitions::JobPartitions(GatewayEnvironment& environment,
                             const std::string& topic,
                             const std::function<void(std::int64_t)>& on_batch)
    : environment(environment) {
  const GatewaySettings& settings = environment.settings;
  for (std::int64_t number = 0; number < settings.job_partitions; ++number) {
    this->partitions.push_back(std::make_unique<JobPartition>(
        environment.loop, environment.clock, environment.log,
        TopicPartition{topic, number},
        static_cast<std::size_t>(settings.log_append_bytes),
        [on_batch, number] { on_batch(number); }));
  }
  this->last_needed.resize(this->partitions.size());
}

JobPartition* JobPartitions::Find(std::int64_t number) const {
  const bool in_range =
      number >= 0 && std::cmp_less(number, this->partitions.size());
  return in_range ? this->partitions[static_cast<std::size_t>(number)].get()
                  : nullptr;
}

JobPartition& JobPartitions::ForJob(const BatchJob& job) const {
  const std::string& key = job.model.empty() ? job.id : job.model;
  return *this->partitions[FastHash(key) % this->partitions.size()];
}

JobPartition* JobPartitions::FindByJob(std::string_view job_id) const {
  for (const auto& partition : this->partitions) {
    if (partition->Fold().Find(job_id) != nullptr) {
      return partition.get();
    }
  }
  return nullptr;
}

void JobPartitions::SetNeeded(std::set<std::int64_t> numbers) {
  this->needed = std::move(numbers);
  for (const std::int64_t number : this->needed) {
    if (JobPartition* const partition = this->Find(number)) {
      this->FollowTemporarily(*partition);
    }
  }
}

void JobPartitions::FollowTemporarily(JobPartition& partition) {
  this->last_needed[static_cast<std::size_t>(partition.Number())] =
      this->environment.clock.Now();
  partition.Follow();
}

void JobPartitions::UnfollowUnneeded(
    const std::function<bool(const JobPartition&)>& in_use) {
  const MonotonicTime now = this->environment.clock.Now();
  for (const auto& partition : this->partitions) {
    MonotonicTime& last =
        this->last_needed[static_cast<std::size_t>(partition->Number())];
    if (this->needed.contains(partition->Number())) {
      last = now;
      continue;
    }
    if (!partition->Following() || in_use(*partition) ||
        now - last < kTemporaryFollowTime) {
      continue;
    }
    partition->TryUnfollow();
  }
}

}  // namespace carobbank
