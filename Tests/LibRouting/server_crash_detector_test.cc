// Guards against sound requests that are blamed for a crash that did not
// happen, and against crashes that nobody counts.

#include "LibRouting/routing.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(ServerCrashDetector) {
  ServerCrashDetector detector;
  MonotonicTime now = MonotonicTime(std::chrono::hours(1));
  WallMilliseconds wall_now = 1'000'000;
  // When the attempts that break off were sent.
  MonotonicTime began = this->now - Milliseconds(50);

  BrokenAttemptVerdict Break(const char* digest, WallMilliseconds start = 7) {
    return this->detector.OnBroken({"s", start, digest, this->began}, this->now,
                                   this->wall_now);
  }
  std::size_t Probe(bool reachable, WallMilliseconds start = 7) {
    return this->detector
        .OnProbed("s", start, reachable, this->now, this->wall_now)
        .crashes.size();
  }
  RegistrationVerdict Register(WallMilliseconds start) {
    return this->detector.OnRegistered("s", start, this->now, this->wall_now);
  }
  void Pass(Milliseconds time) {
    this->now += time;
    this->wall_now += time.count();
  }
};

TEST(ServerCrashDetector, AnUnreachableServerCrashedUnderAllItsBrokenAttempts) {
  CHECK_TRUE(Break("a").must_probe);
  CHECK_FALSE(Break("b").must_probe);
  CHECK_TRUE(detector.AwaitsProbe("b"));
  CHECK_FALSE(detector.AwaitsProbe("c"));
  const auto crashes = detector.OnProbed("s", 7, false, now, wall_now).crashes;
  CHECK_FALSE(detector.AwaitsProbe("b"));
  LONGS_EQUAL(2, crashes.size());
  STRCMP_EQUAL("s", crashes[0].instance.c_str());
  LONGS_EQUAL(7, crashes[0].started_at);
  STRCMP_EQUAL("b", crashes[1].digests.front().c_str());
  // An attempt that times out later broke off in the same crash.
  Pass(Milliseconds(3'000));
  const BrokenAttemptVerdict late = Break("c");
  CHECK_FALSE(late.must_probe);
  LONGS_EQUAL(1, late.crashes.size());
}

TEST(ServerCrashDetector, AReachableServerDidNotCrash) {
  Break("a");
  LONGS_EQUAL(0, Probe(true));
  Pass(Milliseconds(10));
  CHECK_TRUE(Break("b").must_probe);
  // The later crash is not attributed to the earlier attempt.
  LONGS_EQUAL(1, Probe(false));
}

TEST(ServerCrashDetector, ACrashIsMissedThatFollowsAnAnsweredProbe) {
  CHECK_TRUE(Break("reset").must_probe);
  // The probe is answered; the server crashes before that is known.
  CHECK_FALSE(Break("fatal").must_probe);
  const ProbeVerdict first = detector.OnProbed("s", 7, true, now, wall_now);
  CHECK_TRUE(first.must_probe);
  CHECK_TRUE(detector.AwaitsProbe("fatal"));
  CHECK_FALSE(detector.AwaitsProbe("reset"));
  const ProbeVerdict second = detector.OnProbed("s", 7, false, now, wall_now);
  LONGS_EQUAL(1, second.crashes.size());
  STRCMP_EQUAL("fatal", second.crashes[0].digests.front().c_str());
}

TEST(ServerCrashDetector, ACrashIsMissedOfAServerWhoseNewEntryIsNotThere) {
  Break("a");
  LONGS_EQUAL(1, Probe(false));
  Pass(Milliseconds(500));
  // The server is back, and an attempt is sent to it.
  this->began = this->now;
  Pass(Milliseconds(20));
  const BrokenAttemptVerdict again = Break("a");
  CHECK_TRUE(again.must_probe);
  LONGS_EQUAL(0, again.crashes.size());
  LONGS_EQUAL(wall_now - 20, again.server_start);
  LONGS_EQUAL(1, Probe(false, again.server_start));
}

TEST(ServerCrashDetector, AServerThatWasReachableAsItsNextStartCrashed) {
  Break("a");
  LONGS_EQUAL(0, Probe(true));
  Pass(Milliseconds(1'500));
  LONGS_EQUAL(1, Register(8).crashes.size());
  LONGS_EQUAL(0, Register(8).crashes.size());
  // Much later the restart has another cause.
  Break("b", 8);
  LONGS_EQUAL(0, Probe(true, 8));
  Pass(ServerCrashDetector::kEntryDelay + Milliseconds(1));
  LONGS_EQUAL(0, Register(9).crashes.size());
}

TEST(ServerCrashDetector, ACrashIsMissedWhoseServersNextEntryComesLate) {
  const WallMilliseconds next_start = wall_now + 60;
  Break("a");
  LONGS_EQUAL(0, Probe(true));
  Pass(Milliseconds(1'000));
  Break("b");
  LONGS_EQUAL(0, Probe(true));
  Pass(Milliseconds(10'000));
  const RegistrationVerdict verdict = Register(next_start);
  LONGS_EQUAL(1, verdict.crashes.size());
  STRCMP_EQUAL("a", verdict.crashes[0].digests.front().c_str());
}

TEST(ServerCrashDetector, ALaterRestartIsTakenForTheCrash) {
  Break("a");
  LONGS_EQUAL(0, Probe(true));
  Pass(Milliseconds(10'000));
  LONGS_EQUAL(0, Register(wall_now - 1'000).crashes.size());
}

TEST(ServerCrashDetector, EntriesOfTheSameStartLongAfterwardsRetractTheCrash) {
  Break("a");
  LONGS_EQUAL(1, Probe(false));
  Pass(Milliseconds(1'000));
  LONGS_EQUAL(0, Register(7).retracted.size());
  Pass(ServerCrashDetector::kLatestOldEntry);
  // A single entry may be stale.
  LONGS_EQUAL(0, Register(7).retracted.size());
  LONGS_EQUAL(1, Register(7).retracted.size());
  LONGS_EQUAL(0, Register(7).retracted.size());
}

TEST(ServerCrashDetector, EntriesOfTheNextStartDontRetractTheCrash) {
  Break("a");
  LONGS_EQUAL(1, Probe(false));
  Pass(ServerCrashDetector::kLatestOldEntry);
  LONGS_EQUAL(0, Register(8).retracted.size());
  LONGS_EQUAL(0, Register(8).retracted.size());
}

TEST(ServerCrashDetector, IncidentsExpire) {
  Break("a");
  LONGS_EQUAL(1, Probe(false));
  Pass(ServerCrashDetector::kRetention + Milliseconds(1));
  detector.RemoveExpired(now);
  CHECK_TRUE(Break("b").must_probe);
}

}  // namespace carobbank
