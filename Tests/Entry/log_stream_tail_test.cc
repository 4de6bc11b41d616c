// Tests of LogStreamTail: every record once and in order, over outages and
// retention, and waiters that learn exactly when they may go on.

#include "Services/Entry/log_stream_tail.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(LogStreamTail) {
  LoopRunner runner;
  ManualClock clock;
  FakeLog log{clock};
  std::vector<std::uint64_t> offsets;
  std::uint64_t gap_end = 0;

  LogStreamTail::Handlers Handlers() {
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

TEST(LogStreamTail, HandsOnRecordsFromBeforeAndAfterTheStart) {
  this->Append(2);
  LogStreamTail tail(this->runner.loop, this->log, "stream", this->Handlers());
  tail.Start(0);
  this->Append(2);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 4; }));
  LONGS_EQUAL(3, this->offsets.back());
  CHECK_TRUE(tail.Reachable());
}

TEST(LogStreamTail, GoesOnAfterAnOutageWithoutRepeating) {
  LogStreamTail tail(this->runner.loop, this->log, "stream", this->Handlers());
  this->log.faults.read_outage = true;
  tail.Start(0);
  CHECK_FALSE(tail.Reachable());
  this->log.faults.read_outage = false;
  this->Append(3);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 3; }));
  LONGS_EQUAL(2, this->offsets.back());
}

TEST(LogStreamTail, TellsOfExpiredRecordsAndGoesOnBehindThem) {
  this->log.retained_records = 2;
  this->Append(5);
  LogStreamTail tail(this->runner.loop, this->log, "stream", this->Handlers());
  tail.Start(0);
  CHECK_TRUE(this->runner.RunUntil([&] { return this->offsets.size() == 2; }));
  LONGS_EQUAL(3, this->gap_end);
  LONGS_EQUAL(3, this->offsets.front());
}

TEST(LogStreamTail, AWaiterGoesOnAfterItsRecord) {
  LogStreamTail tail(this->runner.loop, this->log, "stream", this->Handlers());
  tail.Start(0);
  std::optional<bool> reached;
  tail.WhenReached(1, Milliseconds(60'000),
                   [&reached](bool value) { reached = value; });
  this->Append(1);
  CHECK_FALSE(reached.has_value());
  this->Append(1);
  CHECK_TRUE(this->runner.RunUntil([&] { return reached.has_value(); }));
  CHECK_TRUE(*reached);
  LONGS_EQUAL(2, this->offsets.size());
}

TEST(LogStreamTail, AWaiterInVainIsTold) {
  LogStreamTail tail(this->runner.loop, this->log, "stream", this->Handlers());
  tail.Start(0);
  std::optional<bool> reached;
  tail.WhenReached(9, Milliseconds(1),
                   [&reached](bool value) { reached = value; });
  CHECK_TRUE(this->runner.RunUntil([&] { return reached.has_value(); }));
  CHECK_FALSE(*reached);
}

}  // namespace carobbank
