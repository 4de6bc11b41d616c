// The progress of an order at each server.

#include "fleet_upgrader.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "leaving_servers.h"

namespace carobbank {

namespace {

// Period of checks while an order is pending or planned orders are not sent
// yet.
constexpr Milliseconds kTickPeriod{100};
// A version change takes most of a second; an earlier status request only costs
// the server time.
constexpr Milliseconds kFirstStatusDelay{800};
constexpr Milliseconds kStatusPeriod{150};
// A server may still carry out an order without a response, but no later than a
// load would have taken; after this timeout the order is sent again.
constexpr Milliseconds kOrderTimeout{1'200};
constexpr Milliseconds kFailureBackoff{300};
constexpr Milliseconds kCallTimeout{1'000};
// Fraction of the possible loads that the plan counts on; the others compensate
// for late servers.
constexpr double kPlannedLoadFraction = 0.85;
// An engine counts as loading for at most this many mean load times.
constexpr double kLongestLoadFactor = 1.5;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kFenced = 412;

}  // namespace

FleetUpgrader::FleetUpgrader(GatewayEnvironment& environment,
                             TopicPartition lease_partition)
    : environment(environment),
      lease(environment, std::move(lease_partition), this->LeaseHandlers()) {
  this->Tick();
}

FleetUpgrader::~FleetUpgrader() {
  *this->alive = false;
}

LogLeaseHandlers FleetUpgrader::LeaseHandlers() {
  LogLeaseHandlers handlers;
  handlers.on_holder_changed = [this] { this->servers.clear(); };
  handlers.on_batch = [this] { this->Reconcile(); };
  return handlers;
}

void FleetUpgrader::SetElected(bool now_elected) {
  this->lease.SetElected(now_elected);
  this->Reconcile();
}

void FleetUpgrader::OnVersionAnnounced(const AnnouncedVersion& version) {
  std::int64_t& newest = this->announced_versions[version.model];
  if (version.version <= newest) {
    return;
  }
  newest = version.version;
  const MonotonicTime now = this->environment.clock.Now();
  AnnouncementInterval& announcement = this->announcements[version.model];
  if (announcement.last != MonotonicTime()) {
    const auto since =
        std::chrono::duration_cast<Milliseconds>(now - announcement.last);
    announcement.interval =
        announcement.interval ? (*announcement.interval + since) / 2 : since;
  }
  announcement.last = now;
  this->Reconcile();
}

void FleetUpgrader::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    this->Reconcile();
  });
}

std::vector<UpgradableServer> FleetUpgrader::Candidates() const {
  std::vector<UpgradableServer> candidates;
  const auto& configuration = this->environment.configuration;
  for (const auto& [service, traits] : configuration->services) {
    if (!traits.is_engine) {
      continue;
    }
    for (const FleetServer* const server :
         this->environment.fleet.Eligible(service)) {
      UpgradableServer& candidate = candidates.emplace_back();
      candidate.id = server->id;
      for (const ServedVersion& model : server->models) {
        candidate.versions[model.model] = model.version;
      }
      const auto state = this->servers.find(server->id);
      candidate.upgrade_pending =
          state != this->servers.end() &&
          (state->second.phase == Phase::kSendingOrder ||
           state->second.phase == Phase::kOrderPending);
    }
  }
  return candidates;
}

void FleetUpgrader::RemoveDepartedServers() {
  std::erase_if(this->servers, [this](const auto& entry) {
    const FleetServer* const server = this->environment.fleet.Find(entry.first);
    return server == nullptr || server->started_at != entry.second.started_at;
  });
}

// The newest version of every model that the servers serve: the announced one,
// or the newest that any server serves when no version of the model has been
// announced.
NumberByModel FleetUpgrader::VersionsToServe(
    std::span<const UpgradableServer> servers) const {
  NumberByModel versions;
  for (const UpgradableServer& server : servers) {
    for (const auto& [model, version] : server.versions) {
      versions[model] = std::max(versions[model], version);
    }
  }
  for (auto& [model, version] : versions) {
    const auto announced = this->announced_versions.find(model);
    version = announced == this->announced_versions.end() ? version
                                                          : announced->second;
  }
  return versions;
}

FleetUpgradeOptions FleetUpgrader::Options() const {
  FleetUpgradeOptions options;
  options.allowed_lag = this->environment.settings.allowed_version_lag;
  return options;
}

double FleetUpgrader::AffordableModelsPerServer(
    std::int64_t server_count) const {
  const FleetUpgradeOptions options = this->Options();
  const auto concurrent_loads = static_cast<double>(MaxConcurrentLoads(
      static_cast<std::size_t>(server_count), options.max_loading_fraction));
  const double available_rate =
      concurrent_loads /
      std::chrono::duration<double>(this->mean_load_time).count() *
      kPlannedLoadFraction;
  double needed_rate = 0;
  for (const auto& [model, announcement] : this->announcements) {
    const auto allocation = this->server_allocation.find(model);
    if (!announcement.interval || allocation == this->server_allocation.end()) {
      return 1.0;
    }
    // Every server loads each (allowed lag + 1)th version.
    needed_rate +=
        static_cast<double>(server_count) /
        static_cast<double>(this->server_allocation.size()) /
        static_cast<double>(options.allowed_lag + 1) /
        std::chrono::duration<double>(*announcement.interval).count();
  }
  return ModelsPerServer(available_rate, needed_rate,
                         this->server_allocation.size());
}

