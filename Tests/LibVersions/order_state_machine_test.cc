// Tests of the order state machine under lost responses, engine restarts,
// failed loads and late orders of earlier lease holders. They guard against
// orders that are repeated, never retried, or issued without a valid lease.

#include "LibVersions/versions.h"

#include "Support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

OrderAuthority UnlimitedAuthority(std::uint64_t fencing_token) {
  OrderAuthority authority;
  authority.fencing_token = fencing_token;
  return authority;
}

EngineReport AtVersion(std::uint64_t version) {
  EngineReport report;
  report.version = version;
  return report;
}

// A state machine that has just issued the order for version 2.
struct IssuedFixture {
  IssuedFixture() {
    this->machine.SetTarget({"m", 2, MonotonicTime()});
    this->machine.SetAuthority(UnlimitedAuthority(10));
    this->machine.OnReport(AtVersion(1), this->clock.Now());
    this->order = *this->machine.IssueNext(this->clock.Now());
  }

  void Report(EngineReport report) {
    this->machine.OnReport(report, this->clock.Now());
  }

  bool Issues() {
    return this->machine.IssueNext(this->clock.Now()).has_value();
  }

  ManualClock clock;
  OrderStateMachine machine{"server-1", OrderStateMachineOptions()};
  VersionOrder order;
};

}  // namespace

TEST_GROUP(OrderStateMachine){};

TEST(OrderStateMachine, NothingIsIssuedWithoutTargetReportAndAuthority) {
  for (int missing = 0; missing < 3; ++missing) {
    ManualClock clock;
    OrderStateMachine machine("server-1", {});
    if (missing != 0) {
      machine.SetTarget({"m", 2, MonotonicTime()});
    }
    if (missing != 1) {
      machine.SetAuthority(UnlimitedAuthority(10));
    }
    if (missing != 2) {
      machine.OnReport(AtVersion(1), clock.Now());
    }
    CHECK_FALSE(machine.IssueNext(clock.Now()).has_value());
  }
}

TEST(OrderStateMachine, AnOrderIsIssuedOnceAndConfirmedByTheReport) {
  IssuedFixture fixture;
  CHECK_FALSE(fixture.Issues());
  fixture.machine.OnOrderResponse(
      fixture.order.order_id, OrderResponse::kAccepted, fixture.clock.Now());
  EngineReport report = AtVersion(1);
  report.loading = true;
  fixture.Report(report);
  CHECK_TRUE(fixture.machine.State() == OrderState::kTaken);
  report = AtVersion(2);
  report.last_order_id = fixture.order.order_id;
  fixture.Report(report);
  CHECK_TRUE(fixture.machine.State() == OrderState::kConfirmed);
  CHECK_FALSE(fixture.Issues());
}

