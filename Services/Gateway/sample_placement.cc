// Selects the placement strategy of each service.

#include "sample_placement.h"

#include <array>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

struct Mode {
  SamplePlacementMode mode;
  bool (*by_expected_end)(const UnevenPaceDetector& detector);
};

constexpr std::array kModes = {
    Mode{SamplePlacementMode::kLeastRequests,
         [](const UnevenPaceDetector&) { return false; }},
    Mode{SamplePlacementMode::kExpectedEnd,
         [](const UnevenPaceDetector&) { return true; }},
    Mode{
        SamplePlacementMode::kAuto,
        [](const UnevenPaceDetector& detector) { return detector.IsUneven(); }},
};

template <typename Strategy>
const PlacementStrategy& StrategyInstance() {
  static const Strategy strategy;
  return strategy;
}

std::string StrategyName(bool by_expected_end) {
  return by_expected_end ? "expected_end" : "least_requests";
}

}  // namespace

SampleChoice::SampleChoice()
    : strategy(&StrategyInstance<LeastRequestsPlacement>()) {}

void SamplePlacement::Observe(const std::string& name,
                              Service& service,
                              MonotonicTime now) {
  const std::vector<const FleetServer*> servers =
      this->environment.fleet.Eligible(name);
  const ServerPaces& paces = this->environment.loads.Paces();
  service.observed_at = now;
  service.fast_event_ms = FastEventMs(servers, paces, now);
  service.detector.Update(servers, paces, now);
  for (const Mode& mode : kModes) {
    if (mode.mode != this->environment.settings.placement) {
      continue;
    }
    const bool before = service.by_expected_end;
    service.by_expected_end = mode.by_expected_end(service.detector);
    if (service.by_expected_end != before) {
      WriteLog(LogLevel::kInfo, "placement of samples has changed",
               {{"service", name},
                {"placement", StrategyName(service.by_expected_end)},
                {"servers", std::to_string(servers.size())},
                {"pace_spread", std::to_string(service.detector.Spread())},
                {"fast_event_ms", std::to_string(service.fast_event_ms)}});
    }
  }
}

bool SamplePlacement::ByExpectedEnd(const std::string& service) {
  const MonotonicTime now = this->environment.clock.Now();
  Service& observed = this->services[service];
  if (observed.observed_at == MonotonicTime::min() ||
      now - observed.observed_at >= kObservationPeriod) {
    this->Observe(service, observed, now);
  }
  return observed.by_expected_end;
}

const PlacementStrategy& SamplePlacement::StrategyOf(
    const std::string& service) {
  return this->ByExpectedEnd(service)
             ? StrategyInstance<ExpectedEndPlacement>()
             : StrategyInstance<LeastRequestsPlacement>();
}

double SamplePlacement::FastEventMsOf(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.fast_event_ms;
}

void SamplePlacement::CountPlacement(const std::string& service) {
  this->environment.metrics
      .GetCounter(metrics::kSamplePlacements,
                  {{"service", service},
                   {"strategy", StrategyName(this->ByExpectedEnd(service))}})
      .Add();
}

void SamplePlacement::CountMove(const std::string& service) {
  this->environment.metrics
      .GetCounter(metrics::kSampleMoves, {{"service", service}})
      .Add();
}

}  // namespace carobbank
