// Counts of failed runs, and the keys of their records.

#include "sample_failures.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carobbank {

namespace {

// Keys of request records begin with a digest, which is longer.
constexpr std::string_view kPrefix = "f/";
constexpr char kSeparator = '/';

struct KindName {
  SampleFailureKind kind;
  std::string_view name;
};
constexpr std::array<KindName, 4> kKindNames = {{
    {SampleFailureKind::kServerError, "500"},
    {SampleFailureKind::kUnprocessable, "422"},
    {SampleFailureKind::kRewardServerError, "reward-500"},
    {SampleFailureKind::kRewardRejected, "reward-rejected"},
}};

std::string_view NameOf(SampleFailureKind kind) {
  return std::find_if(
             kKindNames.begin(), kKindNames.end(),
             [kind](const KindName& entry) { return entry.kind == kind; })
      ->name;
}

std::optional<SampleFailureKind> KindOf(std::string_view name) {
  const auto found = std::find_if(
      kKindNames.begin(), kKindNames.end(),
      [name](const KindName& entry) { return entry.name == name; });
  return found == kKindNames.end() ? std::nullopt : std::optional(found->kind);
}

// Removes the text up to the next separator from `rest` and returns it.
std::string_view ConsumeSegment(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(kSeparator), rest.size());
  const std::string_view segment = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return segment;
}

}  // namespace

SampleKey MakeSampleKey(const BatchJob& job, const JobSample& sample) {
  return {std::to_string(
              FastHash(job.host + sample.path + sample.id + job.workspace)),
          std::to_string(FastHash(job.id))};
}

std::string EncodeSampleFailure(const SampleFailure& failure) {
  std::string key(kPrefix);
  for (const std::string_view segment :
       {std::string_view(failure.key.sample), std::string_view(failure.key.job),
        NameOf(failure.kind), std::string_view(failure.instance)}) {
    key.append(segment).push_back(kSeparator);
  }
  return key + std::to_string(failure.at);
}

std::optional<SampleFailure> DecodeSampleFailure(std::string_view key) {
  if (!key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::string_view rest = key.substr(kPrefix.size());
  SampleFailure failure;
  failure.key.sample = ConsumeSegment(rest);
  failure.key.job = ConsumeSegment(rest);
  const auto kind = KindOf(ConsumeSegment(rest));
  failure.instance = ConsumeSegment(rest);
  const auto at = ParseInteger<WallMilliseconds>(rest);
  if (!kind || !at || failure.key.sample.empty() || failure.key.job.empty()) {
    return std::nullopt;
  }
  failure.kind = *kind;
  failure.at = *at;
  return failure;
}

void SampleFailures::Add(const SampleFailure& failure) {
  std::vector<SampleFailure>& known = this->failures[failure.key.sample];
  if (std::find(known.begin(), known.end(), failure) == known.end()) {
    known.push_back(failure);
  }
  if (this->failures.size() > kMaxSamples) {
    this->failures.erase(this->failures.begin());
  }
}

void SampleFailures::Remove(const SampleFailure& failure) {
  const auto found = this->failures.find(failure.key.sample);
  if (found == this->failures.end()) {
    return;
  }
  std::erase(found->second, failure);
  if (found->second.empty()) {
    this->failures.erase(found);
  }
}

bool SampleFailures::Exhausted(const SampleKey& key,
                               SampleFailureKind kind,
                               std::int64_t limit) const {
  const auto found = this->failures.find(key.sample);
  if (found == this->failures.end()) {
    return false;
  }
  const auto in_all_jobs = std::count_if(
      found->second.begin(), found->second.end(),
      [kind](const SampleFailure& failure) { return failure.kind == kind; });
  return this->CountInJob(key, kind) >= limit || in_all_jobs >= kJobs * limit;
}

std::int64_t SampleFailures::CountInJob(const SampleKey& key,
                                        SampleFailureKind kind) const {
  const auto found = this->failures.find(key.sample);
  if (found == this->failures.end()) {
    return 0;
  }
  return std::count_if(found->second.begin(), found->second.end(),
                       [&](const SampleFailure& failure) {
                         return failure.kind == kind &&
                                failure.key.job == key.job;
                       });
}

std::vector<SampleFailure> SampleFailures::All() const {
  std::vector<SampleFailure> all;
  for (const auto& [sample, failures_of_sample] : this->failures) {
    all.insert(all.end(), failures_of_sample.begin(), failures_of_sample.end());
  }
  return all;
}

}  // namespace carobbank
