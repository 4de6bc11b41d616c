// Guards against two sidecars of one server with order authority at the same
// time, and against a sidecar that never receives it, under log outages, lost
// responses, other lease holders, expired records and a long stream.

#include "Sidecar/lease_keeper.h"
#include "LibLedger/ledger.h"
#include "Support/fake_log.h"
#include "Support/manual_clock.h"
#include "fakes.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::uint64_t kOwnIncarnation = 100;
constexpr Milliseconds kLease{60'000};

struct LeaseFixture {
  explicit LeaseFixture(bool checks_fencing = false)
      : keeper(this->timers,
               this->clock,
               this->log,
               {"server-1",
                kOwnIncarnation,
                {kLease, Milliseconds(1'000)},
                Milliseconds(40'000),
                checks_fencing},
               [this](const std::optional<OrderAuthority>& derived) {
                 this->authority = derived;
                 ++this->derivations;
               }) {}

  void OtherRecord(std::string instance, std::uint64_t incarnation) {
    const std::string entry =
        EncodeServerEntry(SidecarStartEntry{std::move(instance), incarnation});
    this->log.Append(kServerStream, EncodeRecord({&entry, 1}),
                     [](const Outcome<std::uint64_t>&) {});
  }

  // Time until orders may be issued.
  std::int64_t WaitMs() const {
    return std::chrono::duration_cast<Milliseconds>(
               this->authority->valid_from - this->clock.Now())
        .count();
  }

  ManualClock clock;
  FakeLog log{this->clock};
  FakeTimers timers;
  std::optional<OrderAuthority> authority;
  int derivations = 0;
  LeaseKeeper keeper;
};

}  // namespace

TEST_GROUP(LeaseKeeper){};

TEST(LeaseKeeper, WaitsForTheRestOfOtherLeases) {
  struct Case {
    const char* instance;
    std::uint64_t incarnation;
    std::int64_t age_ms;
    // Number of later records of other servers.
    int others;
    bool checks_fencing;
    std::int64_t wait_ms;
  };
  const Case cases[] = {
      {"server-2", 7, 10'000, 0, false, 0},
      {"server-1", 7, 10'000, 0, false, 50'000},
      {"server-1", 7, 60'000, 0, false, 0},
      {"server-1", 7, 10'000, 0, true, 0},
      {"server-1", 7, 10'000, 3'000, false, 50'000},
  };
  for (const Case& row : cases) {
    LeaseFixture fixture(row.checks_fencing);
    fixture.OtherRecord(row.instance, row.incarnation);
    fixture.clock.Advance(Milliseconds(row.age_ms));
    for (int other = 0; other < row.others; ++other) {
      fixture.OtherRecord("server-3", 7);
    }
    fixture.keeper.Start();
    CHECK_TRUE(fixture.authority.has_value());
    LONGS_EQUAL(row.wait_ms, fixture.WaitMs());
    LONGS_EQUAL(row.others + 1, fixture.authority->fencing_token);
  }
}

TEST(LeaseKeeper, ExpiredRecordsDoNotPreventTheLease) {
  LeaseFixture fixture;
  for (int other = 0; other < 200; ++other) {
    fixture.OtherRecord("server-3", 7);
  }
  fixture.OtherRecord("server-1", 7);
  fixture.log.ExpireBefore(kServerStream, 150);
  fixture.keeper.Start();
  CHECK_TRUE(fixture.authority.has_value());
  LONGS_EQUAL(kLease.count(), fixture.WaitMs());
}

TEST(LeaseKeeper, YieldsToANewerSidecarWhileItRenews) {
  LeaseFixture fixture;
  fixture.keeper.Start();
  CHECK_TRUE(fixture.authority.has_value());
  for (int renewal = 0; renewal < 3; ++renewal) {
    fixture.OtherRecord("server-1", kOwnIncarnation + 1);
    fixture.clock.Advance(kLease - Milliseconds(1));
    fixture.timers.RunAll();
    CHECK_FALSE(fixture.authority.has_value());
  }
  fixture.clock.Advance(Milliseconds(1));
  fixture.timers.RunAll();
  CHECK_TRUE(fixture.authority.has_value());
  LONGS_EQUAL(0, fixture.WaitMs());
}

TEST(LeaseKeeper, RecoversFromLogFaults) {
  struct Case {
    void (*begin)(FakeLogFaults&);
    void (*end)(FakeLogFaults&);
  };
  const Case cases[] = {
      {[](FakeLogFaults& faults) { faults.append_outage = true; },
       [](FakeLogFaults& faults) { faults.append_outage = false; }},
      {[](FakeLogFaults& faults) { faults.read_outage = true; },
       [](FakeLogFaults& faults) { faults.read_outage = false; }},
      {[](FakeLogFaults& faults) { faults.lost_answers = 1; },
       [](FakeLogFaults&) {}},
      {[](FakeLogFaults& faults) { faults.lost_requests = 1; },
       [](FakeLogFaults&) {}},
      {[](FakeLogFaults& faults) { faults.append_budget = 0; },
       [](FakeLogFaults& faults) { faults.append_budget.reset(); }},
  };
  for (const Case& row : cases) {
    LeaseFixture fixture;
    row.begin(fixture.log.faults);
    fixture.keeper.Start();
    CHECK_FALSE(fixture.authority.has_value());
    CHECK_FALSE(fixture.keeper.LogReachable());
    row.end(fixture.log.faults);
    fixture.timers.RunAll();
    CHECK_TRUE(fixture.authority.has_value());
    CHECK_TRUE(fixture.keeper.LogReachable());
    LONGS_EQUAL(0, fixture.WaitMs());
  }
}

}  // namespace carobbank
