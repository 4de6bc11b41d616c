// Records of batch jobs in the log: the samples of a job, which are submitted
// together and run later, and the results of the samples.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct SampleHeader {
  std::string name;
  std::string value;
};

// The call that scores a sample's output.
struct RewardCall {
  std::string id;
  std::string host;
  std::string path;
  std::string body_base64;
};

struct JobSample {
  std::string id;
  std::string path;
  std::vector<SampleHeader> headers;
  std::string body_base64;
  // Prompt tokens plus the maximum number of output tokens.
  std::int64_t tokens = 0;
  // Estimated number of output tokens; often far off.
  std::int64_t expected_output_tokens = 0;
  // Samples of one group share their prompt; empty without groups.
  std::string group;
  std::optional<RewardCall> reward;
};

struct BatchJob {
  std::string id;
  std::string host;
  // The path of the submitting request; selects the route.
  std::string path;
  // The workspace whose key submitted the job; empty without one, and in
  // records from before there were workspaces.
  std::string workspace;
  std::int64_t step = 0;
  // Empty when the samples name no model.
  std::string model;
  // Oldest weight version that may generate outputs of this job.
  std::int64_t min_version = 0;
  // Complete groups that the trainer waits for; 0 without a trainer.
  std::int64_t target_groups = 0;
  // Clock of the entry instance that accepted the job; clocks differ between
  // instances.
  WallMilliseconds accepted_at = 0;
  // Since `accepted_at`: when the job is due, and when its unfinished samples
  // are abandoned.
  Milliseconds due{0};
  Milliseconds abandon_after{0};
  std::vector<JobSample> samples;
};

struct JobResult {
  std::string sample_id;
  // False when the sample was abandoned.
  bool completed = false;
  // The data of all events in order, separated by line feeds.
  std::string output;
  // Weight versions that generated an event of the output, in ascending order.
  std::vector<std::int64_t> versions;
  // Signature of the reward call's response; empty without a reward call.
  std::string score;
};

// The records that accept the job: its JSON text, split into pieces of at most
// `max_record_bytes`. A reader needs all of them.
std::vector<KeyedRecord> EncodeJob(const BatchJob& job,
                                   std::size_t max_record_bytes);
KeyedRecord EncodeResult(std::string_view job_id, const JobResult& result);
KeyedRecord EncodeEnd(std::string_view job_id);
// A record without effect, for a partition that should not stay empty.
KeyedRecord EncodeNoOp();

std::optional<BatchJob> DecodeJob(std::string_view text);
std::optional<JobResult> DecodeResult(std::string_view sample_id,
                                      std::string_view text);

// The key of each kind of record.
std::string PieceKey(std::string_view job_id,
                     std::size_t piece,
                     std::size_t pieces);
std::string ResultKey(std::string_view job_id, std::string_view sample_id);
std::string EndKey(std::string_view job_id);

// The components of a record's key.
struct JobKey {
  enum class Kind { kPiece, kResult, kEnd, kNoOp };
  Kind kind = Kind::kPiece;
  std::string_view job_id;
  // Results only.
  std::string_view sample_id;
  // Pieces only.
  std::size_t piece = 0;
  std::size_t pieces = 0;
};
// Nothing when the key has another form.
std::optional<JobKey> ParseJobKey(std::string_view key);

// True for ids that are valid in a key: 1 to 80 letters, digits, '-', '_' or
// '.'.
bool IsJobIdentifier(std::string_view text);

}  // namespace carobbank
