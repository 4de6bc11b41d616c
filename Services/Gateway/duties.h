// The duties that the settings name: counts usage at every gateway, and carries
// out the duties while this instance holds the lease.

#pragma once

#include <memory>

#include "duty_calls.h"
#include "gateway_environment.h"
#include "load_publisher.h"
#include "log_lease.h"
#include "server_scaler.h"
#include "usage_publisher.h"
#include "usage_reporter.h"

namespace carobbank {

class Duties {
 public:
  // Sets `environment.usage` when usage is reported.
  Duties(GatewayEnvironment& environment,
         LogLease& lease,
         ServerScaler::UnfinishedSamples unfinished_samples);
  ~Duties();
  Duties(const Duties&) = delete;
  Duties& operator=(const Duties&) = delete;

  // Names of duties in the settings.
  static constexpr std::string_view kUsageReport = "usage_report";
  static constexpr std::string_view kAutoscale = "autoscale";

  void BeginDrain();
  // Nothing is lost when the process ends now.
  bool Idle() const;

 private:
  GatewayEnvironment& environment;
  DutyCalls calls;
  // Null unless the settings name the duty.
  std::unique_ptr<UsagePublisher> usage_publisher;
  std::unique_ptr<UsageReporter> usage_reporter;
  std::unique_ptr<LoadPublisher> load_publisher;
  std::unique_ptr<ServerScaler> server_scaler;
};

}  // namespace carobbank
