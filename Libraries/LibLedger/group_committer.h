// Groups the entries of one stream into few appends. A state machine without
// clock or socket: the caller performs the requested appends and reports their
// outcomes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "LibLedger/log_position.h"

namespace carobbank {

struct GroupCommitterOptions {
  // The buffer's bounds, over waiting and in-flight entries together.
  std::size_t max_buffered_entries = 65536;
  std::size_t max_buffered_bytes = 64 * 1024 * 1024;
  // Largest payload of one append.
  std::size_t max_record_bytes = 3 * 1024 * 1024;
  // Minimum time between the starts of two appends: this writer's share of
  // the log's append budget.
  Milliseconds minimum_interval{20};
  // Backoff after a failed append; doubles up to the maximum, with full jitter
  // over its upper half.
  Milliseconds initial_backoff{50};
  Milliseconds maximum_backoff{5000};
};

// Identifies one entry until its append is confirmed.
using EntryTicket = std::uint64_t;

// One append to perform now.
struct AppendRequest {
  std::uint64_t number = 0;
  std::string payload;
};

// An entry whose append at this position is confirmed. An earlier copy may
// exist when the response to an append was lost; folds skip the later copy.
struct AppendedEntry {
  EntryTicket ticket = 0;
  LogPosition position;
};

struct GroupCommitterCounters {
  std::uint64_t appends = 0;
  std::uint64_t entries = 0;
  std::uint64_t refused_entries = 0;
  std::uint64_t certain_failures = 0;
  std::uint64_t unknown_outcomes = 0;
};

class GroupCommitter {
 public:
  explicit GroupCommitter(GroupCommitterOptions options) : options(options) {}

  // Buffers one entry (JSON text). Errors: kOverloaded when the buffer is full,
  // kInvalidArgument when the entry exceeds the maximum size of a record.
  Result<EntryTicket> Add(std::string entry);

  // The append to start now, if none is in flight and the minimum interval or
  // backoff has passed.
  std::optional<AppendRequest> NextAppend(MonotonicTime now);
  // When to call NextAppend again; nothing while an append is in flight or no
  // entry waits.
  std::optional<MonotonicTime> NextWakeup() const;

  // The append `number` succeeded at this offset. Returns its entries, or none
  // when that append is not the one in flight.
  std::vector<AppendedEntry> OnAppended(std::uint64_t number,
                                        std::uint64_t offset);
  // The append `number` failed. Its entries go first into the next append,
  // whether the append was certainly not done (kOverloaded, kUnavailable) or
  // its outcome is unknown, because a second copy is harmless. `retry_after`
  // is the delay that the log requested, 0 for none.
  void OnFailed(std::uint64_t number,
                ErrorKind kind,
                MonotonicTime now,
                Random& random,
                Milliseconds retry_after = Milliseconds(0));

  // True from three quarters of either bound on: producers should slow down.
  bool BackPressure() const;
  std::size_t BufferedEntries() const { return this->waiting.size(); }
  std::size_t BufferedBytes() const { return this->buffered_bytes; }
  bool InFlight() const { return this->in_flight != 0; }
  const GroupCommitterCounters& Counters() const { return this->counters; }

 private:
  struct WaitingEntry {
    EntryTicket ticket = 0;
    std::string entry;
  };

  std::size_t EntriesForNextRecord() const;

  GroupCommitterOptions options;
  // Invariant: the first `entries_in_flight` are those of the append in
  // flight, in its order.
  std::deque<WaitingEntry> waiting;
  std::size_t entries_in_flight = 0;
  std::size_t buffered_bytes = 0;
  std::uint64_t next_ticket = 1;
  std::uint64_t next_number = 1;
  // Number of the append in flight, 0 for none.
  std::uint64_t in_flight = 0;
  MonotonicTime not_before{};
  std::uint32_t failures_in_row = 0;
  GroupCommitterCounters counters;
};

}  // namespace carobbank
