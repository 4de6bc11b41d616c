// Tests of the link state machine: a silent connection is replaced, and only
// a fresh connection's failure blames the other end.

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
  // What happens at the link's own next tick.
  std::string NextTick() {
    this->now = this->link.NextTick();
    return Text(this->link.Tick(this->now));
  }
  std::string Answer(std::uint64_t connection) {
    return Text(this->link.OnAnswer(connection, this->now));
  }
  std::string Fail(std::uint64_t connection) {
    return Text(this->link.OnFailed(connection, this->now));
  }
  void Up() {
    this->link.Start(this->now);
    this->Answer(1);
  }
};

TEST(Link, HeartbeatsGoOnWhileAnswered) {
  STRCMP_EQUAL("open1 ", Text(link.Start(now)).c_str());
  STRCMP_EQUAL("reachable1 ", Answer(1).c_str());
  for (int round = 0; round < 10; ++round) {
    STRCMP_EQUAL("beat1 ", NextTick().c_str());
    STRCMP_EQUAL("", Answer(1).c_str());
  }
  LONGS_EQUAL(10, link.Counters().heartbeats);
  CHECK_TRUE(link.State() == LinkState::kUp);
}

TEST(Link, SilentConnectionIsReplacedAndTheServerKept) {
  Up();
  STRCMP_EQUAL("beat1 ", NextTick().c_str());
  STRCMP_EQUAL("beat1 ", NextTick().c_str());
  STRCMP_EQUAL("open2 ", NextTick().c_str());
  CHECK_TRUE(link.State() == LinkState::kProbing);
  STRCMP_EQUAL("close1 ", Answer(2).c_str());
  LONGS_EQUAL(2, link.Connection());
  CHECK_TRUE(link.State() == LinkState::kUp);
  // Whatever still comes on the old connection is ignored.
  STRCMP_EQUAL("", Answer(1).c_str());
  STRCMP_EQUAL("", Fail(1).c_str());
  LONGS_EQUAL(2, link.Connection());
}

TEST(Link, LateAnswerOnTheOldConnectionKeepsIt) {
  Up();
  NextTick();
  NextTick();
  STRCMP_EQUAL("open2 ", NextTick().c_str());
  STRCMP_EQUAL("close2 ", Answer(1).c_str());
  LONGS_EQUAL(1, link.Connection());
}

TEST(Link, FreshConnectionsFailureBlamesTheServer) {
  Up();
  NextTick();
  NextTick();
  NextTick();
  STRCMP_EQUAL("close2 close1 unreachable0 ", NextTick().c_str());
  CHECK_TRUE(link.State() == LinkState::kUnreachable);
  LONGS_EQUAL(0, link.Connection());
  STRCMP_EQUAL("open3 ", NextTick().c_str());
  STRCMP_EQUAL("close3 ", Fail(3).c_str());
  STRCMP_EQUAL("open4 ", NextTick().c_str());
  STRCMP_EQUAL("reachable4 ", Answer(4).c_str());
  CHECK_TRUE(link.State() == LinkState::kUp);
}

TEST(Link, EndOfTheConnectionIsProbedBeforeBlame) {
  Up();
  STRCMP_EQUAL("open2 ", Fail(1).c_str());
  STRCMP_EQUAL("", Answer(1).c_str());
  STRCMP_EQUAL("", Answer(2).c_str());
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
