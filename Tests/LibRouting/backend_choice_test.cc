// Choice of a backend server by this process's own observations. Guards against
// requests to full, failing or slow servers, and against stream migrations that
// delay the output.

#include "LibRouting/routing.h"
#include "Support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(BackendChoice) {
  ManualClock clock;
  Random random{7};
  BackendLoads loads;
  std::vector<FleetServer> servers;
  std::vector<const FleetServer*> pointers;
  BackendQuery query;

  void setup() override {
    for (const char* id : {"a", "b", "c"}) {
      FleetServer server;
      server.id = id;
      server.slots = 2;
      server.data_center = id[0] == 'a' ? "here" : "there";
      this->servers.push_back(server);
    }
    for (const FleetServer& server : this->servers) {
      this->pointers.push_back(&server);
    }
    this->query.servers = this->pointers;
    this->query.data_center = "here";
  }

  std::string Choose() {
    const FleetServer* const server = ChooseBackend(
        this->query, this->loads, this->clock.Now(), this->random);
    return server == nullptr ? "" : server->id;
  }

  void Fail(const char* id) {
    this->loads.Begin(id);
    this->loads.End(id, SendOutcome::kFailed, Milliseconds(1),
                    this->clock.Now());
  }
};

TEST(BackendChoice, NearServerIsChosenUntilItIsBusier) {
  STRCMP_EQUAL("a", this->Choose().c_str());
  this->loads.Begin("a");
  CHECK_FALSE(this->Choose() == "a");
}

TEST(BackendChoice, ServerWithoutFreeCapacityIsNotChosen) {
  for (const char* id : {"a", "b", "c", "a", "b", "c"}) {
    this->loads.Begin(id);
  }
  STRCMP_EQUAL("", this->Choose().c_str());
  this->query.max_in_flight_per_slot = 2.0;
  CHECK_FALSE(this->Choose().empty());
}

TEST(BackendChoice, PreferredServerIsChosenWhileItHasFreeCapacity) {
  this->query.preferred_id = "c";
  this->loads.Begin("c");
  STRCMP_EQUAL("c", this->Choose().c_str());
  this->loads.Begin("c");
  CHECK_FALSE(this->Choose() == "c");
}

TEST(BackendChoice, BackoffGrowsWithEachFailureUpToItsMaximum) {
  this->Fail("a");
  CHECK_TRUE(this->loads.InBackoff("a", this->clock.Now()));
  this->clock.Advance(BackendLoads::kInitialFailureBackoff);
  CHECK_FALSE(this->loads.InBackoff("a", this->clock.Now()));
  this->Fail("a");
  this->clock.Advance(BackendLoads::kInitialFailureBackoff);
  CHECK_TRUE(this->loads.InBackoff("a", this->clock.Now()));
  for (int i = 0; i < 20; ++i) {
    this->Fail("a");
  }
  this->clock.Advance(BackendLoads::kMaximumFailureBackoff);
  CHECK_FALSE(this->loads.InBackoff("a", this->clock.Now()));
}

TEST(BackendChoice, OneFailureOfAServerCountsForEachOfItsRequests) {
  constexpr Milliseconds kRunning{30};
  for (int request = 0; request < 8; ++request) {
    this->loads.Begin("a");
  }
  this->clock.Advance(kRunning);
  for (int request = 0; request < 8; ++request) {
    this->loads.End("a", SendOutcome::kFailed, kRunning, this->clock.Now());
    this->clock.Advance(Milliseconds(1));
  }
  this->clock.Advance(BackendLoads::kInitialFailureBackoff);
  CHECK_FALSE(this->loads.InBackoff("a", this->clock.Now()));
}

TEST(BackendChoice, AServerThatRestartedStaysInBackoff) {
  for (int failure = 0; failure < 5; ++failure) {
    this->Fail("a");
  }
  this->loads.Begin("a");
  this->loads.OnRestarted("a");
  CHECK_FALSE(this->loads.InBackoff("a", this->clock.Now()));
  LONGS_EQUAL(1, this->loads.InFlight("a"));
}

TEST(BackendChoice, ServerInBackoffIsChosenOnlyWhenAllowed) {
  this->Fail("a");
  this->Fail("b");
  this->Fail("c");
  STRCMP_EQUAL("", this->Choose().c_str());
  this->query.allow_backoff = true;
  CHECK_FALSE(this->Choose().empty());
}

