// Contract of EngineControl, run against the fake and against the HTTP adapter
// with the engine's stand-in.

#include <optional>
#include <string>

#include "Contracts/contract_case.h"
#include "LibPlatform/platform.h"
#include "Support/fake_engine_control.h"
#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

enum class EngineFault {
  kDown,
  // The next order is executed and its response is lost.
  kLostResponse,
  kIgnoresFencing,
  // The next order fails at its end.
  kFailingOrder,
};

class EngineSubject {
 public:
  virtual ~EngineSubject() = default;
  virtual Outcome<EngineState> ReadState() = 0;
  virtual Outcome<EngineLoad> ReadLoad() = 0;
  virtual Outcome<CacheEvents> ReadCacheEvents() = 0;
  virtual Outcome<bool> Order(const LoadVersionOrder& order) = 0;
  virtual void InjectFault(EngineFault fault) = 0;
  // Orders accepted from now on stay in progress.
  virtual void HoldOrders() = 0;
  // Waits until the order in progress has ended.
  virtual void FinishOrder() = 0;
  // Restarts the engine with `version`; it loses its connections and state.
  virtual void Restart(std::uint64_t version) = 0;
};

class FakeEngineSubject final : public EngineSubject {
 public:
  FakeEngineSubject() {
    this->engine.state.model = "model";
    this->engine.state.version = 1;
    this->engine.state.incarnation = 1;
    this->engine.load.max_batch = 16;
  }

  Outcome<EngineState> ReadState() override {
    std::optional<Outcome<EngineState>> result;
    this->engine.ReadState([&](auto outcome) { result = std::move(outcome); });
    return *result;
  }

  Outcome<EngineLoad> ReadLoad() override {
    std::optional<Outcome<EngineLoad>> result;
    this->engine.ReadLoad([&](auto outcome) { result = std::move(outcome); });
    return *result;
  }

  Outcome<CacheEvents> ReadCacheEvents() override {
    std::optional<Outcome<CacheEvents>> result;
    this->engine.ReadCacheEvents(
        0, [&](auto outcome) { result = std::move(outcome); });
    return *result;
  }

  Outcome<bool> Order(const LoadVersionOrder& order) override {
    std::optional<Outcome<bool>> result;
    this->engine.LoadVersion(
        order, [&](auto outcome) { result = std::move(outcome); });
    return *result;
  }

  void InjectFault(EngineFault fault) override {
    switch (fault) {
      case EngineFault::kDown:
        this->engine.outage = true;
        break;
      case EngineFault::kLostResponse:
        this->engine.lost_answers = 1;
        break;
      case EngineFault::kIgnoresFencing:
        this->engine.checks_fencing = false;
        break;
      case EngineFault::kFailingOrder:
        this->next_order_fails = true;
        break;
    }
  }

  void HoldOrders() override {}
  void FinishOrder() override {
    this->engine.FinishOrder(!this->next_order_fails);
  }
  void Restart(std::uint64_t version) override {
    this->engine.Restart(version);
  }

 private:
  FakeEngineControl engine;
  bool next_order_fails = false;
};

class HttpEngineSubject final : public EngineSubject {
 public:
  HttpEngineSubject()
      : engine(CreateHttpEngineControl(this->host.Client(), this->host.Url())) {
  }

  Outcome<EngineState> ReadState() override {
    return this->host.Thread().Await<Outcome<EngineState>>(
        [&](auto done) { this->engine->ReadState(done); });
  }

  Outcome<EngineLoad> ReadLoad() override {
    return this->host.Thread().Await<Outcome<EngineLoad>>(
        [&](auto done) { this->engine->ReadLoad(done); });
  }

  Outcome<CacheEvents> ReadCacheEvents() override {
    return this->host.Thread().Await<Outcome<CacheEvents>>(
        [&](auto done) { this->engine->ReadCacheEvents(0, done); });
  }

