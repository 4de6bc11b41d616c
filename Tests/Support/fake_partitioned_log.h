// An in-memory partitioned log with switchable faults, behind PartitionedLog.
// Answers come from the event loop.

#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

struct FakePartitionedLogFaults {
  // Every call ends in kUnavailable or kRefused and leaves nothing.
  bool outage = false;
  // That many next appends take effect and are not answered with success.
  std::size_t lost_answers = 0;
  // That many next appends wait for ApplyLate() and end in kUnknown.
  std::size_t late_appends = 0;
  // That many next appends end in kRefused.
  std::size_t refused_appends = 0;
  // A read brings no more of them at once.
  std::size_t most_records_a_page = 1'000;
};

class FakePartitionedLog final : public PartitionedLog {
 public:
  explicit FakePartitionedLog(EventLoop& loop) : loop(loop) {}

  FakePartitionedLogFaults faults;
  // What the next Join() answers with.
  GroupMembership membership;
  // What ReadOwners() answers with.
  std::vector<PartitionOwner> owners;
  std::size_t appends = 0;
  std::size_t joins = 0;
  std::size_t leaves = 0;
  std::size_t owner_reads = 0;
  // Records that reads have brought, to all readers together.
  std::map<TopicPartition, std::size_t> records_read;

  void Append(const TopicPartition& part,
              const std::vector<KeyedRecord>& records,
              std::uint64_t expected_end,
              AppendCallback callback) override {
    ++this->appends;
    AppendOutcome outcome;
    if (this->faults.outage || Take(this->faults.refused_appends)) {
      outcome.status = AppendStatus::kRefused;
    } else if (Take(this->faults.late_appends)) {
      this->late.push_back({part, records, expected_end});
    } else {
      outcome = this->Store(part, records, expected_end);
      if (Take(this->faults.lost_answers)) {
        outcome = AppendOutcome();
      }
    }
    this->loop.Post(
        [callback = std::move(callback), outcome] { callback(outcome); });
  }

  void Read(const TopicPartition& part,
            std::uint64_t from,
            Milliseconds wait,
            Milliseconds /*patience*/,
            ReadCallback callback) override {
    if (this->faults.outage) {
      this->Answer(std::move(callback), Unavailable());
      return;
    }
    const std::vector<KeyedLogRecord>& records = this->parts[part];
    if (from < this->expired_before[part]) {
      this->Answer(std::move(callback),
                   Error{ErrorKind::kExpired, "expired", "take a snapshot"});
      return;
    }
    if (from >= records.size() && wait.count() > 0) {
      this->waiting.push_back({part, from, std::move(callback)});
      return;
    }
    this->Answer(std::move(callback), this->Page(part, from));
  }

  void ReadSnapshot(const TopicPartition& part,
                    SnapshotCallback callback) override {
    if (this->faults.outage) {
      this->Answer(std::move(callback), Unavailable());
      return;
    }
    std::map<std::string, KeyedLogRecord> newest;
    for (const KeyedLogRecord& record : this->parts[part]) {
      newest[record.record.key] = record;
    }
    KeyedSnapshot snapshot;
    for (const auto& [key, record] : newest) {
      if (!record.record.value.empty()) {
        snapshot.records.push_back(record);
      }
    }
    std::sort(snapshot.records.begin(), snapshot.records.end(),
              [](const auto& left, const auto& right) {
                return left.offset < right.offset;
              });
    snapshot.end = this->parts[part].size();
    this->Answer(std::move(callback), std::move(snapshot));
  }

  void Join(std::string_view /*group*/,
            std::string_view /*member*/,
            std::string_view /*topic*/,
            std::int64_t /*generation*/,
            JoinCallback callback) override {
    ++this->joins;
    if (this->faults.outage) {
      this->Answer(std::move(callback), Unavailable());
      return;
    }
    this->Answer(std::move(callback), this->membership);
  }

  void Leave(std::string_view /*group*/, std::string_view /*member*/) override {
    ++this->leaves;
  }

