// Follows the topics of usage reports while this instance holds the lease, and
// decides and sends the reports.

#include "usage_reporter.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr std::string_view kDuty = "usage_report";
// Every gateway appends to the counts topic, so several of its records are read
// at a time.
constexpr Milliseconds kCountsReadPause{300};
// Confirmed reports and deletions wait this long for the next decided report,
// to share its append.
constexpr Milliseconds kUpdatePeriod{2'000};

}  // namespace

UsageReporter::UsageReporter(GatewayEnvironment& environment,
                             LogLease& lease,
                             DutyCalls& calls,
                             UsageTopics topics,
                             UsageReporterOptions options)
    : environment(environment),
      lease(lease),
      calls(calls),
      topics(std::move(topics)),
      options(options),
      ledger(options.reports) {
  this->Tick();
}

UsageReporter::~UsageReporter() {
  *this->alive = false;
}

LogFollowerHandlers UsageReporter::CountsHandlers() {
  LogFollowerHandlers handlers;
  handlers.on_snapshot = [this](std::span<const KeyedLogRecord> records) {
    this->ledger.ResetCounts();
    for (const KeyedLogRecord& record : records) {
      this->ledger.ApplyCounts(record.record);
    }
  };
  handlers.on_record = [this](const KeyedLogRecord& record) {
    this->ApplyCounts(record.record);
  };
  handlers.on_reachable = [this](bool /*reachable*/) {
    this->reachable_since = this->environment.clock.BootNow();
  };
  return handlers;
}

LogFollowerHandlers UsageReporter::ReportsHandlers() {
  LogFollowerHandlers handlers;
  handlers.on_snapshot = [this](std::span<const KeyedLogRecord> records) {
    this->ledger.ResetReports();
    for (const KeyedLogRecord& record : records) {
      this->ledger.ApplyReport(record.record);
    }
  };
  handlers.on_record = [this](const KeyedLogRecord& record) {
    this->ledger.ApplyReport(record.record);
  };
  return handlers;
}

void UsageReporter::ApplyCounts(const KeyedRecord& record) {
  if (!this->ledger.ApplyCounts(record) && this->lease.HoldsLease()) {
    this->environment.metrics
        .GetCounter(metrics::kUsageUncounted, {{"reason", "late_record"}})
        .Add();
  }
}

