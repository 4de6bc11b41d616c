// Guards against requests that a shutdown cuts although they could have been
// refused, and against refusals of requests that could have been served.

#include "Services/Gateway/shutdown_window.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kGrace{8'000};
constexpr Milliseconds kTimeout{30'000};

}  // namespace

TEST_GROUP(ShutdownWindow) {
  ShutdownWindow window{kGrace};
  MonotonicTime start = MonotonicTime() + std::chrono::hours(1);

  void End(std::string_view route, int took_ms, int times = 1) {
    for (int i = 0; i < times; ++i) {
      this->window.OnEnded(route, Milliseconds(took_ms));
    }
  }
  bool MayBegin(std::string_view route, int elapsed_ms,
                Milliseconds time_left = kTimeout) const {
    return this->window.MayBegin({route, time_left, true},
                                 this->start + Milliseconds(elapsed_ms));
  }
  bool MayBeginOnce(std::string_view route, int elapsed_ms,
                    Milliseconds time_left = kTimeout) const {
    return this->window.MayBegin({route, time_left, false},
                                 this->start + Milliseconds(elapsed_ms));
  }
};

TEST(ShutdownWindow, EverythingBeginsBeforeTheShutdown) {
  this->End("slow", 20'000);
  CHECK_TRUE(this->MayBegin("slow", 0));
  CHECK_TRUE(this->MayBegin("new", 0));
  CHECK_FALSE(this->window.OutOfRotation(this->start));
  CHECK_FALSE(this->window.ResponsesDue(this->start));
  CHECK_FALSE(this->window.Over(this->start));
}

TEST(ShutdownWindow, WorkThatCannotEndInTimeIsNotBegun) {
  this->End("work", 1'500);
  this->window.Begin(this->start);
  for (const int elapsed_ms : {0, 1'000, 2'499, 3'200, 5'000}) {
    CHECK_TRUE(this->MayBegin("work", elapsed_ms));
  }
  for (const int elapsed_ms : {6'000, 6'500, 7'000, 7'500, 7'900}) {
    CHECK_FALSE(this->MayBegin("work", elapsed_ms));
  }
}

TEST(ShutdownWindow, ShortWorkBeginsUntilShortlyBeforeTheEnd) {
  this->End("work", 20);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("work", 7'400));
  CHECK_FALSE(this->MayBegin("work", 7'490));
}

TEST(ShutdownWindow, WorkLongerThanTheGraceIsRefusedFromTheFirstSecond) {
  this->End("work", 7'000);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("work", 400));
  CHECK_FALSE(this->MayBegin("work", 600));
}

TEST(ShutdownWindow, OneLongResponseDoesNotRefuseEarlyRequests) {
  this->End("work", 100, 50);
  this->End("work", 9'000);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("work", 2'400));
  CHECK_FALSE(this->MayBegin("work", 2'600));
}

TEST(ShutdownWindow, OldResponseTimesAreForgotten) {
  this->End("work", 9'000);
  this->End("work", 100, 128);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("work", 7'000));
}

TEST(ShutdownWindow, AnUnknownRouteBeginsEarlyOrWithinItsTimeLimit) {
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("new", 2'400));
  CHECK_FALSE(this->MayBegin("new", 2'600));
  CHECK_TRUE(this->MayBegin("new", 5'500, Milliseconds(2'000)));
  CHECK_FALSE(this->MayBegin("new", 5'501, Milliseconds(2'000)));
}

TEST(ShutdownWindow, ARequestWhoseDeadlineIsBeforeTheEndBegins) {
  this->End("work", 7'000);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBegin("work", 7'000, Milliseconds(500)));
}

// Guards against a stream, or a call that may run once, that begins because
// earlier ones were short, and is cut.
TEST(ShutdownWindow, WorkThatMustNotBeCutReliesOnTheLengthsOfEarlierWork) {
  this->End("work", 20, 200);
  this->window.Begin(this->start);
  CHECK_TRUE(this->MayBeginOnce("work", 2'400));
  for (const int elapsed_ms : {2'600, 3'400, 7'000}) {
    CHECK_FALSE(this->MayBeginOnce("work", elapsed_ms));
    CHECK_FALSE(this->MayBeginOnce("new", elapsed_ms));
  }
  CHECK_TRUE(this->MayBeginOnce("work", 3'400, Milliseconds(4'100)));
  CHECK_FALSE(this->MayBeginOnce("work", 3'400, Milliseconds(4'101)));
}

// Guards against calls about batch jobs that are still in progress at the end.
TEST(ShutdownWindow, WorkOfAKnownLengthBeginsTooLate) {
  CHECK_TRUE(this->window.EndsInTime(Milliseconds(9'000), this->start));
  this->window.Begin(this->start);
  CHECK_TRUE(this->window.EndsInTime(Milliseconds(5'500),
                                     this->start + Milliseconds(2'000)));
  CHECK_FALSE(this->window.EndsInTime(Milliseconds(5'500),
                                      this->start + Milliseconds(2'001)));
}

TEST(ShutdownWindow, TheResponsesComeBeforeTheExitAndTheExitBeforeSigkill) {
  this->window.Begin(this->start);
  const auto at = [this](int elapsed_ms) {
    return this->start + Milliseconds(elapsed_ms);
  };
  CHECK_FALSE(this->window.OutOfRotation(at(3'199)));
  CHECK_TRUE(this->window.OutOfRotation(at(3'200)));
  CHECK_FALSE(this->window.ResponsesDue(at(7'499)));
  CHECK_TRUE(this->window.ResponsesDue(at(7'500)));
  CHECK_FALSE(this->window.Over(at(7'799)));
  CHECK_TRUE(this->window.Over(at(7'800)));
}

TEST(ShutdownWindow, AShortGraceKeepsTheOrderOfItsDeadlines) {
  ShutdownWindow brief{Milliseconds(1'000)};
  brief.Begin(this->start);
  const MonotonicTime rotation = this->start + Milliseconds(250);
  const MonotonicTime due = this->start + Milliseconds(500);
  CHECK_TRUE(brief.OutOfRotation(rotation));
  CHECK_FALSE(brief.ResponsesDue(rotation));
  CHECK_TRUE(brief.ResponsesDue(due));
  CHECK_FALSE(brief.Over(due));
  CHECK_TRUE(brief.Over(this->start + Milliseconds(800)));
}

}  // namespace carobbank
