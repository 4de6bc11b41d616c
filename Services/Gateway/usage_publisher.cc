// Schedules the appends of a gateway's usage counts.

#include "usage_publisher.h"

#include <algorithm>
#include <string>
#include <utility>

namespace carobbank {

namespace {

// Number of checks per window.
constexpr int kTicksPerWindow = 20;

// Unique to this process, also after a restart of the instance.
std::string ProcessName(const GatewayEnvironment& environment) {
  return environment.settings.instance + "-" +
         std::to_string(environment.clock.WallNow());
}

Milliseconds DelayOf(const GatewayEnvironment& environment,
                     const UsagePublisherOptions& options) {
  const auto spread = static_cast<std::uint64_t>(options.spread.count());
  return options.final_delay +
         Milliseconds(FastHash(environment.settings.instance) % (spread + 1));
}

}  // namespace

UsagePublisher::UsagePublisher(GatewayEnvironment& environment,
                               TopicPartition partition,
                               UsagePublisherOptions options)
    : environment(environment),
      partition(std::move(partition)),
      options(options),
      delay(DelayOf(environment, options)),
      counter(ProcessName(environment), options.counter) {
  this->done_half_window = this->HalfWindowAt(environment.clock.WallNow());
  this->Tick();
}

UsagePublisher::~UsagePublisher() {
  *this->alive = false;
}

void UsagePublisher::RecordBegun(std::string_view workspace,
                                 WallMilliseconds at) {
  if (!this->counter.Add(workspace, at)) {
    this->environment.metrics
        .GetCounter(metrics::kUsageUncounted, {{"reason", "limit"}})
        .Add();
  }
}

void UsagePublisher::RecordNotRun(std::string_view workspace,
                                  WallMilliseconds at) {
  this->counter.Remove(workspace, at);
}

void UsagePublisher::BeginDrain() {
  this->draining = true;
}

bool UsagePublisher::Idle() const {
  return !this->appending &&
         this->counter
             .Unappended(this->environment.clock.WallNow(), Milliseconds(0))
             .empty();
}

std::int64_t UsagePublisher::HalfWindowAt(WallMilliseconds at) const {
  return (at - this->delay.count()) * 2 / this->options.counter.window.count();
}

void UsagePublisher::Tick() {
  this->tick = this->environment.loop.CallAfter(
      this->options.counter.window / kTicksPerWindow, [this] { this->Tick(); });
  const WallMilliseconds now = this->environment.clock.WallNow();
  const std::int64_t half_window = this->HalfWindowAt(now);
  if (this->appending || this->environment.clock.Now() < this->not_before ||
      (half_window <= this->done_half_window && !this->draining)) {
    return;
  }
  // The counts of a window that has just begun are left to the next append.
  const Milliseconds min_age =
      this->draining ? Milliseconds(0) : this->options.counter.window / 2;
  std::vector<UsageCountsRecord> records =
      this->counter.Unappended(now, min_age);
  if (records.empty()) {
    this->done_half_window = half_window;
    return;
  }
  this->Append(std::move(records), half_window);
}

void UsagePublisher::Append(std::vector<UsageCountsRecord> records,
                            std::int64_t half_window) {
  std::vector<KeyedRecord> encoded;
  std::size_t bytes = 0;
  const auto limit =
      static_cast<std::size_t>(this->environment.settings.log_append_bytes) / 2;
  for (const UsageCountsRecord& record : records) {
    KeyedRecord& keyed = encoded.emplace_back(EncodeUsageCounts(record));
    bytes += keyed.key.size() + keyed.value.size();
    if (bytes > limit && encoded.size() > 1) {
      encoded.pop_back();
      break;
    }
  }
  records.resize(encoded.size());
  this->appending = true;
  this->environment.log.Append(
      this->partition, encoded, std::nullopt,
      [this, alive = this->alive, half_window,
       records = std::move(records)](const AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        this->appending = false;
        if (outcome.status == AppendStatus::kAppended) {
          this->counter.OnAppended(records);
          this->done_half_window = half_window;
          return;
        }
        if (outcome.status == AppendStatus::kUnknown) {
          this->counter.OnAppendUnknown();
        }
        this->not_before =
            this->environment.clock.Now() + this->options.retry_pause;
      });
}

}  // namespace carobbank
