// A log stream in memory, and factories of entries, for tests of the folds.

#pragma once

#include <string>
#include <vector>

#include "LibLedger/ledger.h"

namespace carobbank {

// Records of one stream with consecutive offsets, as the log service stores
// them.
class MemoryStream {
 public:
  // Appends one record; returns its offset.
  std::uint64_t Append(std::vector<std::string> entries,
                       WallMilliseconds time_ms) {
    this->records.push_back({EncodeRecord(entries), time_ms});
    return this->records.size() - 1;
  }
  std::uint64_t AppendPayload(std::string payload, WallMilliseconds time_ms) {
    this->records.push_back({std::move(payload), time_ms});
    return this->records.size() - 1;
  }
  std::uint64_t Add(const RolloutEntry& entry, WallMilliseconds time_ms) {
    return this->Append({EncodeRolloutEntry(entry)}, time_ms);
  }
  std::uint64_t Add(const KeyEntry& entry, WallMilliseconds time_ms) {
    return this->Append({EncodeKeyEntry(entry)}, time_ms);
  }

  std::uint64_t End() const { return this->records.size(); }
  StreamRecord At(std::uint64_t offset) const {
    const Stored& stored = this->records[offset];
    return {offset, stored.time_ms, stored.payload};
  }
  // Applies all records that the reader has not read yet.
  template <typename Reader>
  void FeedTo(Reader& reader) const {
    while (reader.NextOffset() < this->End()) {
      reader.Apply(this->At(reader.NextOffset()));
    }
  }
  // The oldest offset whose record is not older than `time_ms`.
  std::uint64_t FirstSince(WallMilliseconds time_ms) const {
    std::uint64_t offset = 0;
    while (offset < this->End() && this->records[offset].time_ms < time_ms) {
      ++offset;
    }
    return offset;
  }

 private:
  struct Stored {
    std::string payload;
    WallMilliseconds time_ms = 0;
  };

  std::vector<Stored> records;
};

inline AcceptEntry MakeAccept(std::string request_id,
                              std::uint32_t groups = 2,
                              std::uint32_t samples = 2,
                              AcceptBasis basis = {0, 1000}) {
  AcceptEntry entry;
  entry.request_id = std::move(request_id);
  entry.step = "step-1";
  entry.model = "policy-llm";
  entry.named_version = 7;
  entry.max_age_versions = 1;
  entry.request_digest = "digest";
  entry.basis = basis;
  for (std::uint32_t group = 0; group < groups; ++group) {
    entry.groups.push_back(
        {"g" + std::to_string(group), "sea state?", samples, 64});
  }
  return entry;
}

inline CommitEntry MakeCommit(const StepId& step,
                              std::string sample_id,
                              std::string attempt,
                              std::uint64_t version = 7) {
  CommitEntry entry;
  entry.request_id = step.request_id;
  entry.accepted_at = step.accepted_at;
  entry.sample_id = std::move(sample_id);
  entry.text = "text of " + attempt;
  entry.attempt = std::move(attempt);
  entry.tokens = 3;
  entry.spans = {{0, 3, version}};
  entry.finish_reason = "stop";
  return entry;
}

// "<sample id>=<attempt>" per commit, "<sample id>!<code>" per failure, in
// delivery order.
inline std::string Summary(const std::vector<SampleResult>& results) {
  std::string text;
  for (const SampleResult& result : results) {
    if (const auto* commit = std::get_if<CommitEntry>(&result)) {
      text += commit->sample_id + "=" + commit->attempt + " ";
    } else {
      const auto& fail = std::get<FailEntry>(result);
      text += fail.sample_id + "!" + fail.code + " ";
    }
  }
  return text;
}

}  // namespace carobbank
