// The lease holder's part in usage reports: reads the counts of all gateways
// from the log, appends the decided report of each window, and sends the
// reports that the log holds.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duty_calls.h"
#include "gateway_environment.h"
#include "log_follower.h"
#include "log_lease.h"

namespace carobbank {

struct UsageTopics {
  TopicPartition counts;
  TopicPartition reports;
};

struct UsageReporterOptions {
  UsageReportOptions reports;
  // A report is late when it is decided or sent later than this after its
  // window's end.
  Milliseconds due_after{10'000};
  // Nothing is decided until the log has been reachable for this long, since
  // other gateways append the counts of an outage when it ends.
  Milliseconds settle_time{3'000};
  // The last read of the counts must not be older than this for a decision.
  Milliseconds max_read_age{2'000};
  // Pauses before a failed report is sent again.
  Milliseconds first_retry_pause{500};
  Milliseconds longest_retry_pause{4'000};
  // The topics are no longer followed this long after the lease was lost.
  Milliseconds unfollow_after{30'000};
  Milliseconds tick{200};
};

class UsageReporter {
 public:
  UsageReporter(GatewayEnvironment& environment,
                LogLease& lease,
                DutyCalls& calls,
                UsageTopics topics,
                UsageReporterOptions options);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

 private:
  struct Retry {
    MonotonicTime not_before;
    Milliseconds pause{0};
  };

  void Tick();
  void Follow();
  void Unfollow();
  LogFollowerHandlers CountsHandlers();
  LogFollowerHandlers ReportsHandlers();
  void ApplyCounts(const KeyedRecord& record);
  // The counts are read to their end, and were reachable for long enough.
  bool MayDecide() const;
  void Decide();
  void Append(std::vector<KeyedRecord> records);
  void DeleteOldCounts();
  void SendReports();
  void OnResponse(std::int64_t window, DutyCallOutcome outcome);
  void CountWindow(std::string_view event);

  GatewayEnvironment& environment;
  LogLease& lease;
  DutyCalls& calls;
  UsageTopics topics;
  UsageReporterOptions options;
  UsageLedger ledger;
  // Null while the topics are not followed.
  std::unique_ptr<LogFollower> counts_follower;
  std::unique_ptr<LogFollower> reports_follower;
  // When this instance last held the lease or was elected to acquire it.
  MonotonicTime last_wanted = MonotonicTime::min();
  MonotonicTime reachable_since = MonotonicTime::min();
  bool appending = false;
  bool deleting = false;
  MonotonicTime last_append = MonotonicTime::min();
  // Of reports that were sent without success, by window.
  std::map<std::int64_t, Retry> retries;
  std::unique_ptr<Timer> tick;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
