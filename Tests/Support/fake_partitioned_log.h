// An in-memory PartitionedLog with switchable faults. Callbacks run on the
// event loop.

#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

struct FakePartitionedLogFaults {
  // Every call fails with kUnavailable or kRefused and has no effect.
  bool outage = false;
  // The next N appends take effect, but end in kUnknown.
  std::size_t lost_answers = 0;
  // The next N appends end in kUnknown and take effect in ApplyLate().
  std::size_t late_appends = 0;
  // The next N appends end in kRefused.
  std::size_t refused_appends = 0;
  // Time from the effect of a call to its response.
  Milliseconds response_time{0};
  // Keys that snapshots lack, as if their pages could not be read.
  std::set<std::string> missing_in_snapshots;
  // Maximum number of records in a page.
  std::size_t most_records_a_page = 1'000;
};

class FakePartitionedLog final : public PartitionedLog {
 public:
  explicit FakePartitionedLog(EventLoop& loop) : loop(loop) {}

  FakePartitionedLogFaults faults;
  // Result of Join().
  GroupMembership membership;
  // Result of ReadOwners().
  std::vector<PartitionOwner> owners;
  std::size_t appends = 0;
  std::size_t joins = 0;
  std::size_t leaves = 0;
  std::size_t owner_reads = 0;
  // Number of records returned by reads, summed over all readers.
  std::map<TopicPartition, std::size_t> records_read;

  void Append(const TopicPartition& partition,
              const std::vector<KeyedRecord>& records,
              std::optional<std::uint64_t> expected_end,
              AppendCallback callback) override {
    ++this->appends;
    AppendOutcome outcome;
    if (this->faults.outage || ConsumeFault(this->faults.refused_appends)) {
      outcome.status = AppendStatus::kRefused;
    } else if (ConsumeFault(this->faults.late_appends)) {
      this->pending_late_appends.push_back({partition, records, expected_end});
    } else {
      outcome = this->Store(partition, records, expected_end);
      if (ConsumeFault(this->faults.lost_answers)) {
        outcome = AppendOutcome();
      }
    }
    this->Respond(std::move(callback), outcome);
  }

  void Read(const TopicPartition& partition,
            std::uint64_t from,
            Milliseconds wait,
            Milliseconds /*response_timeout*/,
            ReadCallback callback) override {
    if (this->faults.outage) {
      this->Respond(std::move(callback), Unavailable());
      return;
    }
    const std::vector<KeyedLogRecord>& records = this->partitions[partition];
    if (from < this->expired_before[partition]) {
      this->Respond(std::move(callback),
                    Error{ErrorKind::kExpired, "expired", "read a snapshot"});
      return;
    }
    if (from >= records.size() && wait.count() > 0) {
      this->waiting_reads.push_back({partition, from, std::move(callback)});
      return;
    }
    this->Respond(std::move(callback), this->Page(partition, from));
  }

  void ReadSnapshot(const TopicPartition& partition,
                    SnapshotCallback callback) override {
    if (this->faults.outage) {
      this->Respond(std::move(callback), Unavailable());
      return;
    }
    std::map<std::string, KeyedLogRecord> newest;
    for (const KeyedLogRecord& record : this->partitions[partition]) {
      newest[record.record.key] = record;
    }
    KeyedSnapshot snapshot;
    for (const auto& [key, record] : newest) {
      if (this->faults.missing_in_snapshots.contains(key)) {
        snapshot.missing = "a page can't be read";
      } else if (!record.record.value.empty()) {
        snapshot.records.push_back(record);
      }
    }
    std::sort(snapshot.records.begin(), snapshot.records.end(),
              [](const auto& left, const auto& right) {
                return left.offset < right.offset;
              });
    snapshot.end = snapshot.missing.empty() ? this->partitions[partition].size()
                                            : this->expired_before[partition];
    this->Respond(std::move(callback), std::move(snapshot));
  }

  void Join(std::string_view /*group*/,
            std::string_view /*member*/,
            std::string_view /*topic*/,
            std::int64_t /*generation*/,
            JoinCallback callback) override {
    ++this->joins;
    if (this->faults.outage) {
      this->Respond(std::move(callback), Unavailable());
      return;
    }
    this->Respond(std::move(callback), this->membership);
  }

  void Leave(std::string_view /*group*/, std::string_view /*member*/) override {
    ++this->leaves;
  }

