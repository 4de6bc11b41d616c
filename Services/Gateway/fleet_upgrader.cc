// Claims, and the life of an order at each server.

#include "fleet_upgrader.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr std::string_view kClaimKey = "holder";
// While a server changes, and while a plan is not carried out.
constexpr Milliseconds kTickPeriod{100};
// A change takes most of a second; asking sooner only costs the server time.
constexpr Milliseconds kFirstLook{800};
constexpr Milliseconds kNextLook{150};
// Without an answer to its order a server may still carry it out, but no later
// than it would have taken to load; then the order is given again.
constexpr Milliseconds kUnansweredPatience{1'200};
constexpr Milliseconds kFailedPause{300};
constexpr Milliseconds kCallTimeout{1'000};
// Parts of the lease after which the holder renews its claim, and after which
// it gives no more orders without a renewal: what is left covers orders under
// way.
constexpr int kRenewalPercent = 33;
constexpr int kUsableLeasePercent = 80;
// Part of the loads that are possible that the plan counts on; the others make
// good for servers that were late.
constexpr double kUsableLoads = 0.85;
// Stands for a holder whose claim was not read.
constexpr std::string_view kUnknownHolder = "?";

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kFenced = 412;

}  // namespace

FleetUpgrader::FleetUpgrader(GatewayEnvironment& environment,
                             TopicPartition claims)
    : environment(environment),
      claims(environment.loop,
             environment.clock,
             environment.log,
             std::move(claims),
             {.wait = Milliseconds(1'000)},
             this->ClaimHandlers()) {
  this->claims.Start();
  this->Tick();
}

FleetUpgrader::~FleetUpgrader() {
  *this->alive = false;
}

LogFollowerHandlers FleetUpgrader::ClaimHandlers() {
  LogFollowerHandlers handlers;
  handlers.on_record = [this](const KeyedLogRecord& record) {
    this->TakeClaim(record);
  };
  handlers.on_batch = [this] { this->Reconcile(); };
  return handlers;
}

void FleetUpgrader::TakeClaim(const KeyedLogRecord& record) {
  if (record.record.key != kClaimKey) {
    return;
  }
  this->claimed_at = this->environment.clock.BootNow();
  if (this->claim_holder == record.record.value) {
    return;
  }
  this->claim_holder = record.record.value;
  this->tenure_offset = record.offset;
  this->servers.clear();
  WriteLog(LogLevel::kInfo, "orders to engines have a new holder",
           {{"holder", this->claim_holder},
            {"fencing_token", std::to_string(this->tenure_offset + 1)}});
}

void FleetUpgrader::SetElected(bool now_elected) {
  this->elected = now_elected;
  this->Reconcile();
}

void FleetUpgrader::Shutdown() {
  this->shut_down = true;
}

void FleetUpgrader::OnVersionAnnounced(const AnnouncedVersion& version) {
  std::int64_t& known = this->named[version.model];
  if (version.version <= known) {
    return;
  }
  known = version.version;
  const MonotonicTime now = this->environment.clock.Now();
  NamingPace& pace = this->naming[version.model];
  if (pace.last != MonotonicTime()) {
    const auto since =
        std::chrono::duration_cast<Milliseconds>(now - pace.last);
    pace.interval = pace.interval ? (*pace.interval + since) / 2 : since;
  }
  pace.last = now;
  this->Reconcile();
}

bool FleetUpgrader::IsHolder() const {
  return this->claim_holder == this->environment.settings.instance;
}

bool FleetUpgrader::HoldsLease() const {
  const Milliseconds limit =
      Milliseconds(this->environment.settings.order_lease_ms) *
      kUsableLeasePercent / 100;
  return this->IsHolder() && !this->shut_down &&
         this->environment.clock.BootNow() - this->claimed_at < limit;
}

bool FleetUpgrader::ClaimInUse() const {
  return !this->claim_holder.empty() &&
         this->environment.clock.BootNow() - this->claimed_at <
             Milliseconds(this->environment.settings.order_lease_ms);
}

void FleetUpgrader::ClaimOrRenew() {
  const Milliseconds renewal =
      Milliseconds(this->environment.settings.order_lease_ms) *
      kRenewalPercent / 100;
  const bool renewal_due =
      this->IsHolder() &&
      this->environment.clock.BootNow() - this->claimed_at >= renewal;
  const bool vacant = this->elected && !this->ClaimInUse();
  if (!this->shut_down && (renewal_due || vacant)) {
    this->Claim();
  }
}

void FleetUpgrader::Claim() {
  if (this->claiming || !this->claims.Synced()) {
    return;
  }
  this->claiming = true;
  const std::vector<KeyedRecord> records = {
      {std::string(kClaimKey), this->environment.settings.instance}};
  const MonotonicTime began = this->environment.clock.BootNow();
  this->environment.log.Append(
      this->claims.Partition(), records, this->claims.Next(),
      [this, kept = this->alive, records, began](const AppendOutcome& outcome) {
        if (!*kept) {
          return;
        }
        this->claiming = false;
        if (outcome.status == AppendStatus::kAppended) {
          this->claims.DeliverOwnAppend(records, outcome.offset, outcome.end);
          // The waiting read may have brought it before.
          this->claimed_at = this->IsHolder() ? began : this->claimed_at;
        } else {
          this->claims.Refresh([](bool /*fresh*/) {});
        }
      });
}

void FleetUpgrader::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    this->ClaimOrRenew();
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
      const auto known = this->servers.find(server->id);
      candidate.upgrade_pending = known != this->servers.end() &&
                                  (known->second.phase == Phase::kOrdering ||
                                   known->second.phase == Phase::kChanging);
    }
  }
  return candidates;
}

