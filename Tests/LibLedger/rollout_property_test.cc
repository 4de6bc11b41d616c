// Properties of rollout folds over random histories. They guard against a fold
// that starts late and disagrees with one that read every record, and against a
// trainer that polls several entry instances and receives a sample twice or in
// another order.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kLifetime{1000};
constexpr Milliseconds kMaxEventGap{150};

RolloutFoldOptions Options() {
  RolloutFoldOptions options;
  options.service = "gulf";
  options.step_lifetime = kLifetime;
  return options;
}

// A history of one stream, generated from numbers: accepts and repeats, commits
// by competing owners, late entries of expired steps, ends and snapshots.
class History {
 public:
  MemoryStream stream;
  RolloutFold reference{Options(), 0};
  WallMilliseconds now_ms = 1'000'000;

  void Play(std::uint32_t event) {
    this->now_ms += event / 64 % kMaxEventGap.count();
    const std::string request_id = "r" + std::to_string(event / 16 % 2);
    const StepState* step = this->reference.Find(request_id);
    const std::uint32_t action = event % 16;
    if (step == nullptr || action == 0) {
      this->Accept(request_id, event);
    } else if (action == 1) {
      this->Write(StepTakeoverEntry{request_id, step->accepted_at,
                                    "entry-" + std::to_string(event % 3),
                                    step->owner.term + event % 2});
    } else if (action == 2 && event % 5 == 0) {
      this->Write(EndEntry{request_id, step->accepted_at, "cancelled"});
    } else if (action == 3) {
      this->Write(
          FailEntry{request_id, step->accepted_at, this->Sample(event), "x"});
    } else if (action <= 8) {
      this->AppendSnapshot(*step, event);
    } else {
      this->Commit(*step, event);
    }
    this->stream.FeedTo(this->reference);
  }

  // The log retains records for two step lifetimes.
  std::uint64_t OldestRetained() const {
    return this->stream.FirstSince(this->now_ms - 2 * kLifetime.count() + 1);
  }

  // The fold of an entry instance that starts now at the oldest retained
  // record.
  RolloutFold LateFold() const {
    RolloutFold fold(Options(), this->OldestRetained());
    this->stream.FeedTo(fold);
    return fold;
  }

 private:
  void Write(const RolloutEntry& entry) {
    this->stream.Add(entry, this->now_ms);
  }

  // Decides an accept on a fold that lags a few records behind the stream, and
  // may delay the append of the accept further.
  void Accept(const std::string& request_id, std::uint32_t event) {
    RolloutFold writer(Options(), 0);
    const std::uint64_t lag = event / 256 % 3;
    WallMilliseconds decided_ms = this->now_ms;
    while (writer.NextOffset() + lag < this->stream.End()) {
      writer.Apply(this->stream.At(writer.NextOffset()));
    }
    if (writer.NextOffset() < this->stream.End()) {
      decided_ms = this->stream.At(writer.NextOffset()).time_ms;
    }
    const AcceptDecisionResult decision_result =
        writer.DecideAccept(request_id, "digest", decided_ms);
    if (event / 64 % 4 == 0) {
      this->now_ms += kLifetime.count() / 3;
    }
    if (decision_result.decision == AcceptDecision::kNew) {
      this->Write(MakeAccept(request_id, 2, 2, decision_result.basis));
    }
  }

  std::string Sample(std::uint32_t event) const {
    return SampleId("g" + std::to_string(event / 32 % 2), event / 128 % 2);
  }

  void Commit(const StepState& step, std::uint32_t event) {
    StepId name{step.accept.request_id, step.accepted_at};
    if (event % 11 == 0) {
      // A commit by an owner that was suspended past the step's expiry.
      name.accepted_at = this->previous_accept;
    }
    this->previous_accept = step.accepted_at;
    const std::string attempt = std::to_string(this->stream.End());
    this->Write(
        MakeCommit(name, this->Sample(event), attempt, event % 7 == 0 ? 5 : 7));
  }

  // Appends a snapshot of the current state, with or without other records
  // before it, complete or without its last part.
  void AppendSnapshot(const StepState& step, std::uint32_t event) {
    std::vector<RolloutEntry> parts = this->reference.MakeSnapshotEntries(
        step, "copy-" + std::to_string(this->stream.End()), 600,
        this->now_ms + event / 4096 % 5 * 100);
    if (event % 3 == 0) {
      this->Commit(step, event * 31);
    }
    if (event % 13 == 0) {
      parts.pop_back();
    }
    for (const RolloutEntry& part : parts) {
      this->Write(part);
      this->now_ms += event % 5;
    }
  }

  LogPosition previous_accept;
};

std::string Describe(const StepState& step) {
  return step.accept.request_id + "@" + step.accepted_at.Text() + " " +
         step.owner.owner + "/" + std::to_string(step.owner.term) + " " +
         step.end_reason + ": " + Summary(step.results);
}

std::vector<std::string> UnexpiredSteps(const RolloutFold& fold,
                                        WallMilliseconds now_ms) {
  std::vector<std::string> unexpired;
  for (const StepState* step : fold.Steps()) {
    if (step->lives_until_ms >= now_ms) {
      unexpired.push_back(Describe(*step));
    }
  }
  return unexpired;
}

