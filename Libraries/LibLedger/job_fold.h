// The state of the batch jobs of one log partition: the accepted jobs, their
// results in order, and which jobs have ended. All readers of the same records
// derive the same state. A result's position is its rank among the job's first
// results in the log. The fold is pure.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibLedger/batch_job.h"

namespace carobbank {

struct JobState {
  // The bodies of samples with a result are removed from memory.
  BatchJob job;
  // Index: position of the result.
  std::vector<JobResult> results;
  // Index of each sample in `job.samples`.
  std::unordered_map<std::string, std::size_t> sample_index;
  // Invariant: has_result[i] is true when `results` contains job.samples[i].
  std::vector<bool> has_result;
  bool ended = false;

  bool Complete() const {
    return this->results.size() == this->has_result.size();
  }
  // Index of the sample, or nothing when the job has none of that id.
  std::optional<std::size_t> IndexOf(std::string_view sample_id) const;
};

class JobFold {
 public:
  // Applies the record at the next higher offset; an empty value deletes the
  // key. Returns whether the state changed. Malformed records are counted in
  // MalformedRecords().
  bool Apply(std::string_view key, std::string_view value);
  void Clear();

  const JobState* Find(std::string_view job_id) const;
  std::vector<const JobState*> Jobs() const;
  // Keys of the job's records in the log, in the order of their deletion.
  std::vector<std::string> KeysOf(std::string_view job_id) const;
  std::size_t MalformedRecords() const { return this->malformed_records; }

 private:
  // A job whose pieces have not all been read.
  struct Assembly {
    std::vector<std::string> pieces;
    std::size_t present = 0;
  };
  bool ApplyPiece(const JobKey& key, std::string_view value);
  bool ApplyResult(const JobKey& key, std::string_view value);
  bool ApplyEnd(const JobKey& key);
  bool ApplyDeletion(const JobKey& key);
  bool Accept(std::string_view job_id,
              std::string_view text,
              std::size_t pieces);

  struct TrackedJob {
    JobState state;
    std::size_t pieces = 0;
  };
  std::map<std::string, Assembly, std::less<>> assemblies;
  std::map<std::string, TrackedJob, std::less<>> jobs;
  std::size_t malformed_records = 0;
};

}  // namespace carobbank
