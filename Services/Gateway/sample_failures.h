// Failed runs of samples and reward calls, counted over all owners of their
// jobs and over all jobs that carry a sample, so that a sample that fails at
// each run stops. Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibLedger/ledger.h"

namespace carobbank {

// What failed, and how.
enum class SampleFailureKind {
  // The sample was answered with status 500.
  kServerError,
  // The sample was answered with status 422.
  kUnprocessable,
  // The reward call was answered with status 500.
  kRewardServerError,
  // The reward call was answered with a status that a repeat doesn't change.
  kRewardRejected,
};

// Hashes that identify a sample, equal in all jobs that carry it, and its job.
struct SampleKey {
  std::string sample;
  std::string job;

  bool operator==(const SampleKey&) const = default;
};

SampleKey MakeSampleKey(const BatchJob& job, const JobSample& sample);

struct SampleFailure {
  SampleKey key;
  SampleFailureKind kind = SampleFailureKind::kServerError;
  // The instance that received the response, and when.
  std::string instance;
  WallMilliseconds at = 0;

  bool operator==(const SampleFailure&) const = default;
};

// The key of the failure's record in the log; equal failures have equal keys.
std::string EncodeSampleFailure(const SampleFailure& failure);
// Nothing if the key is not that of a sample failure.
std::optional<SampleFailure> DecodeSampleFailure(std::string_view key);

class SampleFailures {
 public:
  // Adding a failure again has no effect.
  void Add(const SampleFailure& failure);
  void Remove(const SampleFailure& failure);

  // Whether the sample has failed in this way `limit` times in this job, or
  // `kJobs` times as often in all jobs that carry it.
  bool Exhausted(const SampleKey& key,
                 SampleFailureKind kind,
                 std::int64_t limit) const;
  // Number of failures in this job.
  std::int64_t CountInJob(const SampleKey& key, SampleFailureKind kind) const;
  std::vector<SampleFailure> All() const;

  // A later job may run a sample again that failed in an earlier one, because
  // the failures may have had other causes.
  static constexpr std::int64_t kJobs = 2;
  // Maximum number of samples with failures; the one that sorts first is
  // removed beyond it.
  static constexpr std::size_t kMaxSamples = 4'096;

 private:
  // By sample.
  std::map<std::string, std::vector<SampleFailure>, std::less<>> failures;
};

}  // namespace carobbank
