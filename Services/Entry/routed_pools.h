// The traffic thread's view of the backend servers: one router per pool,
// updated by control snapshots, responses and failures.

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
  // Weight version as of the latest heartbeat; 0 when unknown.
  std::uint64_t version = 0;
  LoadHint load;
  // When the load was received; the epoch when never.
  MonotonicTime load_time{};
};

// A backend server's crash as one entry observed it.
struct ServerCrash {
  std::string instance;
  std::uint64_t incarnation = 0;
  // Digest of the request that it ran for this entry; empty for a sample.
  std::string digest;
  // No other request ran there.
  bool exclusive = false;
};

Json::Value ServerCrashToJson(const ServerCrash& crash);
// Missing members stay empty.
ServerCrash ServerCrashFromJson(const Json::Value& value);

// A crash from the log, from another entry or from this one, numbered by the
// control thread.
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

  // Fails without a change when the router options are invalid. Visits all of
  // `servers` only when it is another object than in the last call, or while
  // any server is ejected.
  Result<void> ApplyServers(
      std::shared_ptr<const std::vector<KnownServer>> servers,
      std::span<const KnownServer> watched);
  void ApplyQuarantine(std::span<const std::string> digests);
  // Applies the crashes with a higher number than those applied before.
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

  // Requests that the pool's servers can run at once; servers without a
  // reported batch size count with an assumed one.
  std::uint64_t Capacity(std::string_view pool) const;

  // `listener` receives each crash that an attempt reported, for the log and
  // the control thread.
  void SetCrashListener(std::function<void(const ServerCrash&)> listener) {
    this->crash_listener = std::move(listener);
  }
  // `listener` receives each suspect digest whose request has finished.
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
    // Receives no new work until this time. Set by a drain refusal, a failed
    // link or a crash.
    MonotonicTime ejected_until{};
    bool draining = false;
  };

  Result<void> ApplyAll(std::span<const KnownServer> servers);
  // Adds the server to its router or removes it, depending on whether it may
  // receive new work.
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
  // Some server of `applied` is ejected until its `ejected_until`.
  bool any_ejected = false;
  CrashQuarantine quarantine{CrashQuarantineOptions{}};
  // Invariant: shared crashes up to this number are in `quarantine`.
  std::uint64_t crashes_seen = 0;
  std::function<void(const ServerCrash&)> crash_listener;
  std::function<void(std::string_view)> cleared_listener;
};

}  // namespace carobbank
