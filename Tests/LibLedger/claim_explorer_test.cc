// Explores every interleaving of three attempts on one idempotency key, with
// crashes, lost answers, appends that take effect late, duplicate appends and
// attempts that were decided on stale folds. The request runs at most once.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <array>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kNow = 100'000;
constexpr std::size_t kAttempts = 3;
// Unknown outcomes that each attempt meets before it gives up. Three times 1
// gives a million states and the same verdict, in half a minute.
constexpr std::array<int, kAttempts> kMaxLostAnswers = {1, 1, 0};

enum class Stage { kIdle, kClaiming, kWaiting, kHolding, kEnding, kOver };

enum class Kind : char { kClaim = 'c', kRelease = 'r', kDone = 'd' };

struct Written {
  Kind kind;
  char attempt;
};

struct Attempt {
  Stage stage = Stage::kIdle;
  // The entry that ends the attempt, in kEnding.
  Kind ending = Kind::kRelease;
  int lost_answers = 0;
  std::size_t claimed_at = 0;
};

struct World {
  std::vector<Written> log;
  // Appends that were cut off and take effect later, or never.
  std::vector<Written> delayed;
  std::array<Attempt, kAttempts> attempts;
  int executions = 0;

  std::string Key() const {
    std::string key;
    for (const auto* list : {&this->log, &this->delayed}) {
      for (const Written& written : *list) {
        key += static_cast<char>(written.kind);
        key += written.attempt;
      }
      key += '|';
    }
    for (const Attempt& attempt : this->attempts) {
      key += std::to_string(static_cast<int>(attempt.stage));
      key += static_cast<char>(attempt.ending);
      key += std::to_string(attempt.lost_answers);
      key += std::to_string(attempt.claimed_at) + ",";
    }
    return key + std::to_string(this->executions);
  }
};

const IdempotencyKey& TheKey() {
  static const IdempotencyKey name{"dispatch-app", "slot"};
  return name;
}

std::string NameOf(std::size_t attempt) {
  return std::string(1, static_cast<char>('a' + attempt));
}

KeyEntry EntryOf(const Written& written) {
  const std::string attempt(1, written.attempt);
  switch (written.kind) {
    case Kind::kClaim:
      return ClaimEntry{TheKey(), attempt, kNow, kNow + 1000, "request"};
    case Kind::kRelease:
      return ReleaseEntry{TheKey(), attempt};
    case Kind::kDone:
      break;
  }
  return DoneEntry{TheKey(), attempt, MakeStoredOutcome(200, "", "ok")};
}

KeyFold FoldOf(const std::vector<Written>& log) {
  KeyFold fold{KeyFoldOptions(), 0};
  for (std::size_t offset = 0; offset < log.size(); ++offset) {
    const std::string payload =
        EncodeRecord(std::vector{EncodeKeyEntry(EntryOf(log[offset]))});
    fold.Apply({offset, kNow, payload});
  }
  return fold;
}

class Explorer {
 public:
  void Explore(const World& world) {
    if (!this->seen.insert(world.Key()).second) {
      return;
    }
    this->most_executions = std::max(this->most_executions, world.executions);
    for (std::size_t index = 0; index < kAttempts; ++index) {
      this->Step(world, index);
    }
    for (std::size_t index = 0; index < world.delayed.size(); ++index) {
      World next = world;
      next.log.push_back(world.delayed[index]);
      next.delayed.erase(next.delayed.begin() +
                         static_cast<std::ptrdiff_t>(index));
      this->Explore(next);
    }
  }

  std::size_t States() const { return this->seen.size(); }
  int MostExecutions() const { return this->most_executions; }
  std::size_t Runs() const { return this->runs; }

 private:
  World Moved(const World& world, std::size_t index, Stage stage) {
    World next = world;
    next.attempts[index].stage = stage;
    return next;
  }

  void Step(const World& world, std::size_t index) {
    const Attempt& attempt = world.attempts[index];
    if (attempt.stage == Stage::kOver) {
      return;
    }
    // A crash may come at any moment.
    this->Explore(this->Moved(world, index, Stage::kOver));
    switch (attempt.stage) {
      case Stage::kIdle:
        // On a stale fold every attempt may seem free to claim.
        this->Explore(this->Moved(world, index, Stage::kClaiming));
        break;
      case Stage::kClaiming:
        this->Append(world, index, Kind::kClaim, Stage::kWaiting);
        break;
      case Stage::kWaiting:
        this->ReadBack(world, index);
        break;
      case Stage::kHolding:
        this->Send(world, index);
        break;
      case Stage::kEnding:
        this->Append(world, index, attempt.ending, Stage::kOver);
        break;
      case Stage::kOver:
        break;
    }
  }

  void Append(const World& world, std::size_t index, Kind kind, Stage then) {
    const Written written{kind, NameOf(index)[0]};
    World done = this->Moved(world, index, then);
    done.log.push_back(written);
    done.attempts[index].claimed_at = done.log.size() - 1;
    this->Explore(done);
    if (world.attempts[index].lost_answers == kMaxLostAnswers[index]) {
      if (kind == Kind::kClaim) {
        // Gives up: it has sent nothing and never will.
        World gives_up = this->Moved(world, index, Stage::kEnding);
        gives_up.attempts[index].ending = Kind::kRelease;
        this->Explore(gives_up);
      }
      return;
    }
    World lost = world;
    ++lost.attempts[index].lost_answers;
    World applied = lost;
    applied.log.push_back(written);
    this->Explore(applied);
    World late = lost;
    late.delayed.push_back(written);
    this->Explore(late);
  }

  void ReadBack(const World& world, std::size_t index) {
    const ClaimStatus status = FoldOf(world.log).StatusOf(
        TheKey(), NameOf(index), {world.attempts[index].claimed_at, 0});
    CHECK_TRUE(status != ClaimStatus::kPending);
    const bool won = status == ClaimStatus::kWon;
    this->Explore(
        this->Moved(world, index, won ? Stage::kHolding : Stage::kOver));
  }

  void Send(const World& world, std::size_t index) {
    ++this->runs;
    World ran = this->Moved(world, index, Stage::kEnding);
    ++ran.executions;
    ran.attempts[index].ending = Kind::kDone;
    this->Explore(ran);
    // It ran, and the answer was lost: unresolved for ever.
    World unresolved = ran;
    unresolved.attempts[index].stage = Stage::kOver;
    this->Explore(unresolved);
    World not_run = this->Moved(world, index, Stage::kEnding);
    not_run.attempts[index].ending = Kind::kRelease;
    this->Explore(not_run);
  }

  std::set<std::string> seen;
  int most_executions = 0;
  std::size_t runs = 0;
};

}  // namespace

TEST_GROUP(ClaimExplorer){};

TEST(ClaimExplorer, NoInterleavingRunsTheRequestTwice) {
  Explorer explorer;
  explorer.Explore(World());
  LONGS_EQUAL(1, explorer.MostExecutions());
  // The exploration is not empty: many states, and many that send.
  CHECK_TRUE(explorer.States() > 1000);
  CHECK_TRUE(explorer.Runs() > 100);
}

}  // namespace carobbank
