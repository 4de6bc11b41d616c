// Property tests of version orders over random interleavings of two sidecars of
// one server and an engine that loses responses, fails, restarts, and ignores
// or checks fencing tokens. They guard against two valid order leases at once,
// a target version that is never reached after the faults end, and a
// confirmation without a report.

#include "LibVersions/versions.h"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::uint64_t kTarget = 9;

// An engine that accepts one order at a time and completes it on the next tick.
class ModelEngine {
 public:
  explicit ModelEngine(bool checks_fencing) : checks_fencing(checks_fencing) {}

  OrderResponse Accept(const VersionOrder& order) {
    if (this->checks_fencing &&
        order.fencing_token < this->report.fencing_token) {
      return OrderResponse::kFenced;
    }
    if (this->report.loading) {
      return OrderResponse::kNotAccepted;
    }
    this->report.fencing_token =
        std::max(this->report.fencing_token, order.fencing_token);
    this->report.loading = true;
    this->pending = order;
    return OrderResponse::kAccepted;
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

struct SimulatedSidecar {
  explicit SimulatedSidecar(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  OrderStateMachine machine{"server", OrderStateMachineOptions()};
  std::uint64_t incarnation;
  std::optional<OrderAuthority> authority;
  // Orders that were sent and have not arrived at the engine yet.
  std::vector<VersionOrder> in_flight;
};

class OrderSimulation {
 public:
  OrderSimulation(Random& random, bool checks_fencing)
      : random(random), checks_fencing(checks_fencing), engine(checks_fencing) {
    for (SimulatedSidecar& sidecar : this->sidecars) {
      sidecar.machine.SetTarget({"m", kTarget, MonotonicTime()});
    }
  }

  void Append(SimulatedSidecar& sidecar,
              Milliseconds delay_before,
              Milliseconds after) {
    AppendTimes times;
    times.started = this->now;
    this->now += delay_before;
    const OrderHolderRecord own{this->log.size(), this->LogTime(),
                                sidecar.incarnation};
    this->log.push_back(own);
    this->now += after;
    times.answered = this->now;
    sidecar.authority = DeriveAuthority(this->log, own, times, this->terms,
                                        this->checks_fencing);
    sidecar.machine.SetAuthority(sidecar.authority);
  }

  void Send(SimulatedSidecar& sidecar) {
    if (const auto order = sidecar.machine.IssueNext(this->now)) {
      sidecar.in_flight.push_back(*order);
    }
  }

  // With `response_lost` the order arrives but its response is lost.
  void Deliver(SimulatedSidecar& sidecar, bool response_lost) {
    if (sidecar.in_flight.empty()) {
      return;
    }
    const VersionOrder order = sidecar.in_flight.front();
    sidecar.in_flight.erase(sidecar.in_flight.begin());
    const OrderResponse response = this->engine.Accept(order);
    sidecar.machine.OnOrderResponse(
        order.order_id, response_lost ? OrderResponse::kUnknown : response,
        this->now);
  }

  void StepWithFaults() {
    SimulatedSidecar& sidecar = this->sidecars[this->random.Below(2)];
    this->now += Milliseconds(this->random.Below(3'000));
    switch (this->random.Below(6)) {
      case 0:
        this->Append(sidecar, Milliseconds(this->random.Below(500)),
                     Milliseconds(this->random.Below(20'000)));
        break;
      case 1:
        this->Send(sidecar);
        break;
      case 2:
        this->Deliver(sidecar, this->random.Below(2) == 0);
        break;
      case 3:
        this->engine.Tick(this->random.Below(3) == 0);
        break;
      case 4:
        sidecar.machine.OnReport(this->engine.report, this->now);
        break;
      default:
        if (this->random.Below(8) == 0) {
          this->engine.Restart();
        }
        break;
    }
  }

  // Only the second sidecar, with the higher incarnation, still runs.
  void StepWithoutFaults() {
    SimulatedSidecar& sidecar = this->sidecars[1];
    this->now += Milliseconds(1'000);
    this->Send(sidecar);
    this->Deliver(sidecar, false);
    this->engine.Tick(false);
    sidecar.machine.OnReport(this->engine.report, this->now);
    const bool needs_renewal =
        !sidecar.authority ||
        sidecar.machine.State() == OrderState::kSuperseded ||
        sidecar.authority->valid_until < this->now + this->terms.duration / 2;
    if (needs_renewal) {
      this->Append(sidecar, Milliseconds(1), Milliseconds(1));
    }
  }

  int ValidLeases() const {
    return static_cast<int>(std::count_if(
        this->sidecars.begin(), this->sidecars.end(),
        [&](const SimulatedSidecar& sidecar) {
          return sidecar.authority && sidecar.authority->IsValidAt(this->now);
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
  std::array<SimulatedSidecar, 2> sidecars = {SimulatedSidecar(1),
                                              SimulatedSidecar(2)};
};

}  // namespace

TEST_GROUP(OrderProperty){};

TEST(OrderProperty, LeasesNeverOverlapWithoutFencing) {
  CHECK_TRUE(rc::check("leases never overlap", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    OrderSimulation simulation(random, false);
    for (int step = 0; step < 300; ++step) {
      simulation.StepWithFaults();
      const int valid = simulation.ValidLeases();
      RC_ASSERT(valid <= 1);
    }
  }));
}

TEST(OrderProperty, TheTargetVersionIsReachedOnceFaultsEnd) {
  CHECK_TRUE(rc::check("the target is reached and stays", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const bool checks_fencing = *rc::gen::arbitrary<bool>();
    OrderSimulation simulation(random, checks_fencing);
    for (int step = 0; step < 200; ++step) {
      simulation.StepWithFaults();
    }
    for (int step = 0; step < 200; ++step) {
      simulation.StepWithoutFaults();
    }
    RC_ASSERT(simulation.engine.report.version == kTarget);
    RC_ASSERT(simulation.sidecars[1].machine.State() == OrderState::kConfirmed);
  }));
}

TEST(OrderProperty, AConfirmedVersionWasReported) {
  CHECK_TRUE(rc::check("confirmed only by a report", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    OrderSimulation simulation(random, *rc::gen::arbitrary<bool>());
    std::uint64_t reported = 0;
    for (int step = 0; step < 300; ++step) {
      simulation.StepWithFaults();
      reported = std::max(reported, simulation.engine.report.version);
      for (const SimulatedSidecar& sidecar : simulation.sidecars) {
        const bool confirmed =
            sidecar.machine.State() == OrderState::kConfirmed;
        RC_ASSERT(!confirmed || reported >= kTarget);
      }
    }
  }));
}

}  // namespace carobbank
