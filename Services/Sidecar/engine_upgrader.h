// Brings the engine to the newest announced version: feeds the order machine
// with reports and answers, and sends what it issues.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibContract/contract.h"
#include "LibPlatform/platform.h"
#include "LibTimeline/timeline.h"
#include "LibVersions/versions.h"

namespace carobbank {

// How the documents of a model's services want it changed.
struct SwapRules {
  SwapMode mode = SwapMode::kInterrupt;
  SwapPlan plan;
};

// The most careful wish of the services that this pool answers from the model:
// one that waits rules out interrupting, one that rolls makes all roll.
SwapRules SwapRulesOf(const ConfigurationState& configuration,
                      std::string_view pool,
                      std::string_view model);

class EngineUpgrader {
 public:
  EngineUpgrader(const Clock& clock,
                 EngineControl& engine,
                 EventTimeline& timeline,
                 MetricRegistry& registry,
                 std::string instance,
                 std::string model,
                 std::function<void()> on_fenced);

  void SetAuthority(const std::optional<OrderAuthority>& authority);
  // `pool`: ids of the live servers of the pool, for the order of waves.
  void SetTarget(std::uint64_t version,
                 const SwapRules& rules,
                 const std::vector<std::string>& pool);
  void OnReport(const EngineState& state);

  OrderState State() const { return this->state_machine.State(); }

 private:
  void Advance();
  void OnAnswer(const std::string& order_id, const Outcome<bool>& outcome);
  void Record(std::string_view detail, std::uint64_t version);

  const Clock& clock;
  EngineControl& engine;
  EventTimeline& timeline;
  MetricRegistry& registry;
  std::string instance;
  std::string model;
  std::function<void()> on_fenced;
  OrderStateMachine state_machine;
  OrderState recorded_state = OrderState::kIdle;
  SwapMode mode = SwapMode::kInterrupt;
  // The version that the target names, and its turn.
  std::optional<TargetVersion> target;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