  void ReadOwners(std::string_view /*group*/,
                  OwnersCallback callback) override {
    ++this->owner_reads;
    if (this->faults.outage) {
      this->Answer(std::move(callback), Unavailable());
      return;
    }
    this->Answer(std::move(callback), this->owners);
  }

  // Another writer's records.
  void Put(const TopicPartition& part,
           const std::vector<KeyedRecord>& records) {
    this->Store(part, records, this->parts[part].size());
  }
  // Carries out what late appends asked for, if their condition still holds.
  void ApplyLate() {
    for (const LateAppend& append : std::exchange(this->late, {})) {
      this->Store(append.part, append.records, append.expected_end);
    }
  }
  // Records below `offset` can't be read any more.
  void Expire(const TopicPartition& part, std::uint64_t offset) {
    this->expired_before[part] = offset;
  }
  // Ends the waiting reads as an outage does.
  void FailWaitingReads() {
    for (WaitingRead& read : std::exchange(this->waiting, {})) {
      this->Answer(std::move(read.callback), Unavailable());
    }
  }
  const std::vector<KeyedLogRecord>& Records(const TopicPartition& part) {
    return this->parts[part];
  }

 private:
  struct WaitingRead {
    TopicPartition part;
    std::uint64_t from = 0;
    ReadCallback callback;
  };
  struct LateAppend {
    TopicPartition part;
    std::vector<KeyedRecord> records;
    std::uint64_t expected_end = 0;
  };

  static bool Take(std::size_t& count) {
    if (count == 0) {
      return false;
    }
    --count;
    return true;
  }

  static Error Unavailable() {
    return {ErrorKind::kUnavailable, "the fake log is down", "try again"};
  }

  template <typename Callback, typename Value>
  void Answer(Callback callback, Value value) {
    this->loop.Post([callback = std::move(callback), value = std::move(value)] {
      callback(value);
    });
  }

  AppendOutcome Store(const TopicPartition& part,
                      const std::vector<KeyedRecord>& records,
                      std::uint64_t expected_end) {
    std::vector<KeyedLogRecord>& stored = this->parts[part];
    AppendOutcome outcome;
    if (stored.size() != expected_end) {
      outcome.status = AppendStatus::kConflict;
      outcome.end = stored.size();
      return outcome;
    }
    outcome.status = AppendStatus::kAppended;
    outcome.offset = expected_end;
    for (const KeyedRecord& record : records) {
      stored.push_back({stored.size(), record});
    }
    outcome.end = stored.size();
    this->ServeWaiting();
    return outcome;
  }

  KeyedLogPage Page(const TopicPartition& part, std::uint64_t from) {
    const std::vector<KeyedLogRecord>& stored = this->parts[part];
    KeyedLogPage page;
    const std::size_t first = std::min<std::size_t>(from, stored.size());
    const std::size_t last =
        std::min(first + this->faults.most_records_a_page, stored.size());
    page.records.assign(stored.begin() + static_cast<std::ptrdiff_t>(first),
                        stored.begin() + static_cast<std::ptrdiff_t>(last));
    page.next = std::max<std::uint64_t>(from, last);
    this->records_read[part] += page.records.size();
    page.end = stored.size();
    return page;
  }

  void ServeWaiting() {
    std::vector<WaitingRead> still;
    for (WaitingRead& read : std::exchange(this->waiting, {})) {
      if (read.from < this->parts[read.part].size()) {
        this->Answer(std::move(read.callback),
                     this->Page(read.part, read.from));
      } else {
        still.push_back(std::move(read));
      }
    }
    this->waiting = std::move(still);
  }

  EventLoop& loop;
  // Invariant: the record at index i has offset i.
  std::map<TopicPartition, std::vector<KeyedLogRecord>> parts;
  std::map<TopicPartition, std::uint64_t> expired_before;
  std::vector<WaitingRead> waiting;
  std::vector<LateAppend> late;
};

}  // namespace carobbank