void FleetUpgrader::Forget() {
  std::erase_if(this->servers, [this](const auto& entry) {
    const FleetServer* const server = this->environment.fleet.Find(entry.first);
    return server == nullptr || server->started_at != entry.second.started_at;
  });
}

// The newest version of every model that the servers serve: of one that nobody
// has named a version of yet, the newest that is served.
NumberByModel FleetUpgrader::VersionsToServe(
    std::span<const UpgradableServer> servers) const {
  NumberByModel versions;
  for (const UpgradableServer& server : servers) {
    for (const auto& [model, version] : server.versions) {
      versions[model] = std::max(versions[model], version);
    }
  }
  for (auto& [model, version] : versions) {
    const auto known = this->named.find(model);
    version = known == this->named.end() ? version : known->second;
  }
  return versions;
}

FleetUpgradeOptions FleetUpgrader::Options() const {
  FleetUpgradeOptions options;
  options.allowed_lag = this->environment.settings.allowed_version_lag;
  return options;
}

double FleetUpgrader::Overlap(std::int64_t server_count) const {
  const FleetUpgradeOptions options = this->Options();
  const auto at_once = static_cast<double>(MaxConcurrentLoads(
      static_cast<std::size_t>(server_count), options.max_loading_fraction));
  const double usable = at_once /
                        std::chrono::duration<double>(this->load_time).count() *
                        kUsableLoads;
  double needed = 0;
  for (const auto& [model, pace] : this->naming) {
    const auto share = this->shares.find(model);
    if (!pace.interval || share == this->shares.end()) {
      return 1.0;
    }
    // Every server loads each (allowed lag + 1)th version.
    needed += static_cast<double>(server_count) /
              static_cast<double>(this->shares.size()) /
              static_cast<double>(options.allowed_lag + 1) /
              std::chrono::duration<double>(*pace.interval).count();
  }
  return ModelsPerServer(usable, needed, this->shares.size());
}

// A model without a known step counts like the mean of the others.
void FleetUpgrader::ShareOut(std::int64_t server_count,
                             const NumberByModel& versions) {
  std::int64_t known = 0;
  std::int64_t sum = 0;
  for (const auto& [model, version] : versions) {
    const auto wanted = this->demand.find(model);
    if (wanted != this->demand.end()) {
      ++known;
      sum += wanted->second;
    }
  }
  const std::int64_t mean = known == 0 ? 1 : sum / known;
  NumberByModel complete;
  for (const auto& [model, version] : versions) {
    const auto wanted = this->demand.find(model);
    complete[model] = wanted == this->demand.end() ? mean : wanted->second;
  }
  this->shares = AllocateServers(server_count, this->Overlap(server_count),
                                 complete, this->shares);
}

void FleetUpgrader::Reconcile() {
  if (!this->environment.configuration || !this->HoldsLease()) {
    return;
  }
  this->Forget();
  const std::vector<UpgradableServer> candidates = this->Candidates();
  for (const UpgradableServer& candidate : candidates) {
    if (candidate.upgrade_pending) {
      if (const auto* server = this->environment.fleet.Find(candidate.id)) {
        this->Advance(*server);
      }
    }
  }
  const NumberByModel versions = this->VersionsToServe(candidates);
  this->ShareOut(static_cast<std::int64_t>(candidates.size()), versions);
  for (const UpgradeOrder& order :
       PlanUpgrades(candidates, versions, this->shares, this->Options())) {
    if (const auto* server = this->environment.fleet.Find(order.server_id)) {
      this->Order(*server, order);
    }
  }
}

// Looks whether a server has completed its order.
void FleetUpgrader::Advance(const FleetServer& server) {
  Server& known = this->servers[server.id];
  const MonotonicTime now = this->environment.clock.Now();
  if (known.phase != Phase::kChanging || !known.order) {
    return;
  }
  if (server.VersionOf(known.order->model) >= known.order->version) {
    known.phase = Phase::kUnknown;
    known.order.reset();
    return;
  }
  if (now >= known.not_before) {
    this->Ask(server);
  }
}

void FleetUpgrader::Ask(const FleetServer& server) {
  Server& known = this->servers[server.id];
  known.started_at = server.started_at;
  if (!known.order) {
    known.phase = Phase::kAsking;
  }
  known.not_before = this->environment.clock.Now() + kCallTimeout;
  HttpClientRequest request = this->environment.dialect.StatusRequest(server);
  request.timeout = kCallTimeout;
  this->environment.client.Fetch(std::move(request),
                                 [this, kept = this->alive, id = server.id](
                                     const Outcome<HttpResponse>& outcome) {
                                   if (*kept) {
                                     this->Asked(id, outcome);
                                   }
                                 });
}

