// Simulates a model engine: continuous batching, prefix cache, streams, orders
// and reports as docs/PLATFORM.md describes them, with injected faults.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/cache_event_feed.h"
#include "StandIns/completion_request.h"
#include "StandIns/continuous_batch.h"
#include "StandIns/engine_orders.h"
#include "StandIns/engine_settings.h"
#include "StandIns/prefix_cache.h"
#include "StandIns/stand_in.h"

namespace carobbank {

// Control command besides the settings: "restart": {"version": V} aborts all
// running generations and starts a new incarnation on that version.
class EngineStandIn final : public StandIn {
 public:
  EngineStandIn(EventLoop& loop, StandInOptions options);

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ApplyControlMember(const std::string& name,
                                  const Json::Value& value) override;
  void WriteControlState(Json::Value& state) const override;
  // {"incarnation", "version", "generations": [...], "versions": [{"since_ms",
  // "version", "incarnation"}]}
  Json::Value Record() const override;
  void OnDown() override;
  void OnUp() override;

 private:
  using StepTime = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::microseconds>;

  // Requests.
  void HandleCompletion(const HttpRequest& request,
                        std::shared_ptr<HttpResponder> responder);
  void HandleCancel(const HttpRequest& request, HttpResponder& responder);
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  void SendState(HttpResponder& responder) const;
  void SendCacheEvents(const HttpRequest& request,
                       HttpResponder& responder) const;

  // Generations.
  void BeginGeneration(const CompletionRequest& request,
                       std::shared_ptr<HttpResponder> responder);
  void ArmResponseFaults(EngineGeneration& generation);
  void EndGeneration(const GenerationPointer& generation,
                     std::string final_state);
  void OnPeerClosed(const GenerationPointer& generation);

  // Steps.
  void BeginStep();
  void RunDueSteps();
  void EndStep();
  void AddToken(const GenerationPointer& generation);
  void FinishIfDue(const GenerationPointer& generation);
  bool ContainsCrashMarker(const EngineGeneration& generation) const;
  void ScheduleStep();
  StepTime Now() const;
  std::chrono::microseconds Scaled(std::int64_t microseconds) const;
  Milliseconds ScaledDelay(std::int64_t milliseconds) const;

  // Orders.
  void FetchWeights(int attempts_left);
  void OnWeights(const Outcome<HttpResponse>& outcome, int attempts_left);
  void EndLoading(bool succeeded);
  // Switches to the loaded version unless running generations must end first.
  void SwitchIfReady();
  void SetVersion(std::uint64_t version);

  void ReportLoad();

  struct VersionChange {
    WallMilliseconds since_ms = 0;
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
  };

  EngineSettings settings;
  // Whether a request has arrived. Until then the setting `version` sets the
  // initial version.
  bool has_received_request = false;
  std::uint64_t version = 0;
  std::uint64_t incarnation = 1;
  // Version after the next restart; without a value the version stays.
  std::optional<std::uint64_t> restart_version;
  std::vector<VersionChange> version_changes;

  ContinuousBatch batch;
  PrefixCache cache;
  CacheEventFeed cache_events;
  // Every generation ever accepted, for Record().
  std::vector<GenerationPointer> generations;
  // Invariant: has a value exactly while a step runs.
  std::optional<StepTime> step_ends_at;
  // Number of the newest step timer; older timers do nothing.
  std::uint64_t step_timer = 0;

  EngineOrders orders;
  // Whether the order's weights are loaded and only the switch, which may wait
  // for running generations, is left.
  bool weights_are_loaded = false;
  std::unique_ptr<HttpClient> client;

  Json::Value load_report;
};

}  // namespace carobbank
