// Tests of the link state machine. They guard against a peer that counts as
// unreachable because one connection became unresponsive or was closed,
// although a new connection to the peer works.

#include "LibMembership/membership.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Link) {
  LinkOptions options;
  Link link{LinkOptions()};
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);

  static std::string Text(const std::vector<LinkAction>& actions) {
    std::string text;
    for (const LinkAction& action : actions) {
      static const char* const names[] = {"open", "beat", "close", "reachable",
                                          "unreachable"};
      text += names[static_cast<int>(action.kind)];
      text += std::to_string(action.connection) + " ";
    }
    return text;
  }
  // Runs the link's next tick at its time and returns the actions.
  std::string NextTick() {
    this->now = this->link.NextTick();
    return Text(this->link.Tick(this->now));
  }
  std::string Respond(std::uint64_t connection) {
    return Text(this->link.OnResponse(connection, this->now));
  }
  std::string Fail(std::uint64_t connection) {
    return Text(this->link.OnFailed(connection, this->now));
  }
  void Connect() {
    this->link.Start(this->now);
    this->Respond(1);
  }
};

TEST(Link, HeartbeatsContinueWhileAnswered) {
  STRCMP_EQUAL("open1 ", Text(link.Start(now)).c_str());
  STRCMP_EQUAL("reachable1 ", Respond(1).c_str());
  for (int round = 0; round < 10; ++round) {
    STRCMP_EQUAL("beat1 ", NextTick().c_str());
    STRCMP_EQUAL("", Respond(1).c_str());
  }
  LONGS_EQUAL(10, link.Counters().heartbeats);
  CHECK_TRUE(link.State() == LinkState::kUp);
}

TEST(Link, UnresponsiveConnectionIsReplacedAndThePeerStaysReachable) {
  Connect();
  STRCMP_EQUAL("beat1 ", NextTick().c_str());
  STRCMP_EQUAL("beat1 ", NextTick().c_str());
  STRCMP_EQUAL("open2 ", NextTick().c_str());
  CHECK_TRUE(link.State() == LinkState::kProbing);
  STRCMP_EQUAL("close1 ", Respond(2).c_str());
  LONGS_EQUAL(2, link.Connection());
  CHECK_TRUE(link.State() == LinkState::kUp);
  // Events on the old connection are ignored.
  STRCMP_EQUAL("", Respond(1).c_str());
  STRCMP_EQUAL("", Fail(1).c_str());
  LONGS_EQUAL(2, link.Connection());
}

TEST(Link, LateResponseOnTheOldConnectionRetainsIt) {
  Connect();
  NextTick();
  NextTick();
  STRCMP_EQUAL("open2 ", NextTick().c_str());
  STRCMP_EQUAL("close2 ", Respond(1).c_str());
  LONGS_EQUAL(1, link.Connection());
}

TEST(Link, FailedNewConnectionMakesThePeerUnreachable) {
  Connect();
  NextTick();
  NextTick();
  NextTick();
  STRCMP_EQUAL("close2 close1 unreachable0 ", NextTick().c_str());
  CHECK_TRUE(link.State() == LinkState::kUnreachable);
  LONGS_EQUAL(0, link.Connection());
  STRCMP_EQUAL("open3 ", NextTick().c_str());
  STRCMP_EQUAL("close3 ", Fail(3).c_str());
  STRCMP_EQUAL("open4 ", NextTick().c_str());
  STRCMP_EQUAL("reachable4 ", Respond(4).c_str());
  CHECK_TRUE(link.State() == LinkState::kUp);
}

TEST(Link, ClosedConnectionIsProbedBeforeThePeerIsUnreachable) {
  Connect();
  STRCMP_EQUAL("open2 ", Fail(1).c_str());
  STRCMP_EQUAL("", Respond(1).c_str());
  STRCMP_EQUAL("", Respond(2).c_str());
  CHECK_TRUE(link.State() == LinkState::kUp);
  STRCMP_EQUAL("open3 ", Fail(2).c_str());
  STRCMP_EQUAL("close3 unreachable0 ", Fail(3).c_str());
}

TEST(Link, ProbesBackOffToTheirMaximum) {
  link.Start(now);
  Fail(1);
  Milliseconds previous(0);
  for (int round = 0; round < 8; ++round) {
    const auto wait =
        std::chrono::duration_cast<Milliseconds>(link.NextTick() - now);
    CHECK_TRUE(wait >= previous && wait <= options.maximum_probe_interval);
    previous = wait;
    NextTick();
    Fail(static_cast<std::uint64_t>(round) + 2);
  }
  CHECK_TRUE(previous == options.maximum_probe_interval);
}

}  // namespace carobbank
