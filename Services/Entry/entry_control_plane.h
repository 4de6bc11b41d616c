// The entry's control thread: configuration, membership, announced versions and
// quarantine. Publishes snapshots to the traffic thread and handles no
// requests.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibContract/contract.h"
#include "LibLedger/ledger.h"
#include "LibMembership/membership.h"
#include "LibPlatform/platform.h"
#include "LibProcess/process.h"
#include "LibTimeline/timeline.h"
#include "entry_control_snapshot.h"
#include "log_stream_follower.h"
#include "log_writer.h"
#include "server_watch.h"

namespace carobbank {

class EntryControlPlane {
 public:
  using Listener =
      std::function<void(std::shared_ptr<const EntryControlSnapshot>)>;

  // Calls `listener` on the control loop with every new snapshot.
  EntryControlPlane(EventLoop& loop,
                    const Clock& clock,
                    const EntrySettings& settings,
                    const PeerProofSigner& signer,
                    EventTimeline& timeline,
                    MetricRegistry& metrics,
                    Listener listener);
  ~EntryControlPlane();

  void Start();

  // Call these on the control loop, through Post.
  void ReportCrash(const ServerCrash& crash);
  void ReportFinished(std::string_view digest);
  // Another entry reported the crash or the cleared digest.
  void OnPeerCrash(const ServerCrash& crash);
  void OnDigestCleared(std::string_view digest);

 private:
  // Timeout of a call to another entry.
  static constexpr Milliseconds kPeerTimeout{1'500};

  void OnConfigurationRecord(const LogRecord& record);
  void OnConfigurationPage();
  bool ConfigurationCurrent() const;
  void OnServerRecord(const LogRecord& record);
  void OnCrashEntry(const CrashEntry& entry);
  void OnVersionRecord(const LogRecord& record);
  // Returns the digest that this crash quarantines, if any.
  std::optional<std::string> RecordCrash(const ServerCrash& crash);
  void NotifyPeers(std::string_view method, const Json::Value& parameters);
  void WriteServerEntry(const ServerEntry& entry);
  void CatchUpFromPeers();
  void ImportFrom(const Json::Value& exported);
  void WriteSnapshotWhenDue();
  void PollInstanceList();
  void OnListing(const Outcome<InstanceListing>& listing);
  void WatchSubset(std::span<const Instance> servers,
                   std::span<const InstanceLocation> placed_entries);
  // Schedules a publication; changes until then are published together.
  void Changed();
  void PublishAfter(Milliseconds delay);
  void Publish();
  void RecordReachability(std::string_view service,
                          bool& known,
                          bool reachable);
  // Rebuilt only when the view has changed, because there may be thousands.
  std::shared_ptr<const std::vector<KnownServer>> KnownServers();
  std::vector<KnownServer> WatchedServers() const;
  KnownServer ToKnownServer(const Member& member) const;

  EventLoop& loop;
  const Clock& clock;
  const EntrySettings& settings;
  EventTimeline& timeline;
  MetricRegistry& metrics;
  Listener listener;
  Random random;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<LogClient> log;
  std::unique_ptr<InstanceListClient> instance_list;
  HttpPeerRpcClient peers;

  ConfigurationFold configuration;
  LogStreamFollower configuration_follower;
  LogStreamFollower server_follower;
  LogStreamFollower version_follower;
  LogWriter server_writer;

  ServerView view;
  std::shared_ptr<const std::vector<KnownServer>> known_servers;
  // The change count of `view` at which `known_servers` was built.
  std::uint64_t known_change_count = 0;
  ServerWatch watch;
  // Version of the listing applied last.
  std::optional<std::uint64_t> list_version;
  std::vector<KnownEntry> entries;
  std::map<std::string, std::uint64_t, std::less<>> versions;
  CrashQuarantine quarantine{CrashQuarantineOptions{}};
  // Oldest first; bounded.
  std::deque<SharedCrash> crashes;
  std::uint64_t crash_number = 0;
  DataCenterMap data_centers;

  bool configuration_known = false;
  bool log_reachable = false;
  bool list_reachable = false;
  std::int64_t published_offset = kNoRevision;
  // The export of the configuration at `published_offset`.
  Json::Value configuration_export;
  std::unique_ptr<Timer> list_timer;
  std::unique_ptr<Timer> peer_timer;
  std::unique_ptr<Timer> snapshot_timer;
  // A change is pending until `publish_timer` fires.
  bool publish_pending = false;
  std::unique_ptr<Timer> publish_timer;
};

}  // namespace carobbank
