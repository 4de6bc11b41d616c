// Properties over interleavings: two sidecars of one server, an engine that
// loses answers, fails, restarts and ignores or checks fencing numbers.

#include "LibVersions/versions.h"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::uint64_t kTarget = 9;

// An engine that takes one order at a time and finishes it on the next tick.
class ModelEngine {
 public:
  explicit ModelEngine(bool checks_fencing) : checks_fencing(checks_fencing) {}

  OrderAnswer Take(const VersionOrder& order) {
    if (this->checks_fencing &&
        order.fencing_token < this->report.fencing_token) {
      return OrderAnswer::kFenced;
    }
    if (this->report.loading) {
      return OrderAnswer::kNotTaken;
    }
    this->report.fencing_token =
        std::max(this->report.fencing_token, order.fencing_token);
    this->report.loading = true;
    this->pending = order;
    return OrderAnswer::kTaken;
  }

  void Tick(bool fails) {
    if (!this->report.loading) {
      return;
    }
    this->report.loading = false;
    this->report.last_order_id = this->pending.order_id;
    this->report.last_order_failed = fails;
    this->report.version = fails ? this->report.version : this->pending.version;
  }

  void Restart() {
    const std::uint64_t incarnation = this->report.incarnation + 1;
    this->report = EngineReport();
    this->report.incarnation = incarnation;
  }

  EngineReport report;

 private:
  bool checks_fencing;
  VersionOrder pending;
};

struct Holder {
  explicit Holder(std::uint64_t incarnation) : incarnation(incarnation) {}

  OrderStateMachine machine{"server", OrderStateMachineOptions()};
  std::uint64_t incarnation;
  std::optional<OrderAuthority> authority;
  // Sent, and not yet arrived at the engine.
  std::vector<VersionOrder> in_flight;
};

class OrderWorld {
 public:
  OrderWorld(Random& random, bool checks_fencing)
      : random(random), checks_fencing(checks_fencing), engine(checks_fencing) {
    for (Holder& holder : this->holders) {
      holder.machine.SetTarget({"m", kTarget, MonotonicTime()});
    }
  }

  void Append(Holder& holder, Milliseconds delay_before, Milliseconds after) {
    AppendTimes times;
    times.started = this->now;
    this->now += delay_before;
    const OrderHolderRecord own{this->log.size(), this->LogTime(),
                                holder.incarnation};
    this->log.push_back(own);
    this->now += after;
    times.answered = this->now;
    holder.authority = DeriveAuthority(this->log, own, times, this->terms,
                                       this->checks_fencing);
    holder.machine.SetAuthority(holder.authority);
  }

  void Send(Holder& holder) {
    if (const auto order = holder.machine.IssueNext(this->now)) {
      holder.in_flight.push_back(*order);
    }
  }

  // The answer may get lost after the order has arrived.
  void Arrive(Holder& holder, bool answer_lost) {
    if (holder.in_flight.empty()) {
      return;
    }
    const VersionOrder order = holder.in_flight.front();
    holder.in_flight.erase(holder.in_flight.begin());
    const OrderAnswer answer = this->engine.Take(order);
    holder.machine.OnAnswer(order.order_id,
                            answer_lost ? OrderAnswer::kUnknown : answer,
                            this->now);
  }

  void FaultyStep() {
    Holder& holder = this->holders[this->random.Below(2)];
    this->now += Milliseconds(this->random.Below(3'000));
    switch (this->random.Below(6)) {
      case 0:
        this->Append(holder, Milliseconds(this->random.Below(500)),
                     Milliseconds(this->random.Below(20'000)));
        break;
      case 1:
        this->Send(holder);
        break;
      case 2:
        this->Arrive(holder, this->random.Below(2) == 0);
        break;
      case 3:
        this->engine.Tick(this->random.Below(3) == 0);
        break;
      case 4:
        holder.machine.OnReport(this->engine.report, this->now);
        break;
      default:
        if (this->random.Below(8) == 0) {
          this->engine.Restart();
        }
        break;
    }
  }

  // Only the second holder, with the higher incarnation, is still there.
  void CalmStep() {
    Holder& holder = this->holders[1];
    this->now += Milliseconds(1'000);
    this->Send(holder);
    this->Arrive(holder, false);
    this->engine.Tick(false);
    holder.machine.OnReport(this->engine.report, this->now);
    const bool lapsing =
        !holder.authority ||
        holder.machine.State() == OrderState::kSuperseded ||
        holder.authority->valid_until < this->now + this->terms.duration / 2;
    if (lapsing) {
      this->Append(holder, Milliseconds(1), Milliseconds(1));
    }
  }

  int LiveHolders() const {
    return static_cast<int>(std::count_if(
        this->holders.begin(), this->holders.end(), [&](const Holder& holder) {
          return holder.authority && holder.authority->IsValidAt(this->now);
        }));
  }

  WallMilliseconds LogTime() const {
    return std::chrono::duration_cast<Milliseconds>(
               this->now.time_since_epoch())
        .count();
  }

  Random& random;
  bool checks_fencing;
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  LeaseTerms terms{Milliseconds(30'000), Milliseconds(2'000)};
  std::vector<OrderHolderRecord> log;
  ModelEngine engine;
  std::array<Holder, 2> holders = {Holder(1), Holder(2)};
};

}  // namespace

TEST_GROUP(OrderProperty){};

TEST(OrderProperty, NeverTwoLiveHoldersWithoutFencing) {
  CHECK_TRUE(rc::check("leases never overlap", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    OrderWorld world(random, false);
    for (int step = 0; step < 300; ++step) {
      world.FaultyStep();
      const int live = world.LiveHolders();
      RC_ASSERT(live <= 1);
    }
  }));
}

TEST(OrderProperty, TheVersionConvergesOnceFaultsEnd) {
  CHECK_TRUE(rc::check("the target is reached and stays", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const bool checks_fencing = *rc::gen::arbitrary<bool>();
    OrderWorld world(random, checks_fencing);
    for (int step = 0; step < 200; ++step) {
      world.FaultyStep();
    }
    for (int step = 0; step < 200; ++step) {
      world.CalmStep();
    }
    RC_ASSERT(world.engine.report.version == kTarget);
    RC_ASSERT(world.holders[1].machine.State() == OrderState::kConfirmed);
  }));
}

TEST(OrderProperty, AConfirmedVersionWasReported) {
  CHECK_TRUE(rc::check("confirmed only by a report", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    OrderWorld world(random, *rc::gen::arbitrary<bool>());
    std::uint64_t reported = 0;
    for (int step = 0; step < 300; ++step) {
      world.FaultyStep();
      reported = std::max(reported, world.engine.report.version);
      for (const Holder& holder : world.holders) {
        const bool confirmed = holder.machine.State() == OrderState::kConfirmed;
        RC_ASSERT(!confirmed || reported >= kTarget);
      }
    }
  }));
}

}  // namespace carobbank