rc::Gen<std::vector<std::uint32_t>> Events() {
  return rc::gen::resize(150,
                         rc::gen::container<std::vector<std::uint32_t>>(
                             rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
}

// A trainer that polls through any entry instance.
class Trainer {
 public:
  Cursor cursor;
  std::vector<std::string> received;

  void Receive(const Outcome<DeliveryPage>& page) {
    if (!page.Ok()) {
      return;
    }
    for (const SampleResult* result : page.Value().results) {
      this->received.push_back(
          std::visit([](const auto& item) { return item.sample_id; }, *result));
    }
    this->cursor = page.Value().next;
  }
};

}  // namespace

TEST_GROUP(RolloutProperties){};

TEST(RolloutProperties, LateFoldAgreesOnEveryUnexpiredStep) {
  CHECK_TRUE(rc::check("late start changes nothing", [] {
    const std::vector<std::uint32_t> events = *Events();
    History history;
    for (std::uint32_t event : events) {
      history.Play(event);
    }
    const RolloutFold late = history.LateFold();
    const auto expected = UnexpiredSteps(history.reference, history.now_ms);
    RC_CLASSIFY(
        !expected.empty() && late.Find("r0") != nullptr &&
            late.Find("r0")->accepted_at.offset < history.OldestRetained(),
        "restored from a snapshot");
    RC_ASSERT(UnexpiredSteps(late, history.now_ms) == expected);
  }));
}

TEST(RolloutProperties, TrainerGetsEachSampleOnceThroughAnyEntryInstance) {
  CHECK_TRUE(rc::check("delivery is the reference's order", [] {
    const std::vector<std::uint32_t> events = *Events();
    History history;
    history.Play(0);
    const StepState first = *history.reference.Find("r0");
    Trainer trainer;
    trainer.cursor = history.reference.FirstCursor(first);
    std::vector<SampleResult> delivery_order;
    for (std::uint32_t event : events) {
      history.Play(event);
      const StepState* step = history.reference.Find("r0");
      const bool same_step = step != nullptr &&
                             step->accepted_at == first.accepted_at &&
                             step->lives_until_ms >= history.now_ms;
      if (!same_step) {
        break;
      }
      delivery_order = step->results;
      const std::size_t wanted = 1 + event % 3;
      if (event % 4 == 0) {
        trainer.Receive(Capture([&] {
          return ReadDelivery(history.reference, trainer.cursor, wanted);
        }));
      } else if (event % 4 == 1) {
        const RolloutFold late = history.LateFold();
        trainer.Receive(Capture(
            [&] { return ReadDelivery(late, trainer.cursor, wanted); }));
      } else if (event % 4 == 2) {
        DeliveryReader reader(trainer.cursor, kLifetime);
        history.stream.FeedTo(reader);
        const Outcome<DeliveryPage> page =
            Capture([&] { return reader.Read(history.stream.End(), wanted); });
        RC_ASSERT(page.Ok());
        trainer.Receive(page);
      } else {
        // The log has trimmed the cursor's start offset: the reader rebuilds
        // the step from the oldest retained record.
        DeliveryReader reader(trainer.cursor, kLifetime);
        reader.Restart(history.OldestRetained());
        history.stream.FeedTo(reader);
        const Outcome<DeliveryPage> page =
            Capture([&] { return reader.Read(history.stream.End(), wanted); });
        RC_ASSERT(page.Ok());
        trainer.Receive(page);
      }
    }
    RC_ASSERT(trainer.received.size() <= delivery_order.size());
    for (std::size_t index = 0; index < trainer.received.size(); ++index) {
      const std::string& expected = std::visit(
          [](const auto& item) -> const std::string& { return item.sample_id; },
          delivery_order[index]);
      RC_ASSERT(trainer.received[index] == expected);
    }
    const std::set<std::string> distinct(trainer.received.begin(),
                                         trainer.received.end());
    RC_ASSERT(distinct.size() == trainer.received.size());
  }));
}

TEST(RolloutProperties, SnapshotsExtendAStepBeyondTheRetention) {
  History history;
  history.Play(0);
  const StepId name{"r0", {0, 0}};
  history.stream.Add(MakeCommit(name, "g0/0", "a"), history.now_ms);
  history.stream.FeedTo(history.reference);
  const Cursor cursor =
      history.reference.FirstCursor(*history.reference.Find("r0"));
  for (int round = 0; round < 8; ++round) {
    history.now_ms += kLifetime.count() * 3 / 4;
    for (const RolloutEntry& part : history.reference.MakeSnapshotEntries(
             *history.reference.Find("r0"), "copy" + std::to_string(round), 100,
             history.now_ms)) {
      history.stream.Add(part, history.now_ms);
    }
    history.stream.FeedTo(history.reference);
  }
  history.stream.Add(MakeCommit(name, "g0/0", "again"), history.now_ms);
  history.stream.Add(MakeCommit(name, "g1/1", "b"), history.now_ms);
  const RolloutFold late = history.LateFold();
  STRCMP_EQUAL("g0/0=a g1/1=b ", Summary(late.Find("r0")->results).c_str());
  const auto page = Capture([&] { return ReadDelivery(late, cursor, 9); });
  LONGS_EQUAL(2, page.Value().results.size());
  // The new cursor starts at a record that is still retained.
  CHECK_TRUE(page.Value().next.start_offset > cursor.start_offset);
}

TEST(RolloutProperties, ExpiredStepIsReportedAsExpired) {
  History history;
  history.Play(0);
  const Cursor cursor =
      history.reference.FirstCursor(*history.reference.Find("r0"));
  history.now_ms += kLifetime.count() + 1;
  history.stream.Add(EndEntry{"r1", {}, "x"}, history.now_ms);
  DeliveryReader reader(cursor, kLifetime);
  const auto unread = Capture([&] { return reader.Read(2, 9); });
  CHECK_TRUE(unread.GetError().kind == ErrorKind::kNotFound);
  history.stream.FeedTo(reader);
  const auto expired = Capture([&] { return reader.Read(2, 9); });
  CHECK_TRUE(expired.GetError().kind == ErrorKind::kExpired);
}

}  // namespace carobbank
