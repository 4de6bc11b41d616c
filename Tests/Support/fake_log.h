// An in-memory LogClient (append-only log) with switchable faults. Calls
// complete synchronously unless FakeLogFaults::pace defers them.

#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibPlatform/platform.h"

namespace carobbank {

enum class FakePace {
  // Effect and response within the call.
  kImmediate,
  // Effect within the call, response in Pump().
  kHoldAnswers,
  // Effect and response in Pump().
  kHoldRequests,
};

struct FakeLogFaults {
  // Appends fail with kUnavailable and have no effect.
  bool append_outage = false;
  bool read_outage = false;
  // The next N appends take effect and fail with kOutcomeUnknown.
  std::size_t lost_answers = 0;
  // The next N appends have no effect and fail with kOutcomeUnknown.
  std::size_t lost_requests = 0;
  // Number of appends before the log fails with kOverloaded; no value means no
  // limit.
  std::optional<std::size_t> append_budget;
  FakePace pace = FakePace::kImmediate;
};

class FakeLog final : public LogClient {
 public:
  explicit FakeLog(const Clock& clock) : clock(clock) {}

  FakeLogFaults faults;
  // Number of a stream's newest records that are readable.
  std::size_t retained_records = std::numeric_limits<std::size_t>::max();

  void Append(std::string_view stream,
              std::string payload,
              AppendCallback callback) override {
    auto work = [this, stream = std::string(stream),
                 payload = std::move(payload),
                 callback = std::move(callback)]() mutable {
      auto outcome = this->ApplyAppend(stream, std::move(payload));
      this->Respond([callback = std::move(callback),
                     outcome = std::move(outcome)] { callback(outcome); });
      this->ServeWaitingReads(stream);
    };
    this->Begin(std::move(work));
  }

  void Read(std::string_view stream,
            std::uint64_t from,
            std::size_t max_records,
            Milliseconds wait,
            ReadCallback callback) override {
    WaitingRead read{std::string(stream), from, max_records,
                     std::move(callback)};
    const bool may_wait = wait.count() > 0;
    this->Begin([this, read = std::move(read), may_wait]() mutable {
      auto outcome = this->ReadPage(read);
      const bool must_wait =
          outcome.Ok() && outcome.Value().records.empty() && may_wait;
      if (must_wait) {
        this->waiting_reads.push_back(std::move(read));
        return;
      }
      this->RespondToRead(std::move(read), std::move(outcome));
    });
  }

  // Runs all deferred steps, including those that they add; returns the number
  // of steps.
  std::size_t Pump() {
    std::size_t steps = 0;
    while (this->PumpOne()) {
      ++steps;
    }
    return steps;
  }

  // Runs the oldest deferred step; false when there is none.
  bool PumpOne() {
    if (this->deferred_steps.empty()) {
      return false;
    }
    auto step = std::move(this->deferred_steps.front());
    this->deferred_steps.pop_front();
    step();
    return true;
  }

  // Completes every long poll with the current records, as if its wait had
  // elapsed.
  void EndWaits() {
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      auto outcome = this->ReadPage(read);
      this->RespondToRead(std::move(read), std::move(outcome));
    }
  }

  // Makes every record of the stream below `offset` unreadable.
  void ExpireBefore(std::string_view stream, std::uint64_t offset) {
    Stream& expiring = this->streams[std::string(stream)];
    expiring.first_retained = std::max(expiring.first_retained, offset);
  }

  // All records of the stream, also those past retention.
  const std::vector<LogRecord>& TrueRecords(std::string_view stream) {
    return this->streams[std::string(stream)].records;
  }

 private:
  static constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;

  struct Stream {
    // Invariant: the record at index i has offset i.
    std::vector<LogRecord> records;
    std::uint64_t first_retained = 0;
  };

  struct WaitingRead {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t max_records = 0;
    ReadCallback callback;
  };

  void Begin(std::function<void()> work) {
    if (this->faults.pace == FakePace::kHoldRequests) {
      this->deferred_steps.push_back(std::move(work));
      return;
    }
    work();
  }

  void Respond(std::function<void()> response) {
    if (this->faults.pace == FakePace::kHoldAnswers) {
      this->deferred_steps.push_back(std::move(response));
      return;
    }
    response();
  }

  void RespondToRead(WaitingRead read, Outcome<LogPage> outcome) {
    this->Respond([callback = std::move(read.callback),
                   outcome = std::move(outcome)] { callback(outcome); });
  }

  Outcome<std::uint64_t> ApplyAppend(const std::string& name,
                                     std::string payload) {
    if (this->faults.append_outage) {
      return Error{ErrorKind::kUnavailable, "the fake log is down",
                   "append again later"};
    }
    if (payload.size() > kMaxRecordBytes) {
      return Error{ErrorKind::kInvalidArgument, "the record is too long",
                   "append at most 4 MiB at once"};
    }
    if (this->faults.append_budget == std::size_t{0}) {
      return Error{ErrorKind::kOverloaded, "the append budget is spent",
                   "append again later"};
    }
    if (this->faults.lost_requests > 0) {
      --this->faults.lost_requests;
      return LostResponse();
    }
    if (this->faults.append_budget.has_value()) {
      --*this->faults.append_budget;
    }
    const std::uint64_t offset = this->Store(name, std::move(payload));
    if (this->faults.lost_answers > 0) {
      --this->faults.lost_answers;
      return LostResponse();
    }
    return offset;
  }

  static Error LostResponse() {
    return Error{ErrorKind::kOutcomeUnknown, "the response was lost",
                 "read the stream before appending again"};
  }

  std::uint64_t Store(const std::string& name, std::string payload) {
    Stream& stream = this->streams[name];
    const std::uint64_t offset = stream.records.size();
    stream.records.push_back(
        {offset, this->clock.WallNow(), std::move(payload)});
    return offset;
  }

  std::uint64_t FirstRetained(const Stream& stream) const {
    const std::size_t count = stream.records.size();
    const std::size_t dropped =
        count > this->retained_records ? count - this->retained_records : 0;
    return std::max<std::uint64_t>(stream.first_retained, dropped);
  }

  Outcome<LogPage> ReadPage(const WaitingRead& read) {
    if (this->faults.read_outage) {
      return Error{ErrorKind::kUnavailable, "the fake log is down",
                   "read again later"};
    }
    const Stream& stream = this->streams[read.stream];
    LogPage page;
    page.first_retained = this->FirstRetained(stream);
    page.end = stream.records.size();
    const std::uint64_t from =
        read.from == kOldestRetained ? page.first_retained : read.from;
    if (from < page.first_retained) {
      return Error{ErrorKind::kExpired, "the offset is past retention",
                   "read from kOldestRetained"};
    }
    for (std::uint64_t offset = from;
         offset < page.end && page.records.size() < read.max_records;
         ++offset) {
      page.records.push_back(stream.records[offset]);
    }
    return page;
  }

  // Completes the long polls of the stream that now have records.
  void ServeWaitingReads(const std::string& stream) {
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      if (read.stream != stream) {
        this->waiting_reads.push_back(std::move(read));
        continue;
      }
      auto outcome = this->ReadPage(read);
      const bool must_wait = outcome.Ok() && outcome.Value().records.empty();
      if (must_wait) {
        this->waiting_reads.push_back(std::move(read));
        continue;
      }
      this->RespondToRead(std::move(read), std::move(outcome));
    }
  }

  const Clock& clock;
  std::map<std::string, Stream, std::less<>> streams;
  std::deque<std::function<void()>> deferred_steps;
  std::vector<WaitingRead> waiting_reads;
};

}  // namespace carobbank
