// The traffic thread's view of the backend servers: one router per pool, fed by
// control snapshots, answers and failures.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include "LibMembership/membership.h"
#include "LibPlatform/platform.h"
#include "LibRouting/routing.h"
#include "LibTimeline/timeline.h"
#include "server_selector.h"

namespace carobbank {

// A backend server as the control thread sees it.
struct KnownServer {
  Instance instance;
  bool takes_new_work = false;
  double latency_ms = 0;
  // As of the latest heartbeat; 0 when unknown.
  std::uint64_t version = 0;
  LoadHint load;
  // When the load was measured; the epoch when never.
  MonotonicTime load_time{};
};

// A backend server's crash as an entry met it.
struct ServerCrash {
  std::string instance;
  std::uint64_t incarnation = 0;
  // What it ran for this entry.
  std::string digest;
  // Nothing else ran there.
  bool exclusive = false;
};

Json::Value ServerCrashToJson(const ServerCrash& crash);
// Members that are missing stay empty.
ServerCrash ServerCrashFromJson(const Json::Value& value);

// A crash that other entries told of, numbered by the control thread.
struct SharedCrash {
  std::uint64_t number = 0;
  ServerCrash crash;
};

class RoutedPools final : public ServerSelector {
 public:
  RoutedPools(const Clock& clock,
              Random& random,
              EventTimeline& timeline,
              RouterOptions options)
      : clock(clock),
        random(random),
        timeline(timeline),
        options(std::move(options)) {}

  // Fails when the router options are wrong; nothing changes then.
  // `servers` is looked at as a whole only when it is another object than the
  // last time, or when a server that failed may take work again.
  Result<void> ApplyServers(
      std::shared_ptr<const std::vector<KnownServer>> servers,
      std::span<const KnownServer> watched);
  void ApplyQuarantine(std::span<const std::string> digests);
  // Takes in those that are newer than the ones seen before.
  void ApplyCrashes(std::span<const SharedCrash> crashes);

  std::variant<AttemptTarget, Problem> Choose(
      const SelectionRequest& request) override;
  void OnStarted(std::string_view instance, std::string_view service) override;
  void OnEnded(std::string_view instance,
               std::string_view service,
               AttemptOutcome outcome) override;
  void OnLoad(std::string_view instance, const LoadHint& load) override;
  void OnVersion(std::string_view instance, std::uint64_t version) override;
  void OnCrash(std::string_view instance,
               std::string_view digest,
               bool exclusive) override;
  void OnFinished(std::string_view digest) override;
  std::size_t CrashCount(std::string_view digest) const override;

  // Requests that the pool's servers run at once, as far as is known.
  std::uint64_t Capacity(std::string_view pool) const;

  // Called with each crash for the log and the control thread.
  void SetCrashListener(std::function<void(const ServerCrash&)> listener) {
    this->crash_listener = std::move(listener);
  }
  // Called with each suspect digest that was finished after all.
  void SetClearedListener(std::function<void(std::string_view)> listener) {
    this->cleared_listener = std::move(listener);
  }

 private:
  struct Pool {
    std::unique_ptr<Router> router;
    std::set<std::string> present;
  };
  struct Server {
    std::string pool;
    std::string address;
    std::uint64_t incarnation = 0;
    // No new work until the control thread has news of it: set by a refusal
    // for drain, a failed link or a crash.
    MonotonicTime ejected_until{};
    bool draining = false;
  };

  Result<void> ApplyAll(std::span<const KnownServer> servers);
  // Adds it, or takes it out, as its standing says.
  Result<void> ApplyOne(const KnownServer& server);
  void ApplyReport(const KnownServer& server);
  Result<Router*> RouterOf(const std::string& pool);
  ServerTable* TableOf(std::string_view instance, ServerIndex& index);
  void Eject(std::string_view instance, Milliseconds duration);
  Problem ProblemOf(RouteFailure failure) const;

  const Clock& clock;
  Random& random;
  EventTimeline& timeline;
  RouterOptions options;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Server, std::less<>> servers;
  std::shared_ptr<const std::vector<KnownServer>> applied;
  // Some server of `applied` is left alone until its `ejected_until`.
  bool any_ejected = false;
  CrashQuarantine quarantine{CrashQuarantineOptions{}};
  // Invariant: shared crashes up to this number are in `quarantine`.
  std::uint64_t crashes_seen = 0;
  std::function<void(const ServerCrash&)> crash_listener;
  std::function<void(std::string_view)> cleared_listener;
};

}  // namespace carobbank
