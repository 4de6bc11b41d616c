// Starts the duties that the settings name.

#include "duties.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr std::string_view kUsageCountsTopic = "keyed.carobbank-usage";
constexpr std::string_view kUsageReportsTopic = "keyed.carobbank-usage-reports";
constexpr std::string_view kLoadsTopic = "keyed.carobbank-loads";
// Part of the time until a report is due after which it is decided; the rest is
// for sending it, with retries.
constexpr int kDecidePercent = 40;

UsagePublisherOptions PublisherOptions(const GatewaySettings& settings) {
  UsagePublisherOptions options;
  options.counter.window = std::chrono::seconds(settings.duties.usage_window_s);
  // The rest of a record is for the counts and the punctuation.
  options.counter.max_name_bytes =
      std::min(options.counter.max_name_bytes,
               static_cast<std::size_t>(settings.log_record_bytes) / 2);
  return options;
}

UsageReporterOptions ReporterOptions(const GatewaySettings& settings) {
  UsageReporterOptions options;
  options.reports.window = std::chrono::seconds(settings.duties.usage_window_s);
  options.due_after = std::chrono::seconds(settings.duties.usage_late_s);
  options.reports.decide_after = options.due_after * kDecidePercent / 100;
  options.reports.max_append_bytes =
      static_cast<std::size_t>(settings.log_append_bytes) / 2;
  return options;
}

}  // namespace

Duties::Duties(GatewayEnvironment& environment,
               LogLease& lease,
               ServerScaler::UnfinishedSamples unfinished_samples)
    : environment(environment), calls(environment, lease) {
  const DutySettings& settings = environment.settings.duties;
  if (HasDuty(settings, kUsageReport)) {
    const UsageTopics topics = {{std::string(kUsageCountsTopic), 0},
                                {std::string(kUsageReportsTopic), 0}};
    this->usage_publisher = std::make_unique<UsagePublisher>(
        environment, topics.counts, PublisherOptions(environment.settings));
    environment.usage = this->usage_publisher.get();
    this->usage_reporter =
        std::make_unique<UsageReporter>(environment, lease, this->calls, topics,
                                        ReporterOptions(environment.settings));
  }
  if (HasDuty(settings, kAutoscale)) {
    const TopicPartition loads = {std::string(kLoadsTopic), 0};
    this->load_publisher = std::make_unique<LoadPublisher>(environment, loads);
    this->server_scaler = std::make_unique<ServerScaler>(
        environment, lease, this->calls, loads, std::move(unfinished_samples));
  }
}

Duties::~Duties() {
  this->environment.usage = nullptr;
}

void Duties::BeginDrain() {
  if (this->usage_publisher) {
    this->usage_publisher->BeginDrain();
  }
}

bool Duties::Idle() const {
  return !this->usage_publisher || this->usage_publisher->Idle();
}

}  // namespace carobbank