void UsageReporter::Follow() {
  if (this->counts_follower) {
    return;
  }
  this->counts_follower = std::make_unique<LogFollower>(
      this->environment.loop, this->environment.clock, this->environment.log,
      this->topics.counts,
      LogFollowerOptions{.wait = Milliseconds(1'000),
                         .pause_after_records = kCountsReadPause},
      this->CountsHandlers());
  this->reports_follower = std::make_unique<LogFollower>(
      this->environment.loop, this->environment.clock, this->environment.log,
      this->topics.reports, LogFollowerOptions{.wait = Milliseconds(1'000)},
      this->ReportsHandlers());
  this->counts_follower->Start();
  this->reports_follower->Start();
}

void UsageReporter::Unfollow() {
  // Callbacks of an append use the followers.
  if (this->appending || this->deleting) {
    return;
  }
  this->counts_follower.reset();
  this->reports_follower.reset();
  this->ledger.ResetCounts();
  this->ledger.ResetReports();
  this->retries.clear();
}

void UsageReporter::Tick() {
  this->tick = this->environment.loop.CallAfter(this->options.tick,
                                                [this] { this->Tick(); });
  const MonotonicTime now = this->environment.clock.BootNow();
  if (this->lease.HoldsLease() || this->lease.Elected()) {
    this->last_wanted = now;
    this->Follow();
  } else if (this->counts_follower &&
             now - this->last_wanted > this->options.unfollow_after) {
    this->Unfollow();
  }
  if (!this->lease.HoldsLease() || !this->reports_follower->Synced()) {
    return;
  }
  this->SendReports();
  if (this->MayDecide()) {
    this->Decide();
    this->DeleteOldCounts();
  }
}

bool UsageReporter::MayDecide() const {
  return this->counts_follower->Synced() &&
         this->counts_follower->Reachable() &&
         this->counts_follower->LastReadWithin(this->options.max_read_age) &&
         (this->reachable_since == MonotonicTime::min() ||
          this->environment.clock.BootNow() - this->reachable_since >=
              this->options.settle_time);
}

void UsageReporter::Decide() {
  if (this->appending) {
    return;
  }
  const WallMilliseconds now = this->environment.clock.WallNow();
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (UsageReport& report : this->ledger.Undecided(now)) {
    KeyedRecord record = EncodeUsageReport({std::move(report), false});
    bytes += record.key.size() + record.value.size();
    if (bytes > this->options.reports.max_append_bytes && !records.empty()) {
      break;
    }
    records.push_back(std::move(record));
  }
  const bool updates_due =
      this->last_append == MonotonicTime::min() ||
      this->environment.clock.BootNow() - this->last_append >= kUpdatePeriod;
  if (!records.empty() || updates_due) {
    const std::vector<KeyedRecord> updates = this->ledger.Updates(now);
    records.insert(records.end(), updates.begin(), updates.end());
  }
  if (!records.empty()) {
    this->Append(std::move(records));
  }
}

void UsageReporter::Append(std::vector<KeyedRecord> records) {
  this->appending = true;
  this->last_append = this->environment.clock.BootNow();
  // Conditional on the whole topic having been read: so no window gets a second
  // report.
  this->environment.log.Append(
      this->reports_follower->Partition(), records,
      this->reports_follower->Next(),
      [this, alive = this->alive, records](const AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        this->appending = false;
        if (outcome.status != AppendStatus::kAppended) {
          this->reports_follower->Refresh([](bool /*fresh*/) {});
          return;
        }
        this->reports_follower->DeliverOwnAppend(records, outcome.offset,
                                                 outcome.end);
        const WallMilliseconds now = this->environment.clock.WallNow();
        for (const KeyedRecord& record : records) {
          const std::optional<UsageReportRecord> decided =
              DecodeUsageReport(record);
          if (!decided || decided->sent) {
            continue;
          }
          const bool late = now > UsageWindowEnd(decided->report.window,
                                                 this->options.reports.window) +
                                      this->options.due_after.count();
          this->CountWindow(late ? "decided_late" : "decided");
        }
        this->SendReports();
      });
}

void UsageReporter::DeleteOldCounts() {
  if (this->deleting) {
    return;
  }
  const std::vector<KeyedRecord> deletions =
      this->ledger.CountsDeletions(this->environment.clock.WallNow());
  if (deletions.empty()) {
    return;
  }
  this->deleting = true;
  this->environment.log.Append(
      this->topics.counts, deletions, std::nullopt,
      [this, alive = this->alive, deletions](const AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        this->deleting = false;
        if (outcome.status == AppendStatus::kAppended) {
          for (const KeyedRecord& deletion : deletions) {
            this->ledger.ApplyCounts(deletion);
          }
        }
      });
}

void UsageReporter::SendReports() {
  const WallMilliseconds wall_now = this->environment.clock.WallNow();
  const std::vector<UsageReport> unsent = this->ledger.Unsent(wall_now);
  const MonotonicTime now = this->environment.clock.Now();
  std::erase_if(this->retries, [&](const auto& entry) {
    const std::int64_t window = entry.first;
    const bool is_unsent = std::any_of(
        unsent.begin(), unsent.end(),
        [window](const auto& report) { return report.window == window; });
    // Otherwise another instance has sent the report.
    if (!is_unsent && UsageWindowEnd(window, this->options.reports.window) +
                              this->options.reports.report_until.count() <=
                          wall_now) {
      this->CountWindow("abandoned");
    }
    return !is_unsent;
  });
  for (const UsageReport& report : unsent) {
    const auto retry = this->retries.find(report.window);
    if (retry != this->retries.end() && now < retry->second.not_before) {
      continue;
    }
    this->calls.Send(
        kDuty, std::to_string(report.window),
        [this, &report](const DutyCaller& caller) {
          return this->environment.dialect.UsageReportRequest(report, caller);
        },
        [this, alive = this->alive,
         window = report.window](DutyCallOutcome outcome) {
          if (*alive) {
            this->OnResponse(window, outcome);
          }
        });
  }
}

void UsageReporter::OnResponse(std::int64_t window, DutyCallOutcome outcome) {
  if (outcome == DutyCallOutcome::kAccepted) {
    this->ledger.OnSent(window);
    this->retries.erase(window);
    const bool late = this->environment.clock.WallNow() >
                      UsageWindowEnd(window, this->options.reports.window) +
                          this->options.due_after.count();
    this->CountWindow(late ? "sent_late" : "sent");
    return;
  }
  Retry& retry = this->retries[window];
  retry.pause = std::clamp(retry.pause * 2, this->options.first_retry_pause,
                           this->options.longest_retry_pause);
  retry.not_before = this->environment.clock.Now() + retry.pause;
}

void UsageReporter::CountWindow(std::string_view event) {
  this->environment.metrics
      .GetCounter(metrics::kUsageWindows, {{"event", std::string(event)}})
      .Add();
}

}  // namespace carobbank
