// Counts per window and workspace.

#include "LibLedger/usage_counter.h"

namespace carobbank {

bool UsageCounter::Add(std::string_view workspace, WallMilliseconds at) {
  const std::int64_t number = UsageWindowAt(at, this->options.window);
  const std::int64_t newest =
      this->windows.empty() ? number
                            : std::max(number, this->windows.rbegin()->first);
  const std::int64_t oldest_kept =
      newest - this->options.kept / this->options.window;
  if (number < oldest_kept) {
    return false;
  }
  this->windows.erase(this->windows.begin(),
                      this->windows.lower_bound(oldest_kept));
  Window& window = this->windows[number];
  auto count = window.counts.find(workspace);
  if (count == window.counts.end()) {
    if (window.counts.size() >= this->options.max_workspaces ||
        window.name_bytes + workspace.size() > this->options.max_name_bytes) {
      return false;
    }
    window.name_bytes += workspace.size();
    count = window.counts.emplace(workspace, 0).first;
  }
  ++count->second;
  ++window.sequence;
  return true;
}

void UsageCounter::Remove(std::string_view workspace, WallMilliseconds at) {
  const auto window =
      this->windows.find(UsageWindowAt(at, this->options.window));
  if (window == this->windows.end()) {
    return;
  }
  const auto count = window->second.counts.find(workspace);
  if (count == window->second.counts.end() || count->second == 0) {
    return;
  }
  --count->second;
  ++window->second.sequence;
}

std::vector<UsageCountsRecord> UsageCounter::Unappended(
    WallMilliseconds now,
    Milliseconds min_age) const {
  std::vector<UsageCountsRecord> records;
  for (const auto& [number, window] : this->windows) {
    const WallMilliseconds begin = number * this->options.window.count();
    if (window.sequence == window.appended_sequence ||
        now < begin + min_age.count()) {
      continue;
    }
    UsageCountsRecord& record = records.emplace_back();
    record.window = number;
    record.process = this->process;
    record.epoch = this->epoch;
    record.sequence = window.sequence;
    for (const auto& [workspace, count] : window.counts) {
      if (count > 0) {
        record.counts[workspace] = count;
      }
    }
  }
  return records;
}

void UsageCounter::OnAppended(const std::vector<UsageCountsRecord>& records) {
  for (const UsageCountsRecord& record : records) {
    const auto window = this->windows.find(record.window);
    if (window != this->windows.end()) {
      window->second.appended_sequence =
          std::max(window->second.appended_sequence, record.sequence);
    }
  }
}

}  // namespace carobbank