  Outcome<bool> Order(const LoadVersionOrder& order) override {
    return this->host.Thread().Await<Outcome<bool>>(
        [&](auto done) { this->engine->LoadVersion(order, done); });
  }

  void InjectFault(EngineFault fault) override {
    switch (fault) {
      case EngineFault::kDown:
        this->host.ControlDirectly(
            R"({"crash_down_ms": 3600000, "crash": true})");
        while (this->ReadState().Ok()) {
        }
        break;
      case EngineFault::kLostResponse:
        this->host.ControlDirectly(R"({"lose_order_answers": 1})");
        break;
      case EngineFault::kIgnoresFencing:
        this->host.ControlDirectly(R"({"checks_fencing": false})");
        break;
      case EngineFault::kFailingOrder:
        this->host.ControlDirectly(R"({"fail_orders": 1})");
        break;
    }
  }

  void HoldOrders() override {
    this->host.ControlDirectly(R"({"load_ms": 3600000})");
  }

  void FinishOrder() override {
    while (this->ReadState().Value().loading) {
    }
  }

  void Restart(std::uint64_t version) override {
    const std::uint64_t before = this->ReadState().Value().incarnation;
    this->host.ControlDirectly(
        R"({"crash_down_ms": 1, "restart": {"version": )" +
        std::to_string(version) + "}}");
    auto state = this->ReadState();
    while (!state.Ok() || state.Value().incarnation == before) {
      state = this->ReadState();
    }
  }

 private:
  StandInHost host{"engine", R"({"load_ms": 1})"};
  std::unique_ptr<EngineControl> engine;
};

LoadVersionOrder OrderFor(std::string id,
                          std::uint64_t fencing_token,
                          std::uint64_t version) {
  LoadVersionOrder order;
  order.order_id = std::move(id);
  order.fencing_token = fencing_token;
  order.model = "model";
  order.version = version;
  return order;
}

// Cases.

void ReportsAreReadable(EngineSubject& subject) {
  const EngineState state = subject.ReadState().Value();
  STRCMP_EQUAL("model", state.model.c_str());
  CHECK_EQUAL(1U, state.version);
  CHECK_EQUAL(1U, state.incarnation);
  CHECK_FALSE(state.loading);
  CHECK_EQUAL(16U, subject.ReadLoad().Value().max_batch);
  CHECK_EQUAL(0U, subject.ReadCacheEvents().Value().events.size());
}

void OrderChangesTheVersion(EngineSubject& subject) {
  CHECK_TRUE(subject.Order(OrderFor("a", 5, 2)).Ok());
  subject.FinishOrder();
  const EngineState state = subject.ReadState().Value();
  CHECK_EQUAL(2U, state.version);
  STRCMP_EQUAL("a", state.last_order_id.c_str());
  CHECK_FALSE(state.last_order_failed);
  CHECK_EQUAL(5U, state.fencing_token);
}

void FailedOrderKeepsTheVersion(EngineSubject& subject) {
  subject.InjectFault(EngineFault::kFailingOrder);
  CHECK_TRUE(subject.Order(OrderFor("a", 1, 2)).Ok());
  subject.FinishOrder();
  const EngineState state = subject.ReadState().Value();
  CHECK_EQUAL(1U, state.version);
  CHECK_TRUE(state.last_order_failed);
}

void StaleOrderIsFenced(EngineSubject& subject) {
  subject.Order(OrderFor("new", 9, 2));
  subject.FinishOrder();
  CheckError(ErrorKind::kFenced, subject.Order(OrderFor("old", 8, 1)));
  CHECK_EQUAL(2U, subject.ReadState().Value().version);
}

void EngineThatIgnoresFencingAcceptsStaleOrders(EngineSubject& subject) {
  subject.InjectFault(EngineFault::kIgnoresFencing);
  subject.Order(OrderFor("new", 9, 2));
  subject.FinishOrder();
  CHECK_TRUE(subject.Order(OrderFor("old", 8, 1)).Ok());
  subject.FinishOrder();
  CHECK_EQUAL(1U, subject.ReadState().Value().version);
}

