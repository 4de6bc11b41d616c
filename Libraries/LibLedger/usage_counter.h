// Counts the requests of each workspace at one gateway, by time window, and
// selects the counts to append to the log.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibLedger/usage_records.h"

namespace carobbank {

struct UsageCounterOptions {
  Milliseconds window{5'000};
  // Windows are kept this long after their end, for appends that the log
  // refuses.
  Milliseconds kept{60'000};
  // Limits per window; requests of further workspaces are not counted.
  std::size_t max_workspaces = 10'000;
  // Sum of the sizes of the workspaces' names: a record must fit the log.
  std::size_t max_name_bytes = 160 * 1024;
};

class UsageCounter {
 public:
  // `process` is unique to this process; see UsageCountsRecord.
  UsageCounter(std::string process, UsageCounterOptions options)
      : process(std::move(process)), options(options) {}

  // Counts a request that began at `at`. False when it is not counted: its
  // window is too old, or a limit is reached.
  bool Add(std::string_view workspace, WallMilliseconds at);
  // Reverts one Add() with the same arguments that returned true.
  void Remove(std::string_view workspace, WallMilliseconds at);

  // Records of all windows that began at least `min_age` before `now` and whose
  // counts have changed since the records passed to OnAppended().
  std::vector<UsageCountsRecord> Unappended(WallMilliseconds now,
                                            Milliseconds min_age) const;
  // Records of Unappended() are in the log.
  void OnAppended(const std::vector<UsageCountsRecord>& records);
  // An append of such records may take effect later, or may have.
  void OnAppendUnknown() { ++this->epoch; }

 private:
  struct Window {
    UsageCounts counts;
    std::size_t name_bytes = 0;
    // Increases with each change of the counts.
    std::int64_t sequence = 0;
    std::int64_t appended_sequence = 0;
  };

  std::string process;
  UsageCounterOptions options;
  std::map<std::int64_t, Window> windows;
  std::int64_t epoch = 0;
};

}  // namespace carobbank
