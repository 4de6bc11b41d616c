// A batch job as the log keeps it: many samples that are submitted at once and
// run later, and the results that they end with.

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

// The call that scores a sample's text.
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
  // Prompt tokens and most output tokens together.
  std::int64_t tokens = 0;
  // Output tokens that it probably has; often far off.
  std::int64_t expected_output_tokens = 0;
  // Samples of one group share their prompt; empty without groups.
  std::string group;
  std::optional<RewardCall> reward;
};

struct BatchJob {
  std::string id;
  std::string host;
  // The path that it was submitted under; selects its route.
  std::string path;
  std::int64_t step = 0;
  // Empty when the samples name no model.
  std::string model;
  // Oldest version of the weights that may generate its texts.
  std::int64_t min_version = 0;
  // Complete groups that the trainer waits for; 0 without a trainer.
  std::int64_t target_groups = 0;
  // Stamp of the entry that accepted it; clocks differ between instances.
  WallMilliseconds accepted_at = 0;
  // Counted from `accepted_at`.
  Milliseconds due{0};
  Milliseconds abandon_after{0};
  std::vector<JobSample> samples;
};

struct JobResult {
  std::string sample_id;
  // False: given up.
  bool completed = false;
  // The data of all events in order, separated by line feeds.
  std::string output;
  // Versions that generated an event of the text, in ascending order.
  std::vector<std::int64_t> versions;
  // Signature of the reward call's answer; empty without a reward call.
  std::string score;
};

// The records that accept the job: its text in pieces of at most
// `max_record_bytes`, which a reader needs all.
std::vector<KeyedRecord> EncodeJob(const BatchJob& job,
                                   std::size_t max_record_bytes);
KeyedRecord EncodeResult(std::string_view job_id, const JobResult& result);
KeyedRecord EncodeEnd(std::string_view job_id);
// A record without meaning, for a partition that should not stay empty.
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

// A record's key taken apart.
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

// Ids that may stand in a key: 1 to 80 letters, digits, '-', '_' or '.'.
bool IsJobIdentifier(std::string_view text);

}  // namespace carobbank
