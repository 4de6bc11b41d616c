// Explores every interleaving of three attempts on one idempotency key, with
// crashes, lost responses, delayed appends, duplicate appends and claims
// decided on stale folds. Guards against a request that runs twice because two
// attempts both see their claim as won.

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
// Unknown append outcomes after which each attempt aborts. With 1 for all three
// attempts the exploration takes half a minute for a million states and has the
// same result.
constexpr std::array<int, kAttempts> kMaxLostResponses = {1, 1, 0};

enum class Stage { kIdle, kClaiming, kWaiting, kHolding, kEnding, kEnded };

enum class Kind : char { kClaim = 'c', kRelease = 'r', kDone = 'd' };

struct LoggedEntry {
  Kind kind;
  char attempt;
};

struct Attempt {
  Stage stage = Stage::kIdle;
  // The entry that ends the attempt, in kEnding.
  Kind ending = Kind::kRelease;
  int lost_responses = 0;
  std::size_t claimed_at = 0;
};

struct ModelState {
  std::vector<LoggedEntry> log;
  // Appends without a response that take effect later, or never.
  std::vector<LoggedEntry> delayed;
  std::array<Attempt, kAttempts> attempts;
  int executions = 0;

  std::string Key() const {
    std::string key;
    for (const auto* list : {&this->log, &this->delayed}) {
      for (const LoggedEntry& entry : *list) {
        key += static_cast<char>(entry.kind);
        key += entry.attempt;
      }
      key += '|';
    }
    for (const Attempt& attempt : this->attempts) {
      key += std::to_string(static_cast<int>(attempt.stage));
      key += static_cast<char>(attempt.ending);
      key += std::to_string(attempt.lost_responses);
      key += std::to_string(attempt.claimed_at) + ",";
    }
    return key + std::to_string(this->executions);
  }
};

const IdempotencyKey& TheKey() {
  static const IdempotencyKey name{"dispatch-app", "slot"};
  return name;
}

std::string AttemptName(std::size_t attempt) {
  return std::string(1, static_cast<char>('a' + attempt));
}

KeyEntry EntryOf(const LoggedEntry& entry) {
  const std::string attempt(1, entry.attempt);
  switch (entry.kind) {
    case Kind::kClaim:
      return ClaimEntry{TheKey(), attempt, kNow, kNow + 1000, "request"};
    case Kind::kRelease:
      return ReleaseEntry{TheKey(), attempt};
    case Kind::kDone:
      break;
  }
  return DoneEntry{TheKey(), attempt, MakeStoredOutcome(200, "", "ok")};
}

KeyFold FoldOf(const std::vector<LoggedEntry>& log) {
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
  void Explore(const ModelState& state) {
    if (!this->seen.insert(state.Key()).second) {
      return;
    }
    this->most_executions = std::max(this->most_executions, state.executions);
    for (std::size_t index = 0; index < kAttempts; ++index) {
      this->Step(state, index);
    }
    for (std::size_t index = 0; index < state.delayed.size(); ++index) {
      ModelState next = state;
      next.log.push_back(state.delayed[index]);
      next.delayed.erase(next.delayed.begin() +
                         static_cast<std::ptrdiff_t>(index));
      this->Explore(next);
    }
  }

  std::size_t States() const { return this->seen.size(); }
  int MostExecutions() const { return this->most_executions; }
  std::size_t Runs() const { return this->runs; }

 private:
  ModelState WithStage(const ModelState& state,
                       std::size_t index,
                       Stage stage) {
    ModelState next = state;
    next.attempts[index].stage = stage;
    return next;
  }

  void Step(const ModelState& state, std::size_t index) {
    const Attempt& attempt = state.attempts[index];
    if (attempt.stage == Stage::kEnded) {
      return;
    }
    // The attempt may crash at any point.
    this->Explore(this->WithStage(state, index, Stage::kEnded));
    switch (attempt.stage) {
      case Stage::kIdle:
        // On a stale fold the key may look free to every attempt.
        this->Explore(this->WithStage(state, index, Stage::kClaiming));
        break;
      case Stage::kClaiming:
        this->Append(state, index, Kind::kClaim, Stage::kWaiting);
        break;
      case Stage::kWaiting:
        this->ReadBack(state, index);
        break;
      case Stage::kHolding:
        this->Send(state, index);
        break;
      case Stage::kEnding:
        this->Append(state, index, attempt.ending, Stage::kEnded);
        break;
      case Stage::kEnded:
        break;
    }
  }

  void Append(const ModelState& state,
              std::size_t index,
              Kind kind,
              Stage then) {
    const LoggedEntry entry{kind, AttemptName(index)[0]};
    ModelState done = this->WithStage(state, index, then);
    done.log.push_back(entry);
    done.attempts[index].claimed_at = done.log.size() - 1;
    this->Explore(done);
    if (state.attempts[index].lost_responses == kMaxLostResponses[index]) {
      if (kind == Kind::kClaim) {
        // The attempt aborts: it has sent nothing and will send nothing.
        ModelState aborted = this->WithStage(state, index, Stage::kEnding);
        aborted.attempts[index].ending = Kind::kRelease;
        this->Explore(aborted);
      }
      return;
    }
    ModelState lost = state;
    ++lost.attempts[index].lost_responses;
    ModelState applied = lost;
    applied.log.push_back(entry);
    this->Explore(applied);
    ModelState late = lost;
    late.delayed.push_back(entry);
    this->Explore(late);
  }

  void ReadBack(const ModelState& state, std::size_t index) {
    const ClaimStatus status = FoldOf(state.log).StatusOf(
        TheKey(), AttemptName(index), {state.attempts[index].claimed_at, 0});
    CHECK_TRUE(status != ClaimStatus::kPending);
    const bool won = status == ClaimStatus::kWon;
    this->Explore(
        this->WithStage(state, index, won ? Stage::kHolding : Stage::kEnded));
  }

  void Send(const ModelState& state, std::size_t index) {
    ++this->runs;
    ModelState ran = this->WithStage(state, index, Stage::kEnding);
    ++ran.executions;
    ran.attempts[index].ending = Kind::kDone;
    this->Explore(ran);
    // The request ran and the response was lost: the claim stays unresolved.
    ModelState unresolved = ran;
    unresolved.attempts[index].stage = Stage::kEnded;
    this->Explore(unresolved);
    ModelState not_run = this->WithStage(state, index, Stage::kEnding);
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
  explorer.Explore(ModelState());
  LONGS_EQUAL(1, explorer.MostExecutions());
  // Ensures that the exploration reached many states and sent many requests.
  CHECK_TRUE(explorer.States() > 1000);
  CHECK_TRUE(explorer.Runs() > 100);
}

}  // namespace carobbank
