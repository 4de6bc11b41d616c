// One append in flight per stream; entries added meanwhile go into the next.

#include "LibLedger/group_committer.h"

#include <algorithm>
#include <span>

#include "LibLedger/record_codec.h"

namespace carobbank {

namespace {

// `{"entries":[]}` around the entries.
constexpr std::size_t kRecordFrameBytes = 14;
// The comma after an entry.
constexpr std::size_t kSeparatorBytes = 1;
// Number of doublings after which the backoff is at its maximum.
constexpr std::uint32_t kMaxDoublings = 20;

Milliseconds BackoffAfter(const GroupCommitterOptions& options,
                          std::uint32_t failures,
                          Random& random) {
  const std::uint32_t doublings = std::min(failures - 1, kMaxDoublings);
  const Milliseconds full =
      std::min(options.maximum_backoff,
               Milliseconds(options.initial_backoff.count() << doublings));
  const double jitter = 0.5 + 0.5 * random.Unit();
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(full.count()) * jitter));
}

}  // namespace

Result<EntryTicket> GroupCommitter::Add(std::string entry) {
  if (entry.size() + kRecordFrameBytes > this->options.max_record_bytes) {
    ++this->counters.refused_entries;
    return Fail(ErrorKind::kInvalidArgument,
                "the log entry exceeds the maximum size of a log record",
                "split the request into smaller ones");
  }
  if (this->waiting.size() >= this->options.max_buffered_entries ||
      this->buffered_bytes + entry.size() > this->options.max_buffered_bytes) {
    ++this->counters.refused_entries;
    return Fail(
        ErrorKind::kOverloaded,
        "the buffer of entries waiting to be appended to the log is full",
        "retry once the log accepts appends again");
  }
  const EntryTicket ticket = this->next_ticket++;
  this->buffered_bytes += entry.size();
  this->waiting.push_back({ticket, std::move(entry)});
  return ticket;
}

std::size_t GroupCommitter::EntriesForNextRecord() const {
  std::size_t bytes = kRecordFrameBytes;
  std::size_t count = 0;
  for (const WaitingEntry& waiting : this->waiting) {
    bytes += waiting.entry.size() + kSeparatorBytes;
    if (count > 0 && bytes > this->options.max_record_bytes) {
      break;
    }
    ++count;
  }
  return count;
}

std::optional<AppendRequest> GroupCommitter::NextAppend(MonotonicTime now) {
  if (this->InFlight() || this->waiting.empty() || now < this->not_before) {
    return std::nullopt;
  }
  this->entries_in_flight = this->EntriesForNextRecord();
  std::vector<std::string> entries;
  entries.reserve(this->entries_in_flight);
  for (std::size_t index = 0; index < this->entries_in_flight; ++index) {
    entries.push_back(this->waiting[index].entry);
  }
  this->in_flight = this->next_number++;
  this->not_before = now + this->options.minimum_interval;
  ++this->counters.appends;
  return AppendRequest{this->in_flight, EncodeRecord(entries)};
}

std::optional<MonotonicTime> GroupCommitter::NextWakeup() const {
  if (this->InFlight() || this->waiting.empty()) {
    return std::nullopt;
  }
  return this->not_before;
}

std::vector<AppendedEntry> GroupCommitter::OnAppended(std::uint64_t number,
                                                      std::uint64_t offset) {
  std::vector<AppendedEntry> appended;
  if (number == 0 || number != this->in_flight) {
    return appended;
  }
  appended.reserve(this->entries_in_flight);
  for (std::uint32_t index = 0; index < this->entries_in_flight; ++index) {
    const WaitingEntry& front = this->waiting.front();
    appended.push_back({front.ticket, {offset, index}});
    this->buffered_bytes -= front.entry.size();
    this->waiting.pop_front();
  }
  this->counters.entries += appended.size();
  this->entries_in_flight = 0;
  this->in_flight = 0;
  this->failures_in_row = 0;
  return appended;
}

void GroupCommitter::OnFailed(std::uint64_t number,
                              ErrorKind kind,
                              MonotonicTime now,
                              Random& random,
                              Milliseconds retry_after) {
  if (number == 0 || number != this->in_flight) {
    return;
  }
  const bool certainly_not_done =
      kind == ErrorKind::kOverloaded || kind == ErrorKind::kUnavailable;
  if (certainly_not_done) {
    ++this->counters.certain_failures;
  } else {
    ++this->counters.unknown_outcomes;
  }
  this->entries_in_flight = 0;
  this->in_flight = 0;
  ++this->failures_in_row;
  const Milliseconds backoff =
      BackoffAfter(this->options, this->failures_in_row, random);
  this->not_before =
      std::max(this->not_before, now + std::max(backoff, retry_after));
}

bool GroupCommitter::BackPressure() const {
  return this->waiting.size() * 4 >= this->options.max_buffered_entries * 3 ||
         this->buffered_bytes * 4 >= this->options.max_buffered_bytes * 3;
}

}  // namespace carobbank
