// Updates the routers from the control thread's snapshots and from the outcomes
// of attempts.

#include "routed_pools.h"

#include <algorithm>
#include <utility>

#include "problems.h"

namespace carobbank {

namespace {

constexpr int kServiceUnavailable = 503;
// A server that failed receives no new work until heartbeats have had time to
// check it.
constexpr Milliseconds kEjectionAfterLinkFailure{500};
constexpr Milliseconds kEjectionAfterCrash{1'000};
constexpr Milliseconds kRetryAfterNoServer{200};
constexpr Milliseconds kRetryAfterNoVersion{100};
constexpr std::uint32_t kAssumedBatch = 8;

}  // namespace

Json::Value ServerCrashToJson(const ServerCrash& crash) {
  Json::Value value;
  value["instance"] = crash.instance;
  value["incarnation"] = Json::UInt64(crash.incarnation);
  value["digest"] = crash.digest;
  value["alone"] = crash.exclusive;
  return value;
}

ServerCrash ServerCrashFromJson(const Json::Value& value) {
  ServerCrash crash;
  crash.instance = JsonString(value, "instance");
  crash.incarnation =
      static_cast<std::uint64_t>(JsonInteger(value, "incarnation"));
  crash.digest = JsonString(value, "digest");
  crash.exclusive = JsonBoolean(value, "alone", false);
  return crash;
}

Result<Router*> RoutedPools::RouterOf(const std::string& pool) {
  Pool& known = this->pools[pool];
  if (!known.router) {
    BOOST_LEAF_ASSIGN(known.router, Router::Create(this->options));
  }
  return known.router.get();
}

Result<void> RoutedPools::ApplyServers(
    std::shared_ptr<const std::vector<KnownServer>> servers,
    std::span<const KnownServer> watched) {
  if (servers != this->applied || this->any_ejected) {
    this->applied = std::move(servers);
    BOOST_LEAF_CHECK(this->ApplyAll(*this->applied));
  }
  for (const KnownServer& server : watched) {
    this->ApplyReport(server);
  }
  return {};
}

Result<void> RoutedPools::ApplyAll(std::span<const KnownServer> servers) {
  this->any_ejected = false;
  std::set<std::string_view> listed;
  for (const KnownServer& server : servers) {
    listed.insert(server.instance.id);
    BOOST_LEAF_CHECK(this->ApplyOne(server));
  }
  for (auto& item : this->pools) {
    Pool& pool = item.second;
    std::erase_if(pool.present, [&](const std::string& id) {
      if (listed.contains(id)) {
        return false;
      }
      pool.router->RemoveServer(id);
      return true;
    });
  }
  return {};
}

Result<void> RoutedPools::ApplyOne(const KnownServer& server) {
  const Instance& instance = server.instance;
  Server& known = this->servers[instance.id];
  if (known.incarnation != instance.incarnation) {
    known = Server();
    known.incarnation = instance.incarnation;
  }
  known.pool = instance.pool;
  known.address = instance.address;
  const bool ejected = this->clock.Now() < known.ejected_until;
  this->any_ejected = this->any_ejected || ejected;
  BOOST_LEAF_AUTO(router, this->RouterOf(instance.pool));
  Pool& pool = this->pools[instance.pool];
  const bool usable = server.takes_new_work && !known.draining && !ejected;
  if (!usable) {
    if (pool.present.erase(instance.id) > 0) {
      router->RemoveServer(instance.id);
    }
    return {};
  }
  router->Servers().Upsert(instance.id, instance.data_center,
                           server.latency_ms);
  pool.present.insert(instance.id);
  this->ApplyReport(server);
  return {};
}

void RoutedPools::ApplyReport(const KnownServer& server) {
  ServerIndex index = kNoServer;
  ServerTable* const table = this->TableOf(server.instance.id, index);
  if (!table) {
    return;
  }
  if (server.version > table->At(index).version) {
    table->SetVersion(index, server.version);
  }
  if (server.load_time != MonotonicTime()) {
    table->SetLoad(index, {server.load_time, server.load.running,
                           server.load.waiting, 0, server.load.max_batch});
  }
}

void RoutedPools::ApplyQuarantine(std::span<const std::string> digests) {
  for (const std::string& digest : digests) {
    this->quarantine.OnQuarantined(digest);
  }
}

void RoutedPools::ApplyCrashes(std::span<const SharedCrash> crashes) {
  for (const SharedCrash& shared : crashes) {
    if (shared.number <= this->crashes_seen) {
      continue;
    }
    this->crashes_seen = shared.number;
    this->quarantine.OnCrash(
        {shared.crash.instance, {shared.crash.digest}, shared.crash.exclusive});
  }
}

std::variant<AttemptTarget, Problem> RoutedPools::Choose(
    const SelectionRequest& request) {
  const auto pool = this->pools.find(request.pool);
  if (pool == this->pools.end()) {
    return this->ProblemOf(RouteFailure::kNoServer);
  }
  RouteRequest route;
  route.service_class = request.service_class;
  route.versions = request.versions;
  if (!request.prompt.empty()) {
    route.prefix_hash = FastHash(request.prompt.substr(
        0, std::min(request.prompt.size(), kCachePrefixCharacters)));
  }
  route.digest = request.digest;
  route.excluded = request.excluded;
  route.idle_only = request.idle_only || request.exclusive;
  Router& router = *pool->second.router;
  RouteChoice choice = router.Choose(route, this->random);
  if (choice.failure == RouteFailure::kAllExcluded) {
    route.excluded = {};
    choice = router.Choose(route, this->random);
  }
  if (!choice.Found()) {
    return this->ProblemOf(choice.failure);
  }
  router.OnSent(choice.server, route, this->clock.Now());
  const std::string& id = router.Servers().At(choice.server).id;
  return AttemptTarget{id, this->servers.find(id)->second.address};
}

void RoutedPools::OnStarted(std::string_view, std::string_view) {}

void RoutedPools::OnEnded(std::string_view instance,
                          std::string_view,
                          AttemptOutcome outcome) {
  ServerIndex index = kNoServer;
  if (ServerTable* table = this->TableOf(instance, index); table) {
    table->OnFinished(index, this->clock.Now());
  }
  switch (outcome) {
    case AttemptOutcome::kLinkFailed:
      this->Eject(instance, kEjectionAfterLinkFailure);
      break;
    case AttemptOutcome::kBackendCrashed:
      this->Eject(instance, kEjectionAfterCrash);
      break;
    case AttemptOutcome::kDraining:
      if (const auto known = this->servers.find(instance);
          known != this->servers.end()) {
        known->second.draining = true;
      }
      this->Eject(instance, kEjectionAfterLinkFailure);
      break;
    case AttemptOutcome::kComplete:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kCancelled:
      break;
  }
}

void RoutedPools::Eject(std::string_view instance, Milliseconds duration) {
  const auto known = this->servers.find(instance);
  if (known == this->servers.end()) {
    return;
  }
  known->second.ejected_until = this->clock.Now() + duration;
  this->any_ejected = true;
  const auto pool = this->pools.find(known->second.pool);
  if (pool != this->pools.end()) {
    pool->second.router->RemoveServer(instance);
    pool->second.present.erase(std::string(instance));
  }
}

ServerTable* RoutedPools::TableOf(std::string_view instance,
                                  ServerIndex& index) {
  const auto known = this->servers.find(instance);
  if (known == this->servers.end()) {
    return nullptr;
  }
  const auto pool = this->pools.find(known->second.pool);
  if (pool == this->pools.end()) {
    return nullptr;
  }
  ServerTable& table = pool->second.router->Servers();
  index = table.Find(instance);
  return index == kNoServer ? nullptr : &table;
}

void RoutedPools::OnLoad(std::string_view instance, const LoadHint& load) {
  ServerIndex index = kNoServer;
  if (ServerTable* table = this->TableOf(instance, index); table) {
    table->SetLoad(index, {this->clock.Now(), load.running, load.waiting, 0,
                           load.max_batch});
  }
}

void RoutedPools::OnVersion(std::string_view instance, std::uint64_t version) {
  ServerIndex index = kNoServer;
  if (ServerTable* table = this->TableOf(instance, index);
      table && table->At(index).version != version) {
    table->SetVersion(index, version);
  }
}

void RoutedPools::OnCrash(std::string_view instance,
                          std::string_view digest,
                          bool exclusive) {
  ServerCrash crash;
  crash.instance = std::string(instance);
  crash.digest = std::string(digest);
  crash.exclusive = exclusive;
  if (const auto known = this->servers.find(instance);
      known != this->servers.end()) {
    crash.incarnation = known->second.incarnation;
  }
  const auto quarantined =
      digest.empty() ? std::nullopt
                     : this->quarantine.OnCrash(
                           {crash.instance, {crash.digest}, exclusive});
  if (quarantined) {
    Event event;
    event.kind = EventKind::kQuarantine;
    event.server = crash.instance;
    event.detail = *quarantined;
    this->timeline.Record(std::move(event));
  }
  if (this->crash_listener) {
    this->crash_listener(crash);
  }
}

void RoutedPools::OnFinished(std::string_view digest) {
  const FinishEffect effect = this->quarantine.OnFinished(digest);
  if (effect == FinishEffect::kLifted && this->cleared_listener) {
    this->cleared_listener(digest);
  }
}

std::size_t RoutedPools::CrashCount(std::string_view digest) const {
  switch (this->quarantine.StatusOf(digest)) {
    case DigestStatus::kClear:
      return 0;
    case DigestStatus::kSuspect:
      return 1;
    case DigestStatus::kQuarantined:
      return 2;
  }
  return 0;
}

std::uint64_t RoutedPools::Capacity(std::string_view pool) const {
  const auto known = this->pools.find(pool);
  if (known == this->pools.end() || !known->second.router) {
    return 0;
  }
  const ServerTable& table = known->second.router->Servers();
  std::uint64_t capacity = 0;
  for (const std::string& id : known->second.present) {
    const ServerIndex index = table.Find(id);
    const std::uint32_t batch =
        index == kNoServer ? 0 : table.At(index).load.max_batch;
    capacity += batch == 0 ? kAssumedBatch : batch;
  }
  return capacity;
}

Problem RoutedPools::ProblemOf(RouteFailure failure) const {
  Problem problem;
  problem.status = kServiceUnavailable;
  problem.remedy = "send the request again after the time in Retry-After";
  problem.retry_after = kRetryAfterNoServer;
  switch (failure) {
    case RouteFailure::kNoVersion:
      problem.code = "no_version";
      problem.detail = "no server has an allowed weight version yet";
      problem.retry_after = kRetryAfterNoVersion;
      return problem;
    case RouteFailure::kNoneIdle:
      problem.code = "no_server";
      problem.detail = "no idle server is available";
      return problem;
    case RouteFailure::kQuarantined:
      return QuarantinedProblem(Execution::kNotRun);
    case RouteFailure::kNone:
    case RouteFailure::kNoServer:
    case RouteFailure::kAllExcluded:
      break;
  }
  problem.code = "no_server";
  problem.detail = "no server accepts new work";
  return problem;
}

}  // namespace carobbank
