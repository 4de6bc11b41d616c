// Cost of folding the log's streams: time and memory per entry, by the number
// of entries in one record.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "LibLedger/ledger.h"

namespace carobbank {
namespace {

constexpr WallMilliseconds kNow = 1'000'000;
// Characters of one sample's output: about 250 tokens.
constexpr std::size_t kTextCharacters = 1024;
constexpr std::uint32_t kSamplesPerStep = 2048;

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

AcceptEntry MakeStep() {
  AcceptEntry accept;
  accept.request_id = "step-of-2048";
  accept.model = "policy-llm";
  accept.named_version = 7;
  accept.max_age_versions = 1;
  accept.basis = {0, kNow};
  accept.groups.push_back(
      {"g", "sea state at gangway?", kSamplesPerStep, 1024});
  return accept;
}

std::string EncodedCommit(std::uint32_t number) {
  CommitEntry commit;
  commit.request_id = "step-of-2048";
  commit.accepted_at = {0, 0};
  commit.sample_id = SampleId("g", number);
  commit.attempt = "0123456789abcdef0123456789abcdef";
  commit.text = std::string(kTextCharacters, 'x');
  commit.tokens = 250;
  commit.spans = {{0, 100, 7}, {100, 250, 8}};
  commit.finish_reason = "stop";
  return EncodeRolloutEntry(commit);
}

// Records of `per_record` entries each, made by `make_entry(number)`.
template <typename MakeEntry>
std::vector<std::string> Records(std::size_t entries,
                                 std::size_t per_record,
                                 MakeEntry make_entry) {
  std::vector<std::string> records;
  std::vector<std::string> batch;
  for (std::size_t number = 0; number < entries; ++number) {
    batch.push_back(make_entry(static_cast<std::uint32_t>(number)));
    if (batch.size() == per_record || number + 1 == entries) {
      records.push_back(EncodeRecord(batch));
      batch.clear();
    }
  }
  return records;
}

// One iteration folds a complete step of 2,048 commits.
void FoldStep(benchmark::State& state) {
  const auto per_record = static_cast<std::size_t>(state.range(0));
  std::vector<std::string> records{
      EncodeRecord(std::vector{EncodeRolloutEntry(MakeStep())})};
  for (std::string& record :
       Records(kSamplesPerStep, per_record, EncodedCommit)) {
    records.push_back(std::move(record));
  }
  std::size_t bytes = 0;
  for (auto step : state) {
    const std::size_t before = AllocatedBytes();
    RolloutFold fold({.service = "gulf", .only_step = {}}, 0);
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
      fold.Apply({offset, kNow, records[offset]});
    }
    bytes = AllocatedBytes() - before;
    if (fold.Find("step-of-2048")->results.size() != kSamplesPerStep) {
      state.SkipWithError("the fold lost samples");
    }
  }
  state.SetItemsProcessed(state.iterations() * kSamplesPerStep);
  state.counters["bytes_per_sample"] =
      static_cast<double>(bytes) / kSamplesPerStep;
}

// One iteration folds a claim and an outcome for each of 10,000 keys.
void FoldKeys(benchmark::State& state) {
  constexpr std::size_t kKeys = 10'000;
  const auto per_record = static_cast<std::size_t>(state.range(0));
  const std::vector<std::string> records =
      Records(2 * kKeys, per_record, [](std::uint32_t number) {
        const IdempotencyKey name{"dispatch-app",
                                  "boat-slot-" + std::to_string(number / 2)};
        const std::string attempt = "0123456789abcdef0123456789abcdef";
        if (number % 2 == 0) {
          return EncodeKeyEntry(
              ClaimEntry{name, attempt, kNow, kNow + 5000, attempt});
        }
        return EncodeKeyEntry(DoneEntry{
            name, attempt, MakeStoredOutcome(201, "application/json", "{}")});
      });
  std::size_t bytes = 0;
  for (auto step : state) {
    const std::size_t before = AllocatedBytes();
    KeyFold fold(KeyFoldOptions(), 0);
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
      fold.Apply({offset, kNow, records[offset]});
    }
    bytes = AllocatedBytes() - before;
    if (fold.Size() != kKeys) {
      state.SkipWithError("the fold lost keys");
    }
  }
  state.SetItemsProcessed(state.iterations() * 2 * kKeys);
  state.counters["bytes_per_key"] = static_cast<double>(bytes) / kKeys;
}

// Buffers, appends and confirms entries in batches of the given size.
void GroupCommit(benchmark::State& state) {
  const auto batch = static_cast<std::size_t>(state.range(0));
  const std::string entry = EncodedCommit(1);
  GroupCommitter committer{GroupCommitterOptions()};
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  std::uint64_t offset = 0;
  for (auto step : state) {
    for (std::size_t number = 0; number < batch; ++number) {
      benchmark::DoNotOptimize(committer.Add(entry));
    }
    now += std::chrono::seconds(1);
    const auto append = committer.NextAppend(now);
    benchmark::DoNotOptimize(committer.OnAppended(append->number, offset++));
  }
  state.SetItemsProcessed(state.iterations() * static_cast<int>(batch));
}

void ParseCursor(benchmark::State& state) {
  const std::string text =
      Cursor{"gulf", "step-of-2048", {123456, 7}, 123456, 1024}.Text();
  for (auto step : state) {
    benchmark::DoNotOptimize(Capture([&] { return Cursor::Parse(text); }));
  }
}

BENCHMARK(FoldStep)->Arg(1)->Arg(16)->Arg(256)->Unit(benchmark::kMillisecond);
BENCHMARK(FoldKeys)->Arg(1)->Arg(16)->Arg(256)->Unit(benchmark::kMillisecond);
BENCHMARK(GroupCommit)->Arg(1)->Arg(16)->Arg(256);
BENCHMARK(ParseCursor);

}  // namespace
}  // namespace carobbank

BENCHMARK_MAIN();