  void ReadOwners(std::string_view /*group*/,
                  OwnersCallback callback) override {
    ++this->owner_reads;
    if (this->faults.outage) {
      this->Respond(std::move(callback), Unavailable());
      return;
    }
    this->Respond(std::move(callback), this->owners);
  }

  // Appends records as another writer.
  void Put(const TopicPartition& partition,
           const std::vector<KeyedRecord>& records) {
    this->Store(partition, records, this->partitions[partition].size());
  }
  // Applies the late appends whose expected end still matches.
  void ApplyLate() {
    for (const LateAppend& append :
         std::exchange(this->pending_late_appends, {})) {
      this->Store(append.partition, append.records, append.expected_end);
    }
  }
  // Makes the records below `offset` unreadable.
  void Expire(const TopicPartition& partition, std::uint64_t offset) {
    this->expired_before[partition] = offset;
  }
  // Fails the waiting reads with kUnavailable.
  void FailWaitingReads() {
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      this->Respond(std::move(read.callback), Unavailable());
    }
  }
  const std::vector<KeyedLogRecord>& Records(const TopicPartition& partition) {
    return this->partitions[partition];
  }

 private:
  struct WaitingRead {
    TopicPartition partition;
    std::uint64_t from = 0;
    ReadCallback callback;
  };
  struct LateAppend {
    TopicPartition partition;
    std::vector<KeyedRecord> records;
    std::optional<std::uint64_t> expected_end;
  };

  static bool ConsumeFault(std::size_t& count) {
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
  void Respond(Callback callback, Value value) {
    auto respond = [callback = std::move(callback), value = std::move(value)] {
      callback(value);
    };
    if (this->faults.response_time.count() == 0) {
      this->loop.Post(std::move(respond));
      return;
    }
    const auto timer = this->timers.emplace(this->timers.end());
    *timer = this->loop.CallAfter(
        this->faults.response_time,
        [this, timer, respond = std::move(respond)]() mutable {
          const auto kept = std::move(respond);
          this->timers.erase(timer);
          kept();
        });
  }

  AppendOutcome Store(const TopicPartition& partition,
                      const std::vector<KeyedRecord>& records,
                      std::optional<std::uint64_t> expected_end) {
    std::vector<KeyedLogRecord>& stored = this->partitions[partition];
    AppendOutcome outcome;
    if (expected_end && stored.size() != *expected_end) {
      outcome.status = AppendStatus::kConflict;
      outcome.end = stored.size();
      return outcome;
    }
    outcome.status = AppendStatus::kAppended;
    outcome.offset = stored.size();
    for (const KeyedRecord& record : records) {
      stored.push_back({stored.size(), record});
    }
    outcome.end = stored.size();
    this->ServeWaiting();
    return outcome;
  }

  KeyedLogPage Page(const TopicPartition& partition, std::uint64_t from) {
    const std::vector<KeyedLogRecord>& stored = this->partitions[partition];
    KeyedLogPage page;
    const std::size_t first = std::min<std::size_t>(from, stored.size());
    const std::size_t last =
        std::min(first + this->faults.most_records_a_page, stored.size());
    page.records.assign(stored.begin() + static_cast<std::ptrdiff_t>(first),
                        stored.begin() + static_cast<std::ptrdiff_t>(last));
    page.next = std::max<std::uint64_t>(from, last);
    this->records_read[partition] += page.records.size();
    page.end = stored.size();
    return page;
  }

  void ServeWaiting() {
    std::vector<WaitingRead> unserved;
    for (WaitingRead& read : std::exchange(this->waiting_reads, {})) {
      if (read.from < this->partitions[read.partition].size()) {
        this->Respond(std::move(read.callback),
                      this->Page(read.partition, read.from));
      } else {
        unserved.push_back(std::move(read));
      }
    }
    this->waiting_reads = std::move(unserved);
  }

  EventLoop& loop;
  std::list<std::unique_ptr<Timer>> timers;
  // Invariant: the record at index i has offset i.
  std::map<TopicPartition, std::vector<KeyedLogRecord>> partitions;
  std::map<TopicPartition, std::uint64_t> expired_before;
  std::vector<WaitingRead> waiting_reads;
  std::vector<LateAppend> pending_late_appends;
};

}  // namespace carobbank
