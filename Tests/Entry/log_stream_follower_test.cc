// Tests of LogStreamFollower. They guard against lost, repeated or reordered
// records over outages and expired records, and against waiters that are called
// too early or never.

#include "Services/Entry/log_stream_follower.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(LogStreamFollower) {
  LoopRunner runner;
  ManualClock clock;
  FakeLog log{clock};
  std::vector<std::uint64_t> offsets;
  std::uint64_t gap_end = 0;

  LogStreamFollower::Handlers Handlers() {
    return {[this](const LogRecord& record) {
              this->offsets.push_back(record.offset);
            },
            [this](std::uint64_t, std::uint64_t first_retained) {
              this->gap_end = first_retained;
            },
            nullptr};
  }

  void Append(int count) {
    for (int number = 0; number < count; ++number) {
      this->log.Append("stream", "x", [](const Outcome<std::uint64_t>&) {});
    }
  }
};

TEST(LogStreamFollower, DeliversRecordsFromBeforeAndAfterTheStart) {
  this->Append(2);
  LogStreamFollower follower(this->runner.loop, this->log, "stream",
                             this->Handlers());
  follower.Start(0);
  this->Append(2);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 4; }));
  LONGS_EQUAL(3, this->offsets.back());
  CHECK_TRUE(follower.Reachable());
}

TEST(LogStreamFollower, ResumesAfterAnOutageWithoutRepeating) {
  LogStreamFollower follower(this->runner.loop, this->log, "stream",
                             this->Handlers());
  this->log.faults.read_outage = true;
  follower.Start(0);
  CHECK_FALSE(follower.Reachable());
  this->log.faults.read_outage = false;
  this->Append(3);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 3; }));
  LONGS_EQUAL(2, this->offsets.back());
}

TEST(LogStreamFollower, ReportsExpiredRecordsAndContinuesAfterThem) {
  this->log.retained_records = 2;
  this->Append(5);
  LogStreamFollower follower(this->runner.loop, this->log, "stream",
                             this->Handlers());
  follower.Start(0);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 2; }));
  LONGS_EQUAL(3, this->gap_end);
  LONGS_EQUAL(3, this->offsets.front());
}

TEST(LogStreamFollower, AWaiterIsCalledAfterItsRecord) {
  LogStreamFollower follower(this->runner.loop, this->log, "stream",
                             this->Handlers());
  follower.Start(0);
  std::optional<bool> reached;
  follower.WhenReached(1, Milliseconds(60'000),
                       [&reached](bool value) { reached = value; });
  this->Append(1);
  CHECK_FALSE(reached.has_value());
  this->Append(1);
  CHECK_TRUE(this->runner.RunUntil([&] { return reached.has_value(); }));
  CHECK_TRUE(*reached);
  LONGS_EQUAL(2, this->offsets.size());
}

TEST(LogStreamFollower, AWaiterTimesOutWithoutItsRecord) {
  LogStreamFollower follower(this->runner.loop, this->log, "stream",
                             this->Handlers());
  follower.Start(0);
  std::optional<bool> reached;
  follower.WhenReached(9, Milliseconds(1),
                       [&reached](bool value) { reached = value; });
  CHECK_TRUE(this->runner.RunUntil([&] { return reached.has_value(); }));
  CHECK_FALSE(*reached);
}

}  // namespace carobbank
