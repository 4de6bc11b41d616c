// Tests of asking for permits: the order of servers, silent homes, and permits
// that expire.

#include <map>

#include "Services/Gateway/send_permits.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// Advances with each reading, like a clock during a long computation.
class TickingClock final : public Clock {
 public:
  MonotonicTime Now() const override { return this->BootNow(); }
  WallMilliseconds WallNow() const override { return 1'000'000; }
  MonotonicTime BootNow() const override {
    this->now += this->step;
    return this->now;
  }

  MonotonicTime::duration step = std::chrono::microseconds(300);

 private:
  mutable MonotonicTime now = MonotonicTime(std::chrono::hours(1));
};

constexpr std::size_t kServers = 40;

}  // namespace

TEST_GROUP(SendPermits) {
  GatewayFixture fixture;
  TickingClock clock;
  GatewayEnvironment environment{fixture.settings,
                                 fixture.dialect,
                                 clock,
                                 fixture.random,
                                 fixture.runner.loop,
                                 fixture.client,
                                 fixture.log,
                                 fixture.metrics,
                                 fixture.fleet,
                                 fixture.loads,
                                 fixture.quarantine,
                                 fixture.retries,
                                 limits,
                                 permits,
                                 fixture.configuration,
                                 fixture.admission};
  ServerLimits limits{environment};
  PermitHomeLocation home{MonotonicTime(), ""};
  SendPermits permits{environment,
                      {[this](std::string_view) { return this->home; }, [] {}},
                      [] {}};

  void setup() override {
    for (std::size_t index = 0; index < kServers; ++index) {
      const std::string id = "app-" + std::to_string(index);
      this->fixture.AddServer(id, "app");
      this->limits.Observe({id, 0, "r1"}, 200, {{"Id", "r1"}, {"Limit", "5"}});
    }
  }
  // Lets answers arrive.
  void Run() {
    this->fixture.runner.RunFor(Milliseconds(5));
  }
  PermitOutcome Acquire(std::vector<std::string> server_ids,
                        Milliseconds longest_wait) {
    std::optional<PermitOutcome> result;
    this->permits.Acquire(
        std::move(server_ids), longest_wait,
        [&](const PermitOutcome& outcome) { result = outcome; });
    this->fixture.runner.RunUntil([&] { return result.has_value(); });
    return *result;
  }
};

TEST(SendPermits, TheOrderOfServersChangesWhileTheyAreCompared) {
  this->clock.step = Milliseconds(0);
  // The first server is free 20 ms before the second.
  for (const auto& [id, calls] :
       std::map<std::string, int>{{"app-0", 12}, {"app-1", 13}}) {
    this->limits.Observe({id, 0, "r1"}, 200, {{"Id", "r1"}, {"Limit", "50"}});
    for (int call = 0; call < calls; ++call) {
      this->Acquire({id}, Milliseconds(1'000));
    }
  }
  this->clock.step = Milliseconds(30);
  const PermitOutcome outcome =
      this->Acquire({"app-0", "app-1"}, Milliseconds(10'000));
  STRCMP_EQUAL("app-0", outcome.permit->server_id.c_str());
}

TEST(SendPermits, APermitIsUsedAfterItExpired) {
  this->clock.step = Milliseconds(0);
  const std::vector<const FleetServer*> servers =
      this->fixture.fleet.Eligible("app");
  this->permits.RequestOwed(servers, kServers);
  this->Run();
  CHECK_TRUE(this->permits.MaySendOwed(*servers[0]));
  this->clock.step = SendPermits::kValidity;
  CHECK_FALSE(this->permits.MaySendOwed(*servers[0]));
}

TEST(SendPermits, AGatewayWithoutAHomeSendsBeforeItKnowsOfOthers) {
  this->clock.step = Milliseconds(0);
  this->home = {std::nullopt, ""};
  const PermitOutcome outcome = this->Acquire({"app-0"}, Milliseconds(1'000));
  CHECK_FALSE(outcome.permit.has_value());
  CHECK_TRUE(outcome.retry_after.count() > 0);
}

TEST(SendPermits, AGatewayWhoseHomeIsSilentSendsNothingOrTheWholeLimit) {
  this->clock.step = Milliseconds(0);
  CHECK_TRUE(this->Acquire({"app-0"}, Milliseconds(0)).permit.has_value());
  this->home = {std::nullopt, "lost:9"};
  this->fixture.client.answer = [](const HttpClientRequest&) {
    ScriptedResponse response;
    response.ending = ScriptedResponse::Ending::kNotSent;
    return response;
  };
  std::size_t granted = 0;
  // 200 seconds at 5 requests a second.
  for (int ms = 0; ms < 200'000; ms += 50) {
    this->clock.step = Milliseconds(50);
    this->clock.BootNow();
    this->clock.step = Milliseconds(0);
    granted +=
        this->Acquire({"app-0"}, Milliseconds(0)).permit.has_value() ? 1 : 0;
  }
  CHECK_TRUE(granted >= 400);
  CHECK_TRUE(granted <= 520);
}

}  // namespace carobbank
