// Folds of the counts and of the reports, and what follows from them.

#include "LibLedger/usage_ledger.h"

#include <algorithm>

namespace carobbank {

WallMilliseconds UsageLedger::EndOf(std::int64_t window) const {
  return UsageWindowEnd(window, this->options.window);
}

bool UsageLedger::ApplyCounts(const KeyedRecord& record) {
  const std::optional<UsageCountsRecord> key = DecodeUsageCountsKey(record.key);
  if (!key) {
    return true;
  }
  if (record.value.empty()) {
    const auto window = this->counted.find(key->window);
    if (window != this->counted.end()) {
      window->second.keys.erase(record.key);
      if (window->second.keys.empty()) {
        this->counted.erase(window);
      }
    }
    return true;
  }
  CountedWindow& window = this->counted[key->window];
  window.keys.insert(record.key);
  std::optional<UsageCountsRecord> decoded = DecodeUsageCounts(record);
  if (!decoded) {
    return true;
  }
  ProcessCounts& process = window.processes[decoded->process];
  if (decoded->sequence <= process.sequence) {
    return true;
  }
  process.sequence = decoded->sequence;
  process.counts = std::move(decoded->counts);
  return !this->reports.contains(key->window);
}

void UsageLedger::ResetCounts() {
  this->counted.clear();
}

void UsageLedger::ApplyReport(const KeyedRecord& record) {
  const std::optional<std::int64_t> window = DecodeUsageReportKey(record.key);
  if (!window) {
    return;
  }
  if (record.value.empty()) {
    this->reports.erase(*window);
    this->confirmed.erase(*window);
    return;
  }
  std::optional<UsageReportRecord> decoded = DecodeUsageReport(record);
  if (!decoded) {
    return;
  }
  const auto [report, first] = this->reports.try_emplace(*window, *decoded);
  if (!first) {
    report->second.sent = report->second.sent || decoded->sent;
  }
  if (report->second.sent) {
    this->confirmed.erase(*window);
  }
}

void UsageLedger::ResetReports() {
  this->reports.clear();
}

std::optional<std::int64_t> UsageLedger::FirstWindow() const {
  std::optional<std::int64_t> first;
  if (!this->counted.empty()) {
    first = this->counted.begin()->first;
  }
  if (!this->reports.empty()) {
    const std::int64_t reported = this->reports.begin()->first;
    first = std::min(first.value_or(reported), reported);
  }
  return first;
}

std::vector<UsageReport> UsageLedger::Undecided(WallMilliseconds now) const {
  std::vector<UsageReport> undecided;
  const std::optional<std::int64_t> first = this->FirstWindow();
  if (!first) {
    return undecided;
  }
  const std::int64_t oldest = UsageWindowAt(
      now - this->options.report_until.count(), this->options.window);
  for (std::int64_t window = std::max(*first, oldest);
       this->EndOf(window) + this->options.decide_after.count() <= now;
       ++window) {
    if (this->reports.contains(window)) {
      continue;
    }
    UsageReport& report = undecided.emplace_back();
    report.window = window;
    const auto counted = this->counted.find(window);
    if (counted == this->counted.end()) {
      continue;
    }
    for (const auto& [name, process] : counted->second.processes) {
      for (const auto& [workspace, count] : process.counts) {
        report.counts[workspace] += count;
      }
    }
  }
  return undecided;
}

std::vector<UsageReport> UsageLedger::Unsent(WallMilliseconds now) const {
  std::vector<UsageReport> unsent;
  for (const auto& [window, record] : this->reports) {
    if (!record.sent && !this->confirmed.contains(window) &&
        now < this->EndOf(window) + this->options.report_until.count()) {
      unsent.push_back(record.report);
    }
  }
  return unsent;
}

void UsageLedger::OnSent(std::int64_t window) {
  this->confirmed.insert(window);
}

std::vector<KeyedRecord> UsageLedger::Updates(WallMilliseconds now) const {
  std::vector<KeyedRecord> records;
  for (const std::int64_t window : this->confirmed) {
    const auto report = this->reports.find(window);
    if (report != this->reports.end() && !report->second.sent) {
      UsageReportRecord sent = report->second;
      sent.sent = true;
      records.push_back(EncodeUsageReport(sent));
    }
  }
  if (this->reports.empty()) {
    return records;
  }
  // The newest report stays: it tells that there was traffic.
  const std::int64_t newest = this->reports.rbegin()->first;
  for (const auto& [window, record] : this->reports) {
    if (window == newest || records.size() >= this->options.max_deletions ||
        now < this->EndOf(window) + this->options.reports_kept.count()) {
      break;
    }
    records.push_back({EncodeUsageReport(record).key, ""});
  }
  return records;
}

std::vector<KeyedRecord> UsageLedger::CountsDeletions(
    WallMilliseconds now) const {
  std::vector<KeyedRecord> deletions;
  for (const auto& [window, counted] : this->counted) {
    const Milliseconds kept =
        this->reports.contains(window)
            ? this->options.counts_kept
            : std::max(this->options.reports_kept, this->options.counts_kept);
    if (now < this->EndOf(window) + kept.count()) {
      continue;
    }
    for (const std::string& key : counted.keys) {
      if (deletions.size() >= this->options.max_deletions) {
        return deletions;
      }
      deletions.push_back({key, ""});
    }
  }
  return deletions;
}

}  // namespace carobbank
