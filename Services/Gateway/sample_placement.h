// The placement strategy of each service's samples: by expected end while the
// service's servers differ in speed, unless the settings name one. Keeps the
// lengths of outputs that were completed here.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "gateway_environment.h"

namespace carobbank {

// How the server of one sample is chosen; by default as for reward calls.
struct SampleChoice {
  const PlacementStrategy* strategy;
  SampleWork work;

  SampleChoice();
};

class SamplePlacement {
 public:
  explicit SamplePlacement(GatewayEnvironment& environment)
      : environment(environment) {}

  // Whether samples of the service are placed by expected end. Observes the
  // service's servers, at most once in kObservationPeriod.
  bool ByExpectedEnd(const std::string& service);
  const PlacementStrategy& StrategyOf(const std::string& service);
  // Milliseconds between two events at a fast server of the service, as last
  // observed by ByExpectedEnd(); 0 when unknown.
  double FastEventMsOf(const std::string& service) const;
  void CountPlacement(const std::string& service);
  void CountMove(const std::string& service);

  WorkEstimator estimator;

  static constexpr Milliseconds kObservationPeriod{500};

 private:
  struct Service {
    UnevenPaceDetector detector;
    double fast_event_ms = 0;
    MonotonicTime observed_at = MonotonicTime::min();
    bool by_expected_end = false;
  };

  void Observe(const std::string& name, Service& service, MonotonicTime now);

  GatewayEnvironment& environment;
  // Those that the configuration's routes named since the start.
  std::map<std::string, Service, std::less<>> services;
};

}  // namespace carobbank
