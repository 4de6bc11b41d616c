// Polls the engine's state and load. The engine's own report is the only source
// of its state.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "LibPlatform/platform.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

class EngineWatch {
 public:
  // `reported` is called after every report of the state, and when the engine
  // has stopped responding.
  EngineWatch(ControlTimers& timers,
              EngineControl& engine,
              std::function<void()> reported);

  void Start();
  // Unset while the engine doesn't respond.
  const std::optional<EngineState>& State() const { return this->state; }
  const std::optional<EngineLoad>& Load() const { return this->load; }

 private:
  void Poll();
  void OnState(const Outcome<EngineState>& outcome);

  ControlTimers& timers;
  EngineControl& engine;
  std::function<void()> reported;
  std::optional<EngineState> state;
  std::optional<EngineLoad> load;
  std::uint32_t failures = 0;
  std::uint64_t rounds = 0;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