TEST(BackendChoice, ShortestEventGapCountsAndPausesDoNot) {
  for (const char* id : {"a", "b", "c"}) {
    const Milliseconds gap(id[0] == 'a' ? 120 : 40);
    for (int i = 0; i < 10; ++i) {
      this->loads.RecordEventGap(id, gap, this->clock.Now());
    }
    // Every server paused its stream once.
    this->loads.RecordEventGap(id, Milliseconds(900), this->clock.Now());
  }
  const double median = MedianProcessingTimeMs(this->pointers, this->loads);
  DOUBLES_EQUAL(40.0, median, 1e-9);
  DOUBLES_EQUAL(3.0, RelativeSlowdown(this->servers[0], this->loads, median),
                1e-9);
  DOUBLES_EQUAL(1.0, RelativeSlowdown(this->servers[1], this->loads, median),
                1e-9);
  // A third of two slots is rounded up to one request.
  this->loads.Begin("a");
  this->query.preferred_id = "a";
  CHECK_FALSE(this->Choose() == "a");
}

TEST(BackendChoice, FasterServerIsDetectedWithinTwoWindows) {
  for (const char* id : {"a", "b", "c"}) {
    this->loads.RecordEventGap(id, Milliseconds(id[0] == 'a' ? 120 : 40),
                               this->clock.Now());
  }
  this->clock.Advance(BackendLoads::kEventGapWindow + Milliseconds(1));
  this->loads.RecordEventGap("a", Milliseconds(40), this->clock.Now());
  DOUBLES_EQUAL(40.0, this->loads.ProcessingTimeMs("a"), 1e-9);
}

TEST(BackendChoice, SlowerServerIsDetectedWithinTwoWindows) {
  this->loads.RecordEventGap("a", Milliseconds(40), this->clock.Now());
  for (int window = 0; window < 2; ++window) {
    this->clock.Advance(BackendLoads::kEventGapWindow + Milliseconds(1));
    this->loads.RecordEventGap("a", Milliseconds(180), this->clock.Now());
  }
  DOUBLES_EQUAL(180.0, this->loads.ProcessingTimeMs("a"), 1e-9);
}

TEST(BackendChoice, StreamMigratesWhenThatCompletesItEarlier) {
  struct Case {
    std::size_t events;
    double own_ms;
    double other_ms;
    bool migrates;
  };
  const Case cases[] = {
      {4, 170, 50, false}, {5, 170, 50, true},   {35, 64, 50, false},
      {36, 64, 50, true},  {100, 55, 50, false}, {100, 50, 64, false},
      {100, 0, 50, false}, {100, 64, 0, false},
  };
  for (const Case& row : cases) {
    CHECK_EQUAL(row.migrates,
                ShouldMigrateStream(row.events, row.own_ms, row.other_ms));
  }
}

TEST(BackendChoice, ServersWithoutMeasurementAreIgnoredInTheShortestTime) {
  DOUBLES_EQUAL(0.0, ShortestProcessingTimeMs(this->pointers, this->loads),
                1e-9);
  this->loads.RecordEventGap("a", Milliseconds(60), this->clock.Now());
  this->loads.RecordEventGap("b", Milliseconds(50), this->clock.Now());
  DOUBLES_EQUAL(50.0, ShortestProcessingTimeMs(this->pointers, this->loads),
                1e-9);
}

// Outputs of a step on servers of which some are a quarter slower and some are
// very slow for a while. Without migration, the longest output misses the
// step's deadline.
TEST(BackendChoice, LongestOutputOfAStepMeetsItsDeadline) {
  constexpr double kFast = 50;
  constexpr double kSlow = 64;
  constexpr double kVerySlow = 175;
  // Backoff before the next attempt, a connection, and the prefill.
  constexpr double kMigrationMs = 100;
  constexpr double kDeadlineMs = 7'500;
  constexpr std::size_t kLongest = 132;
  const auto run = [](double gap_ms, std::size_t events, bool may_migrate) {
    double elapsed = 0;
    for (std::size_t generated = 0; generated < events; ++generated) {
      if (may_migrate && ShouldMigrateStream(generated, gap_ms, kFast)) {
        elapsed += kMigrationMs;
        gap_ms = kFast;
      }
      elapsed += gap_ms;
    }
    return elapsed;
  };
  for (const double gap : {kFast, kSlow, kVerySlow}) {
    for (const std::size_t events :
         {std::size_t{6}, std::size_t{20}, kLongest}) {
      const double migrating = run(gap, events, true);
      CHECK_TRUE(migrating < kDeadlineMs);
      CHECK_TRUE(migrating <= run(gap, events, false) + kMigrationMs);
    }
  }
  CHECK_TRUE(run(kSlow, kLongest, false) > kDeadlineMs);
}

TEST(BackendChoice, SlowServerIsNotChosen) {
  for (int i = 0; i < 30; ++i) {
    for (const char* id : {"a", "b", "c"}) {
      this->loads.Begin(id);
      this->loads.End(id, SendOutcome::kAnswered,
                      Milliseconds(id[0] == 'a' ? 100 : 25), this->clock.Now());
    }
  }
  CHECK_FALSE(this->Choose() == "a");
}

}  // namespace carobbank
