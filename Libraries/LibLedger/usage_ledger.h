// The state of usage reports that the lease holder reads from the log: the
// counts of all processes, and the decided reports. Decides which reports to
// append next, which to send, and which records to delete.
//
// The first decided report of a window in the log is the only valid one. Any
// number of instances may believe that they are the holder: each appends to the
// reports topic on the condition that it has read the whole topic, so of two
// reports of a window the log takes only one.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibLedger/usage_records.h"

namespace carobbank {

struct UsageReportOptions {
  Milliseconds window{5'000};
  // A window is decided this long after its end: every process has appended its
  // counts by then.
  Milliseconds decide_after{4'000};
  // A window that ended longer ago is neither decided nor sent.
  Milliseconds report_until{60'000};
  // Counts are deleted this long after the end of their window when it was
  // decided, and reports are after `reports_kept`.
  Milliseconds counts_kept{30'000};
  Milliseconds reports_kept{180'000};
  // Limits of one append.
  std::size_t max_append_bytes = 1024 * 1024;
  std::size_t max_deletions = 400;
};

class UsageLedger {
 public:
  explicit UsageLedger(UsageReportOptions options) : options(options) {}

  // Apply records of the counts topic in order of offset. Returns false when
  // the record's window was decided before, so that it comes too late.
  bool ApplyCounts(const KeyedRecord& record);
  void ResetCounts();
  // Apply records of the reports topic in order of offset.
  void ApplyReport(const KeyedRecord& record);
  void ResetReports();

  // Windows to decide at `now`, oldest first, with the counts known so far.
  // Empty before the first counts: windows before any traffic are not reported.
  std::vector<UsageReport> Undecided(WallMilliseconds now) const;
  // Decided reports that are not known to be sent and not too old, oldest
  // first.
  std::vector<UsageReport> Unsent(WallMilliseconds now) const;
  // The receiver has confirmed the report.
  void OnSent(std::int64_t window);
  // Records for the reports topic: reports confirmed with OnSent(), and
  // deletions. To be appended on the condition that the topic ends where this
  // ledger's state does.
  std::vector<KeyedRecord> Updates(WallMilliseconds now) const;
  // Deletions for the counts topic.
  std::vector<KeyedRecord> CountsDeletions(WallMilliseconds now) const;

  const UsageReportOptions& Options() const { return this->options; }

 private:
  struct ProcessCounts {
    std::int64_t sequence = 0;
    UsageCounts counts;
  };
  struct CountedWindow {
    std::map<std::string, ProcessCounts, std::less<>> processes;
    std::set<std::string, std::less<>> keys;
  };

  WallMilliseconds EndOf(std::int64_t window) const;
  // The first window with any counts or a report.
  std::optional<std::int64_t> FirstWindow() const;

  UsageReportOptions options;
  std::map<std::int64_t, CountedWindow> counted;
  std::map<std::int64_t, UsageReportRecord> reports;
  // Confirmed to this process; the log may not hold it yet.
  std::set<std::int64_t> confirmed;
};

}  // namespace carobbank