// A model without known demand counts with the mean demand of the others.
void FleetUpgrader::AllocateServersToModels(std::int64_t server_count,
                                            const NumberByModel& versions) {
  std::int64_t models_with_demand = 0;
  std::int64_t sum = 0;
  for (const auto& [model, version] : versions) {
    const auto expected_tokens = this->demand.find(model);
    if (expected_tokens != this->demand.end()) {
      ++models_with_demand;
      sum += expected_tokens->second;
    }
  }
  const std::int64_t mean =
      models_with_demand == 0 ? 1 : sum / models_with_demand;
  NumberByModel demand_of_all;
  for (const auto& [model, version] : versions) {
    const auto expected_tokens = this->demand.find(model);
    demand_of_all[model] =
        expected_tokens == this->demand.end() ? mean : expected_tokens->second;
  }
  this->server_allocation = AllocateServers(
      server_count, this->AffordableModelsPerServer(server_count),
      demand_of_all, this->server_allocation);
}

void FleetUpgrader::Reconcile() {
  if (!this->environment.configuration || !this->HoldsLease()) {
    return;
  }
  this->RemoveDepartedServers();
  const std::vector<UpgradableServer> candidates = this->Candidates();
  for (const UpgradableServer& candidate : candidates) {
    if (candidate.upgrade_pending) {
      if (const auto* server = this->environment.fleet.Find(candidate.id)) {
        this->CheckOrderProgress(*server);
      }
    }
  }
  const NumberByModel versions = this->VersionsToServe(candidates);
  this->AllocateServersToModels(static_cast<std::int64_t>(candidates.size()),
                                versions);
  for (const UpgradeOrder& order : PlanUpgrades(
           candidates, versions, this->server_allocation, this->Options())) {
    if (const auto* server = this->environment.fleet.Find(order.server_id)) {
      this->SendOrder(*server, order);
    }
  }
}

// Checks whether a server has completed its order.
void FleetUpgrader::CheckOrderProgress(const FleetServer& server) {
  Server& state = this->servers[server.id];
  const MonotonicTime now = this->environment.clock.Now();
  if (state.phase != Phase::kOrderPending || !state.order) {
    return;
  }
  if (server.VersionOf(state.order->model) >= state.order->version) {
    this->ReportLoad(server.id, *state.order, Milliseconds(0));
    state.phase = Phase::kUnknown;
    state.order.reset();
    return;
  }
  if (now >= state.not_before) {
    this->RequestStatus(server);
  }
}

void FleetUpgrader::RequestStatus(const FleetServer& server) {
  Server& state = this->servers[server.id];
  state.started_at = server.started_at;
  if (!state.order) {
    state.phase = Phase::kReadingStatus;
  }
  state.not_before = this->environment.clock.Now() + kCallTimeout;
  HttpClientRequest request = this->environment.dialect.StatusRequest(server);
  request.timeout = kCallTimeout;
  this->environment.client.Fetch(std::move(request),
                                 [this, alive = this->alive, id = server.id,
                                  sent_at = this->environment.clock.WallNow()](
                                     const Outcome<HttpResponse>& outcome) {
                                   if (*alive) {
                                     this->ObserveLeaving(id, sent_at, outcome);
                                     this->OnStatusResponse(id, outcome);
                                   }
                                 });
}

void FleetUpgrader::OnStatusResponse(const std::string& id,
                                     const Outcome<HttpResponse>& outcome) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return;
  }
  Server& server = found->second;
  const MonotonicTime now = this->environment.clock.Now();
  const bool answered = outcome.Ok() && outcome.Value().status == kOk;
  const Outcome<EngineStatus> status =
      answered ? this->environment.dialect.DecodeStatus(outcome.Value().body)
               : Outcome<EngineStatus>(Error{ErrorKind::kUnavailable,
                                             "the engine sent no status",
                                             "request the status again"});
  if (!status.Ok()) {
    server.not_before = now + kFailureBackoff;
    if (!server.order) {
      server.phase = Phase::kUnknown;
    }
    return;
  }
  this->ApplyStatus(id, server, status.Value());
  this->Reconcile();
}

void FleetUpgrader::ObserveLeaving(const std::string& id,
                                   WallMilliseconds sent_at,
                                   const Outcome<HttpResponse>& outcome) {
  if (outcome.Ok()) {
    ObserveLeavingServer(this->environment, {id, sent_at},
                         outcome.Value().status, outcome.Value().headers);
  }
}

