// Samples and appends this gateway's load.

#include "load_publisher.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kSamplePeriod{250};
constexpr std::int64_t kSamplesPerPublication = 8;
// Within ServiceLoadFold::kValid, with room for two lost appends.
constexpr Milliseconds kRefreshPeriod{5'000};
// Smaller changes wait for the refresh.
constexpr std::int64_t kSmallChangePercent = 10;

}  // namespace

LoadPublisher::LoadPublisher(GatewayEnvironment& environment,
                             TopicPartition partition)
    : environment(environment), partition(std::move(partition)) {
  this->Tick();
}

LoadPublisher::~LoadPublisher() {
  *this->alive = false;
}

void LoadPublisher::Tick() {
  this->tick = this->environment.loop.CallAfter(kSamplePeriod, [this] {
    this->Tick();
    this->Sample();
    if (this->samples >= kSamplesPerPublication) {
      this->Publish();
    }
  });
}

void LoadPublisher::Sample() {
  ++this->samples;
  if (!this->environment.configuration) {
    return;
  }
  for (const auto& [name, service] :
       this->environment.configuration->services) {
    if (!service.scale) {
      continue;
    }
    for (const FleetServer* const server :
         this->environment.fleet.Eligible(name)) {
      const std::int64_t in_flight =
          this->environment.loads.InFlight(server->id);
      if (in_flight > 0) {
        this->sums[{name, server->data_center}] += in_flight;
      }
    }
  }
}

bool LoadPublisher::IsDue(const ServiceLoads& loads) const {
  if (loads.empty() && this->appended.empty()) {
    return false;
  }
  if (loads.size() != this->appended.size() ||
      this->environment.clock.Now() - this->appended_at >= kRefreshPeriod) {
    return true;
  }
  return std::any_of(loads.begin(), loads.end(), [this](const auto& entry) {
    const auto before = this->appended.find(entry.first);
    return before == this->appended.end() ||
           std::abs(entry.second - before->second) * 100 >
               before->second * kSmallChangePercent;
  });
}

void LoadPublisher::Publish() {
  ServiceLoads loads;
  for (const auto& [location, sum] : this->sums) {
    loads[location] = (sum + this->samples - 1) / this->samples;
  }
  this->sums.clear();
  this->samples = 0;
  if (this->appending || !this->IsDue(loads)) {
    return;
  }
  this->appending = true;
  const KeyedRecord record =
      EncodeServiceLoads(this->environment.settings.instance, loads);
  this->environment.log.Append(
      this->partition, {record}, std::nullopt,
      [this, alive = this->alive, loads](const AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        this->appending = false;
        if (outcome.status == AppendStatus::kAppended) {
          this->appended = loads;
          this->appended_at = this->environment.clock.Now();
        }
      });
}

}  // namespace carobbank
