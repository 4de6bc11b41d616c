// Paces of servers by their event gaps. Guards against slowdowns and recoveries
// that are noticed late, and against a server that is avoided for ever.

#include "LibRouting/routing.h"
#include "Support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(ServerPaces) {
  ManualClock clock;
  ServerPaces paces;

  void Events(int count, int gap_ms, std::int64_t in_flight = 1) {
    for (int event = 0; event < count; ++event) {
      this->clock.Advance(Milliseconds(gap_ms));
      this->paces.OnEventGap("a", gap_ms, in_flight, this->clock.Now());
    }
  }
  double EventMs(std::int64_t in_flight = 1) {
    return this->paces.Find("a")->EventMs(in_flight, this->clock.Now());
  }
  double WaitMs() {
    return this->paces.Find("a")->WaitMs(this->clock.Now());
  }
};

TEST(ServerPaces, UnknownServerHasNoPace) {
  POINTERS_EQUAL(nullptr, this->paces.Find("a"));
  this->paces.OnRefused("a", this->clock.Now());
  DOUBLES_EQUAL(0, this->EventMs(), 0);
  CHECK_FALSE(this->paces.Find("a")->IsKnown());
  this->Events(8, 45);
  CHECK_TRUE(this->paces.Find("a")->IsKnown());
  DOUBLES_EQUAL(45, this->EventMs(), 1);
}

TEST(ServerPaces, OwnLoadIsNotTakenForASlowServer) {
  // A batch of eight takes 14 % longer.
  this->Events(50, 51, 8);
  DOUBLES_EQUAL(45, this->EventMs(1), 1);
  DOUBLES_EQUAL(51, this->EventMs(8), 1);
}

TEST(ServerPaces, SlowdownAndRecoveryAreSeenWithinAFewEvents) {
  this->Events(200, 45);
  this->Events(6, 225);
  CHECK_TRUE(this->EventMs() > 150);
  this->Events(40, 225);
  this->Events(8, 45);
  CHECK_TRUE(this->EventMs() < 65);
}

TEST(ServerPaces, ServerThatWasSlowForAWhileIsTriedAgain) {
  this->Events(400, 45);
  this->Events(20, 225);
  CHECK_TRUE(this->EventMs() > 200);
  this->clock.Advance(Milliseconds(10'000));
  CHECK_TRUE(this->EventMs() < 75);
}

TEST(ServerPaces, ServerThatIsAlwaysSlowStaysKnownAsSlow) {
  this->Events(100, 225);
  this->clock.Advance(Milliseconds(60'000));
  DOUBLES_EQUAL(225, this->EventMs(), 5);
}

TEST(ServerPaces, OnePauseDoesNotMakeAServerSlow) {
  this->Events(100, 45);
  // A pause of a second is part of four means.
  this->Events(4, 284);
  this->Events(8, 45);
  CHECK_TRUE(this->EventMs() < 60);
}

TEST(ServerPaces, WaitOfAFullServerIsRememberedForAWhile) {
  this->Events(10, 45);
  DOUBLES_EQUAL(0, this->WaitMs(), 0);
  for (int request = 0; request < 4; ++request) {
    this->paces.OnFirstEvent("a", Milliseconds(845), 1, this->clock.Now());
  }
  CHECK_TRUE(this->WaitMs() > 600);
  this->clock.Advance(Milliseconds(5'000));
  CHECK_TRUE(this->WaitMs() < 50);
}

TEST(ServerPaces, SilenceEndsWithTheNextEvent) {
  this->Events(10, 45);
  this->paces.OnSilence("a", Milliseconds(900), this->clock.Now());
  DOUBLES_EQUAL(900, this->WaitMs(), 1);
  this->Events(1, 45);
  DOUBLES_EQUAL(0, this->WaitMs(), 0);
}

TEST(ServerPaces, StateOfARestartedOrUnknownServerIsRemoved) {
  BackendLoads loads;
  for (const char* id : {"a", "b"}) {
    loads.RecordEventGap(id, Milliseconds(45), this->clock.Now());
  }
  loads.OnRestarted("a");
  POINTERS_EQUAL(nullptr, loads.Paces().Find("a"));
  loads.RemoveUnknown([](const std::string&) { return false; });
  POINTERS_EQUAL(nullptr, loads.Paces().Find("b"));
}

}  // namespace carobbank
