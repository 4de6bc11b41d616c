// Upgrades the engine to the newest announced version: passes engine reports
// and responses to the order state machine, and sends the orders that it
// issues.

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

// How a model's weights are to be replaced, derived from the documents of its
// services.
struct SwapRules {
  SwapMode mode = SwapMode::kInterrupt;
  SwapPlan plan;
};

// The most careful strategy among the model's services in this pool: a service
// that waits rules out interrupting, and a rolling one makes the swap rolling.
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
  // `pool`: ids of the live servers of the pool, which determine this server's
  // turn in a rolling swap.
  void SetTarget(std::uint64_t version,
                 const SwapRules& rules,
                 const std::vector<std::string>& pool);
  void OnReport(const EngineState& state);

  OrderState State() const { return this->state_machine.State(); }

 private:
  void Advance();
  void OnOrderResponse(const std::string& order_id,
                       const Outcome<bool>& outcome);
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
  // The target version, and when this server may load it.
  std::optional<TargetVersion> target;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
