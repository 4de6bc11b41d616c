// Guards against two holders of one lease: a holder that acts after others may
// have acquired the lease, one that reuses a token, and one that is cheated by
// a pause of its process about the age of its lease.

#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

#include "LibVersions/versions.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kDuration{3'000};

MonotonicTime At(std::int64_t milliseconds) {
  return MonotonicTime(Milliseconds(milliseconds));
}

// A number of the full range: RapidCheck's ranges are narrow in its first
// cases.
template <typename Number = int>
Number Draw(Number min, Number max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(min, max));
}

}  // namespace

TEST_GROUP(LeaseState) {
  LeaseState state{"a", kDuration};
};

TEST(LeaseState, AFreeLeaseIsAcquiredOnlyByAnElectedInstance) {
  CHECK_FALSE(this->state.AppendDue(false, At(0)));
  CHECK_TRUE(this->state.AppendDue(true, At(0)));
}

TEST(LeaseState, AnotherHoldersLeaseIsWaitedForFromTheTimeItWasRead) {
  CHECK_TRUE(this->state.OnRecord("b", 4, At(100)));
  CHECK_FALSE(this->state.AppendDue(true, At(3'099)));
  CHECK_TRUE(this->state.AppendDue(true, At(3'100)));
}

TEST(LeaseState, RenewalsKeepTheTokenAndAChangeOfTheHolderRaisesIt) {
  CHECK_TRUE(this->state.OnRecord("a", 4, At(100)));
  CHECK_FALSE(this->state.OnRecord("a", 5, At(1'100)));
  CHECK_EQUAL(5, this->state.FencingToken());
  CHECK_TRUE(this->state.OnRecord("b", 6, At(1'200)));
  CHECK_TRUE(this->state.OnRecord("a", 7, At(5'200)));
  CHECK_EQUAL(8, this->state.FencingToken());
}

TEST(LeaseState, AHolderStopsBeforeOthersMayAcquire) {
  this->state.OnRecord("a", 0, At(0));
  this->state.OnAppended(At(0));
  CHECK_TRUE(this->state.Usable(At(2'399)));
  CHECK_FALSE(this->state.Usable(At(2'400)));
  CHECK_TRUE(this->state.ConfirmedUntil() == At(2'400));
}

// After a pause of the process the read of an old record makes the lease look
// fresh; only the answered append bounds its age.
TEST(LeaseState, ALateReadOfAnOwnRecordConfirmsNothing) {
  this->state.OnRecord("a", 0, At(10'000));
  CHECK_FALSE(this->state.ConfirmedUntil().has_value());
  this->state.OnAppended(At(4'000));
  CHECK_TRUE(this->state.ConfirmedUntil() == At(6'400));
  this->state.OnRecord("a", 1, At(20'000));
  CHECK_TRUE(this->state.ConfirmedUntil() == At(6'400));
}

TEST(LeaseState, AConfirmationEndsWithTheHoldersSequence) {
  this->state.OnRecord("a", 0, At(0));
  this->state.OnAppended(At(0));
  this->state.OnRecord("b", 1, At(100));
  CHECK_FALSE(this->state.ConfirmedUntil().has_value());
  this->state.OnRecord("a", 2, At(200));
  CHECK_FALSE(this->state.ConfirmedUntil().has_value());
}

TEST(LeaseState, AFencedHolderWaitsForALeaseDurationAndGetsAHigherToken) {
  this->state.OnRecord("a", 0, At(0));
  this->state.OnAppended(At(0));
  this->state.OnFenced(1, At(500));
  CHECK_FALSE(this->state.IsHolder());
  CHECK_FALSE(this->state.ConfirmedUntil().has_value());
  CHECK_FALSE(this->state.AppendDue(true, At(3'499)));
  CHECK_TRUE(this->state.AppendDue(true, At(3'500)));
  this->state.OnRecord("a", 1, At(3'600));
  CHECK_EQUAL(2, this->state.FencingToken());
}

TEST(LeaseState, ARefusalOfAnEarlierTokenDoesNotEndTheLease) {
  this->state.OnRecord("a", 7, At(0));
  this->state.OnFenced(3, At(500));
  CHECK_TRUE(this->state.IsHolder());
}

// Three instances share one log; reads and answers arrive after random delays,
// answers are lost, and instances pause. No two instances have a confirmed
// lease at the same time, and no two use one token.
TEST(LeaseState, NoTwoInstancesHaveAConfirmedLeaseAtOnce) {
  CHECK_TRUE(rc::check([] {
    constexpr std::size_t kInstances = 3;
    struct Append {
      std::uint64_t end = 0;
      MonotonicTime began;
      // Empty once the append was decided.
      std::optional<bool> appended;
      bool in_log = false;
    };
    struct Instance {
      LeaseState state;
      std::uint64_t next = 0;
      std::optional<Append> append;
      MonotonicTime paused_until;
    };
    std::vector<Instance> instances;
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances.push_back(
          {LeaseState(std::string(1, static_cast<char>('a' + i)), kDuration), 0,
           std::nullopt, MonotonicTime()});
    }
    std::vector<std::size_t> log;
    std::vector<std::size_t> user_of_token(1'000, kInstances);
    MonotonicTime now = At(0);
    const int steps = Draw(50, 400);
    for (int step = 0; step < steps; ++step) {
      now += Milliseconds(Draw(1, 700));
      const std::size_t number = Draw<std::size_t>(0, kInstances);
      Instance& instance = instances[number];
      if (instance.append && !instance.append->in_log && Draw(0, 2) == 0) {
        // The log decides the append, also while the instance is paused.
        instance.append->in_log = true;
        instance.append->appended = log.size() == instance.append->end;
        if (*instance.append->appended) {
          log.push_back(number);
        }
        continue;
      }
      if (now < instance.paused_until) {
        continue;
      }
      switch (Draw(0, 5)) {
        case 0:
          instance.paused_until = now + Milliseconds(Draw(0, 8'000));
          break;
        case 1:
          // One record, as an old response to a read may hold.
          if (instance.next < log.size()) {
            instance.state.OnRecord(
                std::string(1, static_cast<char>('a' + log[instance.next])),
                instance.next, now);
            ++instance.next;
          }
          break;
        case 2:
          if (instance.append && instance.append->in_log) {
            const Append append = *instance.append;
            instance.append.reset();
            const bool answer_lost = Draw(0, 4) == 0;
            if (*append.appended && !answer_lost) {
              if (instance.next == append.end) {
                instance.state.OnRecord(
                    std::string(1, static_cast<char>('a' + number)), append.end,
                    now);
                instance.next = append.end + 1;
              }
              instance.state.OnAppended(append.began);
            }
          }
          break;
        default:
          if (!instance.append && instance.state.AppendDue(true, now)) {
            instance.append = Append{instance.next, now, std::nullopt, false};
          }
      }
      std::size_t holders = 0;
      for (std::size_t i = 0; i < kInstances; ++i) {
        const auto until = instances[i].state.ConfirmedUntil();
        if (until && now < *until) {
          ++holders;
          std::size_t& user = user_of_token[instances[i].state.FencingToken()];
          RC_ASSERT(user == kInstances || user == i);
          user = i;
        }
      }
      RC_ASSERT(holders <= 1);
    }
  }));
}

}  // namespace carobbank