TEST(OrderStateMachine, ResponsesLeadToTheirStates) {
  struct Case {
    OrderResponse response;
    OrderState state;
    bool issues_later;
  };
  const Case cases[] = {
      {OrderResponse::kAccepted, OrderState::kTaken, false},
      {OrderResponse::kUnknown, OrderState::kUnknown, false},
      {OrderResponse::kNotAccepted, OrderState::kFailed, true},
      {OrderResponse::kFenced, OrderState::kSuperseded, false},
  };
  for (const Case& row : cases) {
    IssuedFixture fixture;
    fixture.machine.OnOrderResponse(fixture.order.order_id, row.response,
                                    fixture.clock.Now());
    CHECK_TRUE(fixture.machine.State() == row.state);
    CHECK_FALSE(fixture.Issues());
    fixture.clock.Advance(Milliseconds(1'000));
    CHECK_EQUAL(row.issues_later, fixture.Issues());
  }
}

TEST(OrderStateMachine, ALateResponseToAnOldOrderIsIgnored) {
  IssuedFixture fixture;
  fixture.machine.OnOrderResponse("server-1/9/1", OrderResponse::kFenced,
                                  fixture.clock.Now());
  CHECK_TRUE(fixture.machine.State() == OrderState::kIssued);
}

TEST(OrderStateMachine, AnUnconfirmedOrderIsIssuedAgainUnderANewId) {
  IssuedFixture fixture;
  fixture.machine.OnOrderResponse(fixture.order.order_id,
                                  OrderResponse::kUnknown, fixture.clock.Now());
  fixture.clock.Advance(Milliseconds(4'999));
  fixture.Report(AtVersion(1));
  CHECK_FALSE(fixture.Issues());
  fixture.clock.Advance(Milliseconds(1));
  fixture.Report(AtVersion(1));
  const auto again = fixture.machine.IssueNext(fixture.clock.Now());
  CHECK_TRUE(again.has_value());
  CHECK_TRUE(again->order_id != fixture.order.order_id);
}

TEST(OrderStateMachine, AReportConfirmsAnOrderWhoseResponseWasLost) {
  IssuedFixture fixture;
  fixture.machine.OnOrderResponse(fixture.order.order_id,
                                  OrderResponse::kUnknown, fixture.clock.Now());
  EngineReport report = AtVersion(2);
  report.last_order_id = fixture.order.order_id;
  fixture.Report(report);
  CHECK_TRUE(fixture.machine.State() == OrderState::kConfirmed);
}

TEST(OrderStateMachine, AFailedLoadIsRetriedAfterABackoff) {
  IssuedFixture fixture;
  EngineReport report = AtVersion(1);
  report.last_order_id = fixture.order.order_id;
  report.last_order_failed = true;
  fixture.Report(report);
  CHECK_TRUE(fixture.machine.State() == OrderState::kFailed);
  CHECK_FALSE(fixture.Issues());
  fixture.clock.Advance(Milliseconds(200));
  CHECK_TRUE(fixture.Issues());
}

TEST(OrderStateMachine, ARestartedEngineGetsANewOrder) {
  IssuedFixture fixture;
  EngineReport report = AtVersion(1);
  report.incarnation = 1;
  fixture.Report(report);
  CHECK_TRUE(fixture.Issues());
}

TEST(OrderStateMachine, ALateOrderOfAnEarlierLeaseHolderIsReverted) {
  IssuedFixture fixture;
  EngineReport report = AtVersion(2);
  report.last_order_id = fixture.order.order_id;
  fixture.Report(report);
  report = AtVersion(1);
  report.last_order_id = "server-1/3/4";
  fixture.Report(report);
  CHECK_TRUE(fixture.Issues());
}

TEST(OrderStateMachine, ANewerFencingTokenStopsTheOrders) {
  IssuedFixture fixture;
  EngineReport report = AtVersion(1);
  report.fencing_token = 11;
  fixture.Report(report);
  CHECK_TRUE(fixture.machine.State() == OrderState::kSuperseded);
  fixture.machine.SetTarget({"m", 3, MonotonicTime()});
  CHECK_FALSE(fixture.Issues());
  fixture.machine.SetAuthority(UnlimitedAuthority(12));
  CHECK_TRUE(fixture.Issues());
}

TEST(OrderStateMachine, TheEngineIsNeverMovedToAnOlderVersion) {
  ManualClock clock;
  OrderStateMachine machine("server-1", {});
  machine.SetTarget({"m", 2, MonotonicTime()});
  machine.SetAuthority(UnlimitedAuthority(10));
  machine.OnReport(AtVersion(3), clock.Now());
  CHECK_FALSE(machine.IssueNext(clock.Now()).has_value());
  CHECK_TRUE(machine.State() == OrderState::kConfirmed);
}

TEST(OrderStateMachine, OrdersAreIssuedOnlyWithinTheLeaseAndAfterTheStartTime) {
  struct Case {
    std::int64_t from_ms;
    std::int64_t until_ms;
    std::int64_t not_before_ms;
    bool issues;
  };
  const Case cases[] = {
      {0, 1, 0, true},  {-9, 9, -9, true}, {1, 9, 0, false},
      {0, 0, 0, false}, {-9, 0, 0, false}, {0, 9, 1, false},
  };
  for (const Case& row : cases) {
    ManualClock clock;
    OrderStateMachine machine("server-1", {});
    OrderAuthority authority;
    authority.valid_from = clock.Now() + Milliseconds(row.from_ms);
    authority.valid_until = clock.Now() + Milliseconds(row.until_ms);
    machine.SetAuthority(authority);
    machine.SetTarget({"m", 2, clock.Now() + Milliseconds(row.not_before_ms)});
    machine.OnReport(AtVersion(1), clock.Now());
    CHECK_EQUAL(row.issues, machine.IssueNext(clock.Now()).has_value());
  }
}

}  // namespace carobbank
