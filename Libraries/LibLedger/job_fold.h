// The state of the batch jobs of one log partition: which are accepted, their
// results in order, which are ended. Every reader of the same records has the
// same state; a result's position is the order of first results in the log.
// Pure.

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
  // Bodies of listed samples are dropped from memory.
  BatchJob job;
  // Index: position of the result.
  std::vector<JobResult> results;
  // Index of each sample in `job.samples`.
  std::unordered_map<std::string, std::size_t> sample_index;
  // Invariant: listed[i] tells whether results hold job.samples[i].
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
  // Takes the record at the next higher offset; an empty value drops the key.
  // Whether it changed anything. Records that can't be read are counted in
  // MalformedRecords().
  bool Apply(std::string_view key, std::string_view value);
  void Clear();

  const JobState* Find(std::string_view job_id) const;
  std::vector<const JobState*> Jobs() const;
  // Keys that a job left in the log, for dropping them.
  std::vector<std::string> KeysOf(std::string_view job_id) const;
  std::size_t MalformedRecords() const { return this->unreadable; }

 private:
  // A job whose pieces have not all been read.
  struct Assembly {
    std::vector<std::string> pieces;
    std::size_t present = 0;
  };
  bool ApplyPiece(const JobKey& key, std::string_view value);
  bool ApplyResult(const JobKey& key, std::string_view value);
  bool ApplyEnd(const JobKey& key);
  bool ApplyDropped(const JobKey& key);
  bool Accept(std::string_view job_id,
              std::string_view text,
              std::size_t pieces);

  struct Kept {
    JobState state;
    std::size_t pieces = 0;
  };
  std::map<std::string, Assembly, std::less<>> assemblies;
  std::map<std::string, Kept, std::less<>> jobs;
  std::size_t unreadable = 0;
};

}  // namespace carobbank
