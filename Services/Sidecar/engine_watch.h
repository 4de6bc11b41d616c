// Reads the engine's own reports. What it reports is what is believed.

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
  // `reported` is called after every report of the state, and after the engine
  // stopped answering.
  EngineWatch(ControlTimers& timers,
              EngineControl& engine,
              std::function<void()> reported);

  void Start();
  // Nothing while the engine does not answer.
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
