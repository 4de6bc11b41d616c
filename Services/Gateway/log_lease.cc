// Reads, acquires and renews the lease.

#include "log_lease.h"

#include <string>
#include <utility>
#include <vector>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr std::string_view kLeaseKey = "holder";
// Period of checks whether the lease has to be acquired or renewed.
constexpr Milliseconds kTickPeriod{100};

}  // namespace

LogLease::LogLease(GatewayEnvironment& environment,
                   TopicPartition partition,
                   LogLeaseHandlers handlers)
    : environment(environment),
      handlers(std::move(handlers)),
      state(environment.settings.instance,
            Milliseconds(environment.settings.order_lease_ms)),
      follower(environment.loop,
               environment.clock,
               environment.log,
               std::move(partition),
               {.wait = Milliseconds(1'000)},
               this->FollowerHandlers()) {
  this->follower.Start();
  this->Tick();
}

LogLease::~LogLease() {
  *this->alive = false;
}

LogFollowerHandlers LogLease::FollowerHandlers() {
  LogFollowerHandlers follower_handlers;
  follower_handlers.on_record = [this](const KeyedLogRecord& record) {
    this->ApplyRecord(record);
  };
  follower_handlers.on_batch = [this] {
    if (this->handlers.on_batch) {
      this->handlers.on_batch();
    }
  };
  return follower_handlers;
}

void LogLease::ApplyRecord(const KeyedLogRecord& record) {
  if (record.record.key != kLeaseKey) {
    return;
  }
  if (!this->state.OnRecord(record.record.value, record.offset,
                            this->environment.clock.BootNow())) {
    return;
  }
  WriteLog(LogLevel::kInfo, "order lease has a new holder",
           {{"holder", this->state.Holder()},
            {"fencing_token", std::to_string(this->state.FencingToken())}});
  if (this->handlers.on_holder_changed) {
    this->handlers.on_holder_changed();
  }
}

bool LogLease::HoldsLease() const {
  return !this->shut_down &&
         this->state.Usable(this->environment.clock.BootNow());
}

std::optional<MonotonicTime> LogLease::ConfirmedUntil() const {
  return this->shut_down ? std::nullopt : this->state.ConfirmedUntil();
}

void LogLease::OnFenced(std::uint64_t token) {
  this->state.OnFenced(token, this->environment.clock.BootNow());
}

void LogLease::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    if (!this->shut_down &&
        this->state.AppendDue(this->elected,
                              this->environment.clock.BootNow())) {
      this->AppendRecord();
    }
  });
}

void LogLease::AppendRecord() {
  if (this->appending || !this->follower.Synced()) {
    return;
  }
  this->appending = true;
  const std::vector<KeyedRecord> records = {
      {std::string(kLeaseKey), this->environment.settings.instance}};
  const MonotonicTime began = this->environment.clock.BootNow();
  this->environment.log.Append(
      this->follower.Partition(), records, this->follower.Next(),
      [this, alive = this->alive, records,
       began](const AppendOutcome& outcome) {
        if (!*alive) {
          return;
        }
        this->appending = false;
        if (outcome.status == AppendStatus::kAppended) {
          this->follower.DeliverOwnAppend(records, outcome.offset, outcome.end);
          // The waiting read may have delivered the record already.
          this->state.OnAppended(began);
        } else {
          this->follower.Refresh([](bool /*fresh*/) {});
        }
      });
}

}  // namespace carobbank