void FleetUpgrader::Asked(const std::string& id,
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
               : Outcome<EngineStatus>(
                     Error{ErrorKind::kUnavailable, "no status", "ask again"});
  if (!status.Ok()) {
    server.not_before = now + kFailedPause;
    if (!server.order) {
      server.phase = Phase::kUnknown;
    }
    return;
  }
  this->TakeStatus(id, server, status.Value());
  this->Reconcile();
}

void FleetUpgrader::TakeStatus(const std::string& id,
                               Server& server,
                               const EngineStatus& status) {
  const MonotonicTime now = this->environment.clock.Now();
  for (const ServedVersion& model : status.models) {
    this->environment.fleet.ObserveVersion(id, model.model, model.version);
  }
  if (!server.order) {
    server.orders_accepted = status.orders_accepted;
    server.phase = status.busy ? Phase::kUnknown : Phase::kIdle;
    server.not_before = status.busy ? now + kNextLook : now;
    return;
  }
  const FleetServer* const known = this->environment.fleet.Find(id);
  const bool done = known != nullptr && known->VersionOf(server.order->model) >=
                                            server.order->version;
  // Not taken, or taken without reaching the version.
  const bool without_effect = !status.busy &&
                              now - server.ordered_at > kUnansweredPatience &&
                              status.orders_accepted >= server.orders_accepted;
  if (done || without_effect) {
    const auto took =
        std::chrono::duration_cast<Milliseconds>(now - server.ordered_at);
    if (done) {
      this->load_time = (this->load_time + took) / 2;
    }
    WriteLog(done ? LogLevel::kInfo : LogLevel::kWarning,
             done ? "order complete" : "order without effect",
             {{"server", id},
              {"model", server.order->model},
              {"version", std::to_string(server.order->version)},
              {"took_ms", std::to_string(took.count())}});
    server.orders_accepted = status.orders_accepted;
    server.phase = Phase::kIdle;
    server.order.reset();
    server.not_before = now;
    return;
  }
  server.not_before = now + kNextLook;
}

void FleetUpgrader::Order(const FleetServer& server,
                          const UpgradeOrder& order) {
  Server& known = this->servers[server.id];
  known.started_at = server.started_at;
  const MonotonicTime now = this->environment.clock.Now();
  if (now < known.not_before) {
    return;
  }
  if (known.phase == Phase::kUnknown) {
    this->Ask(server);
    return;
  }
  if (known.phase != Phase::kIdle) {
    return;
  }
  WriteLog(LogLevel::kInfo, "order given",
           {{"server", server.id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"from_version", std::to_string(server.VersionOf(order.model))}});
  known.phase = Phase::kOrdering;
  known.order = order;
  known.ordered_at = now;
  OrderPreconditions terms;
  terms.holder = this->environment.settings.instance;
  // Tokens begin at 1, offsets at 0.
  terms.fencing_token = this->tenure_offset + 1;
  terms.expected_orders_accepted = known.orders_accepted;
  HttpClientRequest request =
      this->environment.dialect.OrderRequest(server, order, terms);
  request.timeout = kCallTimeout;
  // An order on a connection that the server has just closed would be lost
  // without a trace.
  request.fresh_connection = true;
  this->environment.client.Fetch(
      std::move(request),
      [this, kept = this->alive, id = server.id,
       token = this->tenure_offset](const Outcome<HttpResponse>& outcome) {
        if (*kept) {
          this->Ordered(id, token, outcome);
        }
      });
}

void FleetUpgrader::Ordered(const std::string& id,
                            std::uint64_t token,
                            const Outcome<HttpResponse>& outcome) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.order) {
    return;
  }
  Server& server = found->second;
  const MonotonicTime now = this->environment.clock.Now();
  server.phase = Phase::kChanging;
  server.not_before = now + kFirstLook;
  if (!outcome.Ok()) {
    // It may be carried out, now or late; its condition voids it after another.
    return;
  }
  const int status = outcome.Value().status;
  if (status == kAccepted) {
    ++server.orders_accepted;
    return;
  }
  const UpgradeOrder order = *server.order;
  server.order.reset();
  server.phase = Phase::kUnknown;
  server.not_before = now + kFailedPause;
  if (status == kOk) {
    this->environment.fleet.ObserveVersion(id, order.model, order.version);
    return;
  }
  if (status == kConflict) {
    server.not_before = now + kNextLook;
    return;
  }
  if (status == kFenced && this->tenure_offset == token) {
    // Another holder has used a higher token: wait its lease out, then claim.
    this->claim_holder = std::string(kUnknownHolder);
    this->claimed_at = this->environment.clock.BootNow();
  }
  WriteLog(LogLevel::kWarning, "order refused",
           {{"server", id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"status", std::to_string(status)}});
}

}  // namespace carobbank
