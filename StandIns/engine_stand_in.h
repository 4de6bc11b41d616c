// Stands in for a model engine: continuous batching, prefix cache, streams,
// orders and reports as docs/PLATFORM.md describes them, with faults.

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

// Control command besides the settings: "restart": {"version": V} cuts all that
// runs and comes back as a new incarnation on that version.
class EngineStandIn final : public StandIn {
 public:
  EngineStandIn(EventLoop& loop, StandInOptions options);

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ControlMember(const std::string& name,
                             const Json::Value& value) override;
  void ShowControl(Json::Value& shown) const override;
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
  void Begin(const CompletionRequest& request,
             std::shared_ptr<HttpResponder> responder);
  void ArmAnswerFaults(Generation& generation);
  void End(const GenerationPointer& generation, std::string ended);
  void OnPeerClosed(const GenerationPointer& generation);

  // Steps.
  void BeginStep();
  void RunDueSteps();
  void EndStep();
  void AddToken(const GenerationPointer& generation);
  void FinishIfDue(const GenerationPointer& generation);
  bool HoldsCrashMarker(const Generation& generation) const;
  void ScheduleStep();
  StepTime Now() const;
  std::chrono::microseconds Scaled(std::int64_t microseconds) const;
  Milliseconds ScaledDelay(std::int64_t milliseconds) const;

  // Orders.
  void FetchWeights(int attempts_left);
  void OnWeights(const Outcome<HttpResponse>& outcome, int attempts_left);
  void EndLoading(bool succeeded);
  // Takes over the loaded version unless running generations must end first.
  void SwitchIfReady();
  void SetVersion(std::uint64_t version);

  void ReportLoad();

  struct VersionChange {
    WallMilliseconds since_ms = 0;
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
  };

  EngineSettings settings;
  // Whether a request came; before, the setting `version` can still change.
  bool has_served = false;
  std::uint64_t version = 0;
  std::uint64_t incarnation = 1;
  // The version that a restart comes back on; nothing keeps the present one.
  std::optional<std::uint64_t> restart_version;
  std::vector<VersionChange> version_changes;

  ContinuousBatch batch;
  PrefixCache cache;
  CacheEventFeed cache_events;
  // Every generation that was ever taken in.
  std::vector<GenerationPointer> generations;
  // Invariant: holds a value exactly while a step runs.
  std::optional<StepTime> step_ends_at;
  // Number of the newest timer; older ones do nothing.
  std::uint64_t step_timer = 0;

  EngineOrders orders;
  // The order's weights are here; the switch may wait for generations.
  bool weights_are_loaded = false;
  std::unique_ptr<HttpClient> client;

  Json::Value load_report;
};

}  // namespace carobbank
