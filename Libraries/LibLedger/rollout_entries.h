// Entries of the stream `rollouts.<service>`: accepted steps, their owners and
// their finished samples.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibLedger/log_position.h"

namespace carobbank {

// Largest number of samples of one step.
inline constexpr std::uint64_t kMaxSamplesPerStep = 1'000'000;

// One prompt of a step, for which `samples` outputs are generated.
struct PromptGroup {
  std::string group_id;
  std::string prompt;
  std::uint32_t samples = 1;
  std::uint32_t max_tokens = 0;

  bool operator==(const PromptGroup&) const = default;
};

// "<group_id>/<number>", number from 0.
std::string SampleId(std::string_view group_id, std::uint32_t number);

// Tokens [from, to) were generated with weight version `version`; 0 stands
// for a version that the engine did not confirm.
struct TokenSpan {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::uint64_t version = 0;

  bool operator==(const TokenSpan&) const = default;
};

// The state on which the writer decided an accept: the records before `read_to`
// contain no unexpired step with this request id.
struct AcceptBasis {
  std::uint64_t read_to = 0;
  // The writer's wall clock at the decision.
  WallMilliseconds decided_ms = 0;
};

// A step was accepted. The first accept of a request id counts.
struct AcceptEntry {
  std::string request_id;
  std::string step;
  std::string model;
  // The weight version that the step requests.
  std::uint64_t named_version = 0;
  // How many versions older than the requested one a sample may use.
  std::uint64_t max_age_versions = 0;
  // Digest of the caller's request; distinguishes a repeat from another request
  // with the same id.
  std::string request_digest;
  // From RolloutFold::DecideAccept.
  AcceptBasis basis;
  std::vector<PromptGroup> groups;

  std::uint64_t ExpectedSamples() const;
  bool Expects(std::string_view sample_id) const;
  // The oldest version that a sample of this step may contain.
  std::uint64_t OldestVersion() const;
};

// An entry instance takes over ownership of a step. The highest term counts,
// and the first entry within a term. Ownership only avoids duplicate work; no
// invariant depends on it.
struct StepTakeoverEntry {
  std::string request_id;
  LogPosition accepted_at;
  std::string owner;
  std::uint64_t term = 0;
};

// A finished sample. The first result of a sample id counts.
struct CommitEntry {
  std::string request_id;
  // Position of the accept that this sample belongs to.
  LogPosition accepted_at;
  std::string sample_id;
  std::string attempt;
  std::string text;
  // Number of generated tokens.
  std::uint64_t tokens = 0;
  std::vector<TokenSpan> spans;
  std::string finish_reason;
};

// A sample that will never be finished, and why ("quarantined").
struct FailEntry {
  std::string request_id;
  LogPosition accepted_at;
  std::string sample_id;
  std::string code;
};

// The step is closed ("delivered", "cancelled"); later results don't count.
struct EndEntry {
  std::string request_id;
  LogPosition accepted_at;
  std::string reason;
};

// One part of a snapshot of a step, appended before the step's records expire.
// The parts [0, parts) with the same carry id together state the step as the
// records up to `as_of_offset` (inclusive) define it. These records are the
// same for every writer, so snapshots by different writers agree.
struct StepSnapshotEntry {
  std::string request_id;
  LogPosition accepted_at;
  std::string carry_id;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::uint64_t as_of_offset = 0;
  // The writer's wall clock at a time when no later record existed.
  WallMilliseconds as_of_ms = 0;
  // When the step expires according to the writer's fold, in log time.
  WallMilliseconds lives_until_ms = 0;
  // The members from here to `end_reason` are set in part 0 only.
  std::optional<AcceptEntry> accept;
  std::string owner;
  std::uint64_t term = 0;
  std::string end_reason;
  // Results in delivery order, continued from part to part.
  std::vector<std::variant<CommitEntry, FailEntry>> results;
};

using RolloutEntry = std::variant<AcceptEntry,
                                  StepTakeoverEntry,
                                  CommitEntry,
                                  FailEntry,
                                  EndEntry,
                                  StepSnapshotEntry>;

std::string EncodeRolloutEntry(const RolloutEntry& entry);
DecodedRecord<RolloutEntry> DecodeRolloutRecord(const StreamRecord& record);

// "rollouts.<service>"
std::string RolloutStream(std::string_view service);

}  // namespace carobbank
