// Guards against a follower that delivers nothing because some records of its
// partition can't be read.

#include "Services/Gateway/log_follower.h"
#include "Tests/Support/manual_clock.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

namespace carobbank {

TEST_GROUP(LogFollower) {
  GatewayFixture fixture;
  ManualClock clock;
  TopicPartition partition{"keyed.servers", 0};
  std::map<std::string, std::string> delivered;
  std::unique_ptr<LogFollower> follower;

  void Start(bool accept_incomplete_snapshot) {
    LogFollowerHandlers handlers;
    handlers.on_record = [this](const KeyedLogRecord& record) {
      this->delivered[record.record.key] = record.record.value;
    };
    this->follower = std::make_unique<LogFollower>(
        this->fixture.runner.loop, this->clock, this->fixture.log,
        this->partition,
        LogFollowerOptions{.accept_incomplete_snapshot =
                               accept_incomplete_snapshot},
        std::move(handlers));
    this->follower->Start();
  }

  bool Delivers(const std::string& key, const std::string& value) {
    return this->fixture.runner.RunUntil([this, &key, &value] {
      const auto found = this->delivered.find(key);
      return found != this->delivered.end() && found->second == value;
    });
  }
};

TEST(LogFollower, DeliversWhatCanBeReadThoughRecordsOfASnapshotAreMissing) {
  this->fixture.log.Put(this->partition, {{"old", "1"}, {"a", "1"}});
  this->fixture.log.Put(this->partition, {{"unreadable", "1"}, {"b", "1"}});
  this->fixture.log.Expire(this->partition, 2);
  this->fixture.log.faults.missing_in_snapshots = {"b", "unreadable"};
  this->Start(true);
  // From the snapshot, and from the retained records.
  CHECK_TRUE(this->Delivers("old", "1"));
  CHECK_TRUE(this->Delivers("b", "1"));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->follower->Synced(); }));
  this->fixture.log.Put(this->partition, {{"c", "1"}});
  CHECK_TRUE(this->Delivers("c", "1"));
}

TEST(LogFollower, ReadsAnIncompleteSnapshotAgain) {
  this->fixture.log.Put(this->partition, {{"a", "1"}, {"b", "1"}});
  this->fixture.log.Expire(this->partition, 1);
  this->fixture.log.faults.missing_in_snapshots = {"a"};
  this->Start(true);
  CHECK_TRUE(this->Delivers("b", "1"));
  LONGS_EQUAL(0, this->delivered.count("a"));
  this->fixture.log.faults.missing_in_snapshots.clear();
  this->clock.Advance(Milliseconds(10'000));
  this->fixture.log.Put(this->partition, {{"b", "2"}});
  CHECK_TRUE(this->Delivers("a", "1"));
  CHECK_TRUE(this->Delivers("b", "2"));
}

TEST(LogFollower, DatesARecordOfASnapshotAsIfItWereNew) {
  std::vector<MonotonicTime> written_after;
  LogFollowerHandlers handlers;
  handlers.on_record = [this, &written_after](const KeyedLogRecord& record) {
    if (record.record.key == "a") {
      written_after.push_back(this->follower->NewRecordsAfter());
    }
  };
  this->fixture.log.Put(this->partition, {{"a", "1"}, {"b", "1"}});
  this->fixture.log.Expire(this->partition, 1);
  this->fixture.log.faults.missing_in_snapshots = {"b"};
  this->follower = std::make_unique<LogFollower>(
      this->fixture.runner.loop, this->clock, this->fixture.log,
      this->partition, LogFollowerOptions{.accept_incomplete_snapshot = true},
      std::move(handlers));
  this->follower->Start();
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->follower->Synced(); }));
  this->clock.Advance(Milliseconds(10'000));
  this->fixture.log.Put(this->partition, {{"b", "2"}});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&written_after] { return written_after.size() > 1; }));
  CHECK_TRUE(written_after[1] == MonotonicTime::min());
}

TEST(LogFollower, RetriesAnIncompleteSnapshotThatItMayNotDeliver) {
  this->fixture.log.Put(this->partition, {{"a", "1"}, {"b", "1"}});
  this->fixture.log.faults.missing_in_snapshots = {"b"};
  this->Start(false);
  this->fixture.runner.RunFor(Milliseconds(20));
  LONGS_EQUAL(0, this->delivered.size());
  CHECK_FALSE(this->follower->Synced());
  this->fixture.log.faults.missing_in_snapshots.clear();
  CHECK_TRUE(this->Delivers("b", "1"));
}

// Guards against a configuration that counts as the newest one though the
// gateway has read only a part of what the log holds.
TEST(LogFollower, IsCaughtUpBeforeItHasReadToTheEnd) {
  this->fixture.log.Put(this->partition, {{"a", "1"}, {"b", "1"}});
  this->fixture.log.faults.missing_in_snapshots = {"b"};
  this->Start(true);
  CHECK_TRUE(this->Delivers("a", "1"));
  this->fixture.runner.RunFor(Milliseconds(20));
  CHECK_TRUE(this->follower->CaughtUpAt() == MonotonicTime::min());
  this->fixture.log.faults.missing_in_snapshots.clear();
  this->clock.Advance(Milliseconds(3'000));
  this->fixture.log.Put(this->partition, {{"c", "1"}});
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->follower->CaughtUpAt() == this->clock.BootNow();
  }));
  const MonotonicTime caught_up_at = this->clock.BootNow();
  this->fixture.log.faults.outage = true;
  this->clock.Advance(Milliseconds(1'000));
  this->fixture.runner.RunFor(Milliseconds(100));
  CHECK_TRUE(this->follower->CaughtUpAt() == caught_up_at);
}

}  // namespace carobbank