void FleetUpgrader::ApplyStatus(const std::string& id,
                                Server& server,
                                const EngineStatus& status) {
  const MonotonicTime now = this->environment.clock.Now();
  for (const ServedVersion& model : status.models) {
    this->environment.fleet.ObserveVersion(id, model.model, model.version);
  }
  if (!server.order) {
    server.orders_accepted = status.orders_accepted;
    server.phase = status.busy ? Phase::kUnknown : Phase::kIdle;
    server.not_before = status.busy ? now + kStatusPeriod : now;
    return;
  }
  const FleetServer* const fleet_server = this->environment.fleet.Find(id);
  const bool done =
      fleet_server != nullptr &&
      fleet_server->VersionOf(server.order->model) >= server.order->version;
  // The order was not accepted, or accepted without reaching the version.
  const bool timed_out = !status.busy &&
                         now - server.ordered_at > kOrderTimeout &&
                         status.orders_accepted >= server.orders_accepted;
  if (done || timed_out) {
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(now - server.ordered_at);
    if (done) {
      this->mean_load_time = (this->mean_load_time + elapsed) / 2;
    }
    WriteLog(
        done ? LogLevel::kInfo : LogLevel::kWarning,
        done
            ? "engine order completed"
            : "engine order timed out without reaching the version; will retry",
        {{"server", id},
         {"model", server.order->model},
         {"version", std::to_string(server.order->version)},
         {"took_ms", std::to_string(elapsed.count())}});
    this->ReportLoad(id, *server.order, Milliseconds(0));
    server.orders_accepted = status.orders_accepted;
    server.phase = Phase::kIdle;
    server.order.reset();
    server.not_before = now;
    return;
  }
  server.not_before = now + kStatusPeriod;
}

void FleetUpgrader::ReportLoad(const std::string& server_id,
                               const UpgradeOrder& order,
                               Milliseconds remaining) const {
  if (this->on_load) {
    this->on_load({server_id, order.model, order.version, remaining});
  }
}

void FleetUpgrader::SendOrder(const FleetServer& server,
                              const UpgradeOrder& order) {
  Server& state = this->servers[server.id];
  state.started_at = server.started_at;
  const MonotonicTime now = this->environment.clock.Now();
  if (now < state.not_before) {
    return;
  }
  if (state.phase == Phase::kUnknown) {
    this->RequestStatus(server);
    return;
  }
  if (state.phase != Phase::kIdle) {
    return;
  }
  WriteLog(LogLevel::kInfo, "engine order sent",
           {{"server", server.id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"from_version", std::to_string(server.VersionOf(order.model))}});
  this->ReportLoad(server.id, order,
                   std::chrono::duration_cast<Milliseconds>(
                       this->mean_load_time * kLongestLoadFactor));
  state.phase = Phase::kSendingOrder;
  state.order = order;
  state.ordered_at = now;
  OrderPreconditions preconditions;
  preconditions.holder = this->environment.settings.instance;
  preconditions.fencing_token = this->lease.FencingToken();
  preconditions.expected_orders_accepted = state.orders_accepted;
  HttpClientRequest request =
      this->environment.dialect.OrderRequest(server, order, preconditions);
  request.timeout = kCallTimeout;
  // An order on a connection that the server has just closed would be lost
  // without a trace.
  request.fresh_connection = true;
  this->environment.client.Fetch(std::move(request),
                                 [this, alive = this->alive, id = server.id,
                                  token = preconditions.fencing_token,
                                  sent_at = this->environment.clock.WallNow()](
                                     const Outcome<HttpResponse>& outcome) {
                                   if (*alive) {
                                     this->ObserveLeaving(id, sent_at, outcome);
                                     this->OnOrderResponse(id, token, outcome);
                                   }
                                 });
}

void FleetUpgrader::OnOrderResponse(const std::string& id,
                                    std::uint64_t token,
                                    const Outcome<HttpResponse>& outcome) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.order) {
    return;
  }
  Server& server = found->second;
  const MonotonicTime now = this->environment.clock.Now();
  server.phase = Phase::kOrderPending;
  server.not_before = now + kFirstStatusDelay;
  if (!outcome.Ok()) {
    // The server may still carry out the order, now or late; the precondition
    // voids the order once the server has accepted another one.
    return;
  }
  const int status = outcome.Value().status;
  if (status == kAccepted) {
    ++server.orders_accepted;
    return;
  }
  const UpgradeOrder order = *server.order;
  this->ReportLoad(id, order, Milliseconds(0));
  server.order.reset();
  server.phase = Phase::kUnknown;
  server.not_before = now + kFailureBackoff;
  if (status == kOk) {
    this->environment.fleet.ObserveVersion(id, order.model, order.version);
    return;
  }
  if (status == kConflict) {
    server.not_before = now + kStatusPeriod;
    return;
  }
  if (status == kFenced) {
    // Another holder has used a higher token: wait until its lease expires,
    // then acquire the lease.
    this->lease.OnFenced(token);
  }
  WriteLog(LogLevel::kWarning, "engine refused the order",
           {{"server", id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"status", std::to_string(status)}});
}

}  // namespace carobbank
