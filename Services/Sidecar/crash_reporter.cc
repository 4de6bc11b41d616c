// Appends all waiting evidence in one record, one append at a time.

#include "Sidecar/crash_reporter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibLedger/ledger.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxWaiting = 1'024;
constexpr Milliseconds kRetryDelay{1'000};
// An append takes milliseconds; callers repeat a crashing request within a
// second.
constexpr Milliseconds kNotifyDelay{100};

}  // namespace

CrashReporter::CrashReporter(ControlTimers& timers,
                             LogClient& log,
                             std::string instance,
                             std::uint64_t incarnation,
                             Notifier notify_entries)
    : timers(timers),
      log(log),
      instance(std::move(instance)),
      incarnation(incarnation),
      notify_entries(std::move(notify_entries)) {}

void CrashReporter::Report(CrashEvidence evidence) {
  this->waiting.push_back(std::move(evidence));
  if (this->waiting.size() > kMaxWaiting && !this->busy) {
    this->waiting.pop_front();
  }
  this->unsent = std::min(this->unsent + 1, this->waiting.size());
  this->Append();
  if (!this->notify_timer && this->unsent > 0) {
    this->notify_timer =
        this->timers.CallAfter(kNotifyDelay, [this] { this->NotifyEntries(); });
  }
}

void CrashReporter::NotifyEntries() {
  this->notify_timer.reset();
  for (; this->unsent > 0; --this->unsent) {
    this->notify_entries(this->waiting[this->waiting.size() - this->unsent]);
  }
}

void CrashReporter::Append() {
  if (this->busy || this->waiting.empty()) {
    return;
  }
  this->busy = true;
  this->timer.reset();
  std::vector<std::string> entries;
  for (const CrashEvidence& evidence : this->waiting) {
    CrashEntry entry;
    entry.instance = this->instance;
    entry.incarnation = this->incarnation;
    entry.digests = evidence.digests;
    entry.lists_all_work = evidence.lists_all_work;
    entries.push_back(EncodeServerEntry(entry));
  }
  this->log.Append(
      kServerStream, EncodeRecord(entries),
      [this, count = entries.size(), token = std::weak_ptr<bool>(this->alive)](
          const Outcome<std::uint64_t>& offset) {
        if (!token.expired()) {
          this->OnAppended(count, offset);
        }
      });
}

void CrashReporter::OnAppended(std::size_t count,
                               const Outcome<std::uint64_t>& offset) {
  this->busy = false;
  if (!offset.Ok()) {
    // A retry after a lost response may append the evidence twice. Readers
    // count it once, because the entry names the instance.
    this->timer =
        this->timers.CallAfter(kRetryDelay, [this] { this->Append(); });
    return;
  }
  const auto end = this->waiting.begin() + static_cast<std::ptrdiff_t>(count);
  this->waiting.erase(this->waiting.begin(), end);
  this->unsent = std::min(this->unsent, this->waiting.size());
  this->Append();
}

}  // namespace carobbank
