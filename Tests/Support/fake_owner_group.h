// An in-memory PartitionedLog that only assigns partitions to the members of
// one group, as the platform's log does: evenly, and so that a member keeps
// what it has where possible. Only members with a partition are listed.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

class FakeOwnerGroup final : public PartitionedLog {
 public:
  FakeOwnerGroup(EventLoop& loop,
                 std::string topic,
                 std::size_t partitions,
                 Milliseconds ttl)
      : loop(loop), topic(std::move(topic)), holders(partitions), ttl(ttl) {}

  // By partition: the member to which the log has assigned it; empty without
  // one. A member without a partition is not listed.
  const std::vector<std::string>& Holders() {
    this->RemoveExpired();
    return this->holders;
  }
  void Join(std::string_view /*group*/,
            std::string_view member,
            std::string_view /*topic*/,
            std::int64_t seen_generation,
            JoinCallback callback) override {
    this->RemoveExpired();
    const std::string name(member);
    const bool is_new = !this->members.contains(name);
    this->members[name] = Now();
    if (is_new) {
      this->Deal();
    }
    if (seen_generation >= this->generation) {
      this->released.insert(name);
      this->HandOver();
    }
    GroupMembership membership;
    membership.generation = this->generation;
    for (std::size_t number = 0; number < this->holders.size(); ++number) {
      if (this->holders[number] == name && this->wanted[number] == name) {
        membership.partitions.push_back(this->Partition(number));
      }
    }
    this->loop.Post(
        [callback = std::move(callback), membership] { callback(membership); });
  }

  void Leave(std::string_view /*group*/, std::string_view member) override {
    if (this->members.erase(std::string(member)) > 0) {
      this->Deal();
    }
  }

  void ReadOwners(std::string_view /*group*/,
                  OwnersCallback callback) override {
    this->RemoveExpired();
    std::vector<PartitionOwner> rows;
    for (std::size_t number = 0; number < this->holders.size(); ++number) {
      if (!this->holders[number].empty()) {
        rows.push_back({this->Partition(number), this->holders[number]});
      }
    }
    this->loop.Post([callback = std::move(callback), rows] { callback(rows); });
  }

  void Append(const TopicPartition& /*partition*/,
              const std::vector<KeyedRecord>& /*records*/,
              std::optional<std::uint64_t> /*expected_end*/,
              AppendCallback callback) override {
    this->loop.Post(
        [callback = std::move(callback)] { callback(AppendOutcome()); });
  }
  void Read(const TopicPartition& /*partition*/,
            std::uint64_t /*from*/,
            Milliseconds /*wait*/,
            Milliseconds /*response_timeout*/,
            ReadCallback callback) override {
    this->loop.Post([callback = std::move(callback)] {
      callback(Error{ErrorKind::kUnavailable, "no records", "none"});
    });
  }
  void ReadSnapshot(const TopicPartition& /*partition*/,
                    SnapshotCallback callback) override {
    this->loop.Post([callback = std::move(callback)] {
      callback(Error{ErrorKind::kUnavailable, "no records", "none"});
    });
  }

 private:
  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }
  TopicPartition Partition(std::size_t number) const {
    return {this->topic, static_cast<std::int64_t>(number)};
  }

  void RemoveExpired() {
    const MonotonicTime oldest = Now() - this->ttl;
    if (std::erase_if(this->members, [oldest](const auto& member) {
          return member.second < oldest;
        }) > 0) {
      this->Deal();
    }
  }

  // Chooses the members that should have the partitions. A partition changes
  // only when the member before is gone or has joined since.
  void Deal() {
    ++this->generation;
    this->released.clear();
    this->wanted = this->holders;
    std::map<std::string, std::size_t> counts;
    for (const auto& [member, joined] : this->members) {
      counts[member] = 0;
    }
    const std::size_t most =
        counts.empty()
            ? 0
            : (this->holders.size() + counts.size() - 1) / counts.size();
    for (std::string& member : this->wanted) {
      const auto found = counts.find(member);
      if (found == counts.end() || found->second == most) {
        member.clear();
      } else {
        ++found->second;
      }
    }
    for (std::string& member : this->wanted) {
      const auto fewest =
          std::min_element(counts.begin(), counts.end(),
                           [](const auto& left, const auto& right) {
                             return left.second < right.second;
                           });
      if (member.empty() && fewest != counts.end()) {
        member = fewest->first;
        ++fewest->second;
      }
    }
    this->HandOver();
  }

  void HandOver() {
    for (std::size_t number = 0; number < this->holders.size(); ++number) {
      const std::string& before = this->holders[number];
      const bool may_change =
          !this->members.contains(before) || this->released.contains(before);
      if (before != this->wanted[number] && may_change) {
        this->holders[number] = this->wanted[number];
      }
    }
  }

  EventLoop& loop;
  std::string topic;
  std::map<std::string, MonotonicTime> members;
  // Members that have joined with the present generation.
  std::set<std::string> released;
  std::vector<std::string> holders;
  std::vector<std::string> wanted;
  Milliseconds ttl;
  std::int64_t generation = 0;
};

}  // namespace carobbank
