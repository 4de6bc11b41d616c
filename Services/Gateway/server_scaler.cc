// Observes the services with limits and orders their numbers of servers.

#include "server_scaler.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr std::string_view kDuty = "autoscale";
constexpr Milliseconds kTickPeriod{500};
// Every gateway appends its load, so several records are read at a time.
constexpr Milliseconds kReadPause{500};
// Pause after a call that was not confirmed.
constexpr Milliseconds kRetryPause{1'000};

}  // namespace

ServerScaler::ServerScaler(GatewayEnvironment& environment,
                           LogLease& lease,
                           DutyCalls& calls,
                           TopicPartition loads_partition,
                           UnfinishedSamples unfinished_samples)
    : environment(environment),
      lease(lease),
      calls(calls),
      loads_partition(std::move(loads_partition)),
      unfinished_samples(std::move(unfinished_samples)) {
  this->Tick();
}

ServerScaler::~ServerScaler() {
  *this->alive = false;
}

LogFollowerHandlers ServerScaler::LoadHandlers() {
  LogFollowerHandlers handlers;
  handlers.on_record = [this](const KeyedLogRecord& record) {
    this->loads.Apply(record.record, this->environment.clock.BootNow());
  };
  return handlers;
}

void ServerScaler::Follow() {
  if (this->follower) {
    return;
  }
  this->follower = std::make_unique<LogFollower>(
      this->environment.loop, this->environment.clock, this->environment.log,
      this->loads_partition,
      LogFollowerOptions{.wait = Milliseconds(1'000),
                         .pause_after_records = kReadPause},
      this->LoadHandlers());
  this->follower->Start();
}

void ServerScaler::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    if (!this->lease.HoldsLease()) {
      this->follower.reset();
      this->loads.Clear();
      this->scaled.clear();
      return;
    }
    if (!this->environment.configuration) {
      return;
    }
    this->Follow();
    // Without the present loads any number would be a guess.
    if (!this->follower->Synced() || !this->follower->Reachable()) {
      return;
    }
    const MonotonicTime now = this->environment.clock.BootNow();
    for (const auto& [location, observation] : this->Observe(now)) {
      this->Update(location, observation, now);
    }
    this->DeleteOldLoads(now);
  });
}

std::map<ServiceLocation, ScaleObservation> ServerScaler::Observe(
    MonotonicTime now) {
  std::map<ServiceLocation, ScaleObservation> observations;
  for (const auto& [location, scaled] : this->scaled) {
    observations[location].slots_per_server = scaled.slots_per_server;
  }
  for (const auto& [name, service] :
       this->environment.configuration->services) {
    if (!service.scale) {
      continue;
    }
    for (const FleetServer* const server :
         this->environment.fleet.Eligible(name)) {
      ScaleObservation& observation = observations[{name, server->data_center}];
      ++observation.ready;
      observation.slots_per_server = server->slots;
    }
  }
  for (const auto& [location, requests] : this->loads.Sum(now)) {
    const auto found = observations.find(location);
    if (found != observations.end()) {
      found->second.running += requests;
    }
  }
  this->AddWaitingSamples(observations);
  return observations;
}

// The samples that are at no server are divided among the data centers by their
// servers.
void ServerScaler::AddWaitingSamples(
    std::map<ServiceLocation, ScaleObservation>& observations) const {
  for (const auto& [service, samples] : this->unfinished_samples()) {
    std::int64_t running = 0;
    std::int64_t ready = 0;
    for (const auto& [location, observation] : observations) {
      if (location.service == service) {
        running += observation.running;
        ready += observation.ready;
      }
    }
    const std::int64_t waiting = std::max<std::int64_t>(samples - running, 0);
    for (auto& [location, observation] : observations) {
      if (location.service == service && ready > 0) {
        observation.waiting += waiting * observation.ready / ready;
      }
    }
  }
}

void ServerScaler::Update(const ServiceLocation& location,
                          const ScaleObservation& observation,
                          MonotonicTime now) {
  const auto& services = this->environment.configuration->services;
  const auto service = services.find(location.service);
  if (service == services.end() || !service->second.scale) {
    this->scaled.erase(location);
    return;
  }
  const ScaleLimits& limits = *service->second.scale;
  Scaled& state = this->scaled.try_emplace(location, limits).first->second;
  state.policy.SetLimits(limits);
  state.slots_per_server = observation.slots_per_server;
  const std::int64_t servers = state.policy.Update(observation, now);
  // Servers ordered by the holder before may be booting.
  const bool may_order =
      servers > observation.ready || state.policy.KnowsHoldTime(now);
  const bool is_confirmed = state.confirmed == servers &&
                            state.confirmed_token == this->lease.FencingToken();
  if (may_order && !is_confirmed && now >= state.not_before) {
    this->Send(location, state, servers);
  }
}

void ServerScaler::Send(const ServiceLocation& location,
                        Scaled& state,
                        std::int64_t servers) {
  const std::uint64_t token = this->lease.FencingToken();
  const bool sent = this->calls.Send(
      kDuty, location.service + "/" + location.data_center,
      [&](const DutyCaller& caller) {
        return this->environment.dialect.ServerCountRequest(
            {location.service, location.data_center, servers}, caller);
      },
      [this, alive = this->alive, location, servers,
       token](DutyCallOutcome outcome) {
        if (!*alive) {
          return;
        }
        const auto found = this->scaled.find(location);
        if (found == this->scaled.end()) {
          return;
        }
        Scaled& answered = found->second;
        if (outcome == DutyCallOutcome::kAccepted) {
          answered.confirmed = servers;
          answered.confirmed_token = token;
        } else {
          answered.not_before = this->environment.clock.BootNow() + kRetryPause;
        }
      });
  if (sent && state.confirmed != servers) {
    WriteLog(LogLevel::kInfo, "number of servers ordered",
             {{"service", location.service},
              {"data_center", location.data_center},
              {"servers", std::to_string(servers)}});
  }
}

void ServerScaler::DeleteOldLoads(MonotonicTime now) {
  const std::vector<KeyedRecord> deletions = this->loads.Deletions(now);
  if (this->deleting || deletions.empty()) {
    return;
  }
  this->deleting = true;
  this->environment.log.Append(
      this->loads_partition, deletions, std::nullopt,
      [this, alive = this->alive](const AppendOutcome& /*outcome*/) {
        if (*alive) {
          this->deleting = false;
        }
      });
}

}  // namespace carobbank
