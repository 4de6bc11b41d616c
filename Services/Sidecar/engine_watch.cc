// Polls the engine's state at a fixed interval, and its load every few rounds.

#include "Sidecar/engine_watch.h"

#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kInterval{250};
// The load report lags behind, so reading it more often gains nothing.
constexpr std::uint64_t kRoundsPerLoadRead = 4;
// Fewer failed reads in a row leave the last reported state in place.
constexpr std::uint32_t kFailuresToUnresponsive = 3;

}  // namespace

EngineWatch::EngineWatch(ControlTimers& timers,
                         EngineControl& engine,
                         std::function<void()> reported)
    : timers(timers), engine(engine), reported(std::move(reported)) {}

void EngineWatch::Start() {
  this->Poll();
}

void EngineWatch::Poll() {
  const std::weak_ptr<bool> token = this->alive;
  if (this->rounds % kRoundsPerLoadRead == 0) {
    this->engine.ReadLoad([this, token](const Outcome<EngineLoad>& outcome) {
      if (!token.expired() && outcome.Ok()) {
        this->load = outcome.Value();
      }
    });
  }
  ++this->rounds;
  this->engine.ReadState([this, token](const Outcome<EngineState>& outcome) {
    if (!token.expired()) {
      this->OnState(outcome);
    }
  });
}

void EngineWatch::OnState(const Outcome<EngineState>& outcome) {
  this->timer = this->timers.CallAfter(kInterval, [this] { this->Poll(); });
  if (outcome.Ok()) {
    this->failures = 0;
    this->state = outcome.Value();
    this->reported();
    return;
  }
  ++this->failures;
  if (this->failures == kFailuresToUnresponsive) {
    this->state.reset();
    this->reported();
  }
}

}  // namespace carobbank