void SecondOrderConflicts(EngineSubject& subject) {
  subject.HoldOrders();
  CHECK_TRUE(subject.Order(OrderFor("a", 1, 2)).Ok());
  CHECK_TRUE(subject.ReadState().Value().loading);
  CheckError(ErrorKind::kConflict, subject.Order(OrderFor("b", 1, 3)));
}

void RefusedOrderStillRaisesTheFencingToken(EngineSubject& subject) {
  subject.HoldOrders();
  subject.Order(OrderFor("a", 1, 2));
  CheckError(ErrorKind::kConflict, subject.Order(OrderFor("b", 7, 3)));
  CheckError(ErrorKind::kFenced, subject.Order(OrderFor("c", 6, 3)));
}

void RepeatedOrderIsAcceptedOnce(EngineSubject& subject) {
  subject.HoldOrders();
  CHECK_TRUE(subject.Order(OrderFor("a", 1, 2)).Ok());
  CHECK_TRUE(subject.Order(OrderFor("a", 1, 2)).Ok());
}

// The first call makes the connection a reused one, on which a client might
// silently repeat a failed request; the repetition would fail this case.
void LostResponseIsUnknownAndTheOrderAccepted(EngineSubject& subject) {
  CHECK_TRUE(subject.ReadState().Ok());
  subject.InjectFault(EngineFault::kLostResponse);
  CheckError(ErrorKind::kOutcomeUnknown, subject.Order(OrderFor("a", 1, 2)));
  subject.FinishOrder();
  STRCMP_EQUAL("a", subject.ReadState().Value().last_order_id.c_str());
  CHECK_EQUAL(2U, subject.ReadState().Value().version);
}

void EngineThatIsDownIsUnavailable(EngineSubject& subject) {
  subject.InjectFault(EngineFault::kDown);
  CheckError(ErrorKind::kUnavailable, subject.ReadState());
  CheckError(ErrorKind::kUnavailable, subject.ReadLoad());
  CheckError(ErrorKind::kUnavailable, subject.Order(OrderFor("a", 1, 2)));
}

void RestartIsANewIncarnationWithoutOldState(EngineSubject& subject) {
  subject.Order(OrderFor("a", 5, 2));
  subject.FinishOrder();
  subject.Restart(4);
  const EngineState state = subject.ReadState().Value();
  CHECK_EQUAL(2U, state.incarnation);
  CHECK_EQUAL(4U, state.version);
  CHECK_EQUAL(0U, state.fencing_token);
  STRCMP_EQUAL("", state.last_order_id.c_str());
}

constexpr ContractCase<EngineSubject> kEngineCases[] = {
    {"reports are readable", ReportsAreReadable},
    {"an order changes the version", OrderChangesTheVersion},
    {"a failed order keeps the version", FailedOrderKeepsTheVersion},
    {"a stale order is fenced", StaleOrderIsFenced},
    {"fencing may be ignored", EngineThatIgnoresFencingAcceptsStaleOrders},
    {"a second order conflicts", SecondOrderConflicts},
    {"a refused order raises the fencing token",
     RefusedOrderStillRaisesTheFencingToken},
    {"a repeated order is accepted once", RepeatedOrderIsAcceptedOnce},
    {"a lost response is unknown", LostResponseIsUnknownAndTheOrderAccepted},
    {"an engine that is down is unavailable", EngineThatIsDownIsUnavailable},
    {"a restart clears the state", RestartIsANewIncarnationWithoutOldState},
};

}  // namespace

TEST_GROUP(EngineContract){};

TEST(EngineContract, Fake) {
  RunContract<EngineSubject>(
      kEngineCases, [] { return std::make_unique<FakeEngineSubject>(); });
}

TEST(EngineContract, HttpAdapterWithStandIn) {
  RunContract<EngineSubject>(
      kEngineCases, [] { return std::make_unique<HttpEngineSubject>(); });
}

}  // namespace carobbank
