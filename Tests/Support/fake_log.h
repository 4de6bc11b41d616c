// An in-memory append-only log with switchable faults, behind LogClient.
// Calls answer synchronously unless the pace says otherwise.

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
  // Effect and answer come within the call.
  kImmediate,
  // The effect comes within the call, the answer with Pump().
  kHoldAnswers,
  // Effect and answer come with Pump().
  kHoldRequests,
};

struct FakeLogFaults {
  // Appends end in kUnavailable and leave nothing.
  bool append_outage = false;
  bool read_outage = false;
  // That many next appends take effect and end in kOutcomeUnknown.
  std::size_t lost_answers = 0;
  // That many next appends leave nothing and end in kOutcomeUnknown.
  std::size_t lost_requests = 0;
  // Appends left before the log answers kOverloaded; nothing means no limit.
  std::optional<std::size_t> append_budget;
  FakePace pace = FakePace::kImmediate;
};

class FakeLog final : public LogClient {
 public:
  explicit FakeLog(const Clock& clock) : clock(clock) {}

  FakeLogFaults faults;
  // How many of a stream's newest records can still be read.
  std::size_t retained_records = std::numeric_limits<std::size_t>::max();

  void Append(std::string_view stream,
              std::string payload,
              AppendCallback callback) override {
    auto work = [this, stream = std::string(stream),
                 payload = std::move(payload),
                 callback = std::move(callback)]() mutable {
      auto outcome = this->TakeAppend(stream, std::move(payload));
      this->Answer([callback = std::move(callback),
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
      auto outcome = this->TakeRead(read);
      const bool nothing_yet =
          outcome.Ok() && outcome.Value().records.empty() && may_wait;
      if (nothing_yet) {
        this->waiting_reads.push_back(std::move(read));
        return;
      }
      this->AnswerRead(std::move(read), std::move(outcome));
    });
  }

  // Runs what the pace held back, including what that causes; returns how many
  // steps ran.
  std::size_t Pump() {
    std::size_t steps = 0;
    while (this->PumpOne()) {
      ++steps;
    }
    return steps;
  }

  // Runs the oldest step that was held back; false when there is none.
  bool PumpOne() {
    if (this->held.empty()) {
      return false;
    }
    auto step = std::move(this->held.front());
    this->held.pop_front();
    step();
    return true;
  }

  // Ends every long poll with what is there now, as if its wait had passed.
  void EndWaits() {
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      auto outcome = this->TakeRead(read);
      this->AnswerRead(std::move(read), std::move(outcome));
    }
  }

  // Makes every record of the stream below `offset` unreadable.
  void ExpireBefore(std::string_view stream, std::uint64_t offset) {
    Stream& kept = this->streams[std::string(stream)];
    kept.first_retained = std::max(kept.first_retained, offset);
  }

  // The stream's whole content, also of records past retention.
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
      this->held.push_back(std::move(work));
      return;
    }
    work();
  }

  void Answer(std::function<void()> answer) {
    if (this->faults.pace == FakePace::kHoldAnswers) {
      this->held.push_back(std::move(answer));
      return;
    }
    answer();
  }

  void AnswerRead(WaitingRead read, Outcome<LogPage> outcome) {
    this->Answer([callback = std::move(read.callback),
                  outcome = std::move(outcome)] { callback(outcome); });
  }

  Outcome<std::uint64_t> TakeAppend(const std::string& name,
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
      return LostAnswer();
    }
    if (this->faults.append_budget.has_value()) {
      --*this->faults.append_budget;
    }
    const std::uint64_t offset = this->Store(name, std::move(payload));
    if (this->faults.lost_answers > 0) {
      --this->faults.lost_answers;
      return LostAnswer();
    }
    return offset;
  }

  static Error LostAnswer() {
    return Error{ErrorKind::kOutcomeUnknown, "the answer was lost",
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

  Outcome<LogPage> TakeRead(const WaitingRead& read) {
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

  // Answers the long polls of a stream that now has something for them.
  void ServeWaitingReads(const std::string& stream) {
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      if (read.stream != stream) {
        this->waiting_reads.push_back(std::move(read));
        continue;
      }
      auto outcome = this->TakeRead(read);
      const bool nothing_yet = outcome.Ok() && outcome.Value().records.empty();
      if (nothing_yet) {
        this->waiting_reads.push_back(std::move(read));
        continue;
      }
      this->AnswerRead(std::move(read), std::move(outcome));
    }
  }

  const Clock& clock;
  std::map<std::string, Stream, std::less<>> streams;
  std::deque<std::function<void()>> held;
  std::vector<WaitingRead> waiting_reads;
};

}  // namespace carobbank
