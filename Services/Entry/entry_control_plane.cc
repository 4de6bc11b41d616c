// Follows the control streams and the instance list, and publishes snapshots.

#include "entry_control_plane.h"

#include <algorithm>
#include <span>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kMinListInterval{1'000};
constexpr Milliseconds kMaxListInterval{30'000};
constexpr std::int64_t kBytesPerListedInstance = 170;
// Of the 4 KB/s that a daemon may spend on control. FIXME: beyond about 260
// instances polls at the maximum interval exceed this budget; the list needs a
// conditional read.
constexpr std::int64_t kListBytesPerSecond = 1'500;
constexpr Milliseconds kPeerCatchUpInterval{2'000};
constexpr Milliseconds kSnapshotCheckInterval{60'000};
// Changes within this delay are published in one snapshot. The delay grows with
// the fleet, because each publication visits all servers.
constexpr Milliseconds kPublishDelay{20};
constexpr std::chrono::microseconds kPublishDelayPerServer{50};
// Loads from heartbeats reach the traffic thread at least this often.
constexpr Milliseconds kRefreshInterval{500};
constexpr Milliseconds kMillisecondsPerSecond{1'000};

Instance ToInstance(const ListedInstance& listed) {
  Instance instance;
  instance.id = listed.id;
  instance.role = listed.role == InstanceRole::kEntry
                      ? MemberRole::kEntry
                      : MemberRole::kBackendServer;
  instance.state = listed.state == InstanceState::kLeaving
                       ? ListedState::kLeaving
                       : ListedState::kLive;
  instance.data_center = listed.data_center;
  instance.pool = listed.pool;
  instance.address = listed.address;
  instance.incarnation = listed.incarnation;
  return instance;
}

Milliseconds ListInterval(std::size_t instances) {
  const Milliseconds within_budget(
      static_cast<std::int64_t>(instances) * kBytesPerListedInstance *
      kMillisecondsPerSecond.count() / kListBytesPerSecond);
  return std::clamp(within_budget, kMinListInterval, kMaxListInterval);
}

GroupCommitterOptions ControlCommitter() {
  GroupCommitterOptions options;
  options.max_buffered_entries = 1'024;
  options.minimum_interval = Milliseconds(100);
  return options;
}

DataCenterMap DataCentersOf(const EntrySettings& settings) {
  DataCenterMap map;
  const std::string& here = settings.place.data_center;
  map.Add({here, settings.place.region});
  for (const DataCenterSettings& data_center : settings.data_centers) {
    map.Add({data_center.name, data_center.region});
    const std::chrono::duration<double, std::milli> latency(
        data_center.latency_ms);
    map.SetLatency(
        here, data_center.name,
        std::chrono::duration_cast<std::chrono::microseconds>(latency));
  }
  return map;
}

}  // namespace

EntryControlPlane::EntryControlPlane(EventLoop& loop,
                                     const Clock& clock,
                                     const EntrySettings& settings,
                                     const PeerProofSigner& signer,
                                     EventTimeline& timeline,
                                     MetricRegistry& metrics,
                                     Listener listener)
    : loop(loop),
      clock(clock),
      settings(settings),
      timeline(timeline),
      metrics(metrics),
      listener(std::move(listener)),
      random(settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                                : SeedFromSystem()),
      client(
          HttpClient::Create(loop, ClientOptionsOf(settings.limits, metrics))),
      log(CreateHttpLogClient(*this->client, settings.platform.log_url)),
      instance_list(
          CreateHttpInstanceListClient(*this->client,
                                       settings.platform.instance_list_url)),
      peers(*this->client, clock, signer, timeline),
      configuration_follower(loop,
                             *this->log,
                             std::string(kConfigurationStream),
                             {[this](const LogRecord& record) {
                                this->OnConfigurationRecord(record);
                              },
                              [](std::uint64_t, std::uint64_t) {},
                              [this] { this->OnConfigurationPage(); }}),
      server_follower(
          loop,
          *this->log,
          std::string(kServerStream),
          {[this](const LogRecord& record) { this->OnServerRecord(record); },
           [](std::uint64_t, std::uint64_t) {}, nullptr}),
      version_follower(
          loop,
          *this->log,
          std::string(kVersionStream),
          {[this](const LogRecord& record) { this->OnVersionRecord(record); },
           [](std::uint64_t, std::uint64_t) {}, nullptr}),
      server_writer({loop, clock, this->random, *this->log, metrics},
                    std::string(kServerStream),
                    ControlCommitter()),
      watch(loop, clock, this->peers, this->view, [this] { this->Changed(); }),
      data_centers(DataCentersOf(settings)) {}

EntryControlPlane::~EntryControlPlane() = default;

void EntryControlPlane::Start() {
  this->configuration_follower.Start(0);
  this->server_follower.Start(0);
  this->version_follower.Start(0);
  this->PollInstanceList();
  this->CatchUpFromPeers();
  this->WriteSnapshotWhenDue();
  this->Publish();
}

void EntryControlPlane::OnConfigurationRecord(const LogRecord& record) {
  this->configuration.Apply(static_cast<std::int64_t>(record.offset),
                            record.time_ms, record.payload);
  this->Changed();
}

void EntryControlPlane::OnConfigurationPage() {
  this->RecordReachability("log", this->log_reachable,
                           this->configuration_follower.Reachable());
  if (this->ConfigurationCurrent() &&
      !std::exchange(this->configuration_known, true)) {
    this->Changed();
  }
}

bool EntryControlPlane::ConfigurationCurrent() const {
  // A fold that has not applied all records before the follower's position,
  // because some have expired, needs a snapshot or a peer's export.
  const auto folded =
      static_cast<std::uint64_t>(this->configuration.NextOffset());
  return this->configuration_follower.CaughtUp() &&
         this->configuration.HasNoGap() &&
         folded >= this->configuration_follower.Next();
}

void EntryControlPlane::OnVersionRecord(const LogRecord& record) {
  for (const auto& positioned :
       DecodeVersionRecord({record.offset, record.time_ms, record.payload})
           .entries) {
    std::uint64_t& newest = this->versions[positioned.entry.model];
    newest = std::max(newest, positioned.entry.version);
    this->Changed();
  }
}

void EntryControlPlane::CatchUpFromPeers() {
  this->peer_timer = this->loop.CallAfter(kPeerCatchUpInterval,
                                          [this] { this->CatchUpFromPeers(); });
  if (this->ConfigurationCurrent() &&
      this->configuration_follower.Reachable()) {
    return;
  }
  for (const KnownEntry& entry : this->entries) {
    if (entry.instance == this->settings.place.instance) {
      continue;
    }
    Json::Value parameters;
    parameters["after_offset"] = Json::Int64(-1);
    parameters["wait_ms"] = 0;
    this->peers.Call(entry.address, "configuration", std::move(parameters),
                     kPeerTimeout,
                     [this](const Outcome<Json::Value>& response) {
                       if (response.Ok()) {
                         this->ImportFrom(response.Value());
                       }
                     });
  }
}

void EntryControlPlane::ImportFrom(const Json::Value& exported) {
  const auto imported = Capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(peer_state, ConfigurationExportFromJson(exported));
    return this->configuration.Import(peer_state);
  });
  if (imported.Ok() && imported.Value()) {
    this->configuration_known = true;
    this->Changed();
  }
  for (const Json::Value& crash : exported["crashes"]) {
    this->RecordCrash(ServerCrashFromJson(crash));
  }
  const Json::Value& quarantined = exported["quarantine"];
  if (!quarantined.isArray()) {
    return;
  }
  for (const Json::Value& digest : quarantined) {
    if (digest.isString()) {
      this->quarantine.OnQuarantined(digest.asString());
    }
  }
}

void EntryControlPlane::WriteSnapshotWhenDue() {
  this->snapshot_timer = this->loop.CallAfter(
      kSnapshotCheckInterval, [this] { this->WriteSnapshotWhenDue(); });
  const Milliseconds retention =
      this->settings.platform.log_retention_s * kMillisecondsPerSecond;
  if (!this->configuration.SnapshotDue(this->clock.WallNow(), retention)) {
    return;
  }
  const ConfigurationEntry snapshot = this->configuration.MakeSnapshot();
  this->log->Append(kConfigurationStream,
                    WriteConfigurationRecord(std::span(&snapshot, 1)),
                    [](const Outcome<std::uint64_t>&) {});
}

void EntryControlPlane::PollInstanceList() {
  this->instance_list->Fetch([this](const Outcome<InstanceListing>& listing) {
    Milliseconds interval = kMinListInterval;
    if (listing.Ok()) {
      interval = ListInterval(listing.Value().instances.size());
    }
    this->OnListing(listing);
    this->list_timer =
        this->loop.CallAfter(interval, [this] { this->PollInstanceList(); });
  });
}

void EntryControlPlane::OnListing(const Outcome<InstanceListing>& listing) {
  this->RecordReachability("instance list", this->list_reachable, listing.Ok());
  const bool updated =
      listing.Ok() &&
      (!this->list_version || *this->list_version != listing.Value().version);
  if (!updated) {
    return;
  }
  this->list_version = listing.Value().version;
  std::vector<Instance> servers;
  std::vector<InstanceLocation> placed_entries;
  this->entries.clear();
  for (const ListedInstance& listed : listing.Value().instances) {
    if (listed.role == InstanceRole::kEntry) {
      this->entries.push_back(
          {listed.id, listed.address, listed.state == InstanceState::kLeaving});
      placed_entries.push_back({listed.id, listed.data_center});
    } else {
      servers.push_back(ToInstance(listed));
    }
  }
  this->view.ApplyListing(listing.Value().version, servers);
  this->WatchSubset(servers, placed_entries);
  this->Changed();
}

void EntryControlPlane::WatchSubset(
    std::span<const Instance> servers,
    std::span<const InstanceLocation> placed_entries) {
  std::vector<InstanceLocation> placed_servers;
  for (const Instance& server : servers) {
    placed_servers.push_back({server.id, server.data_center});
  }
  WatchedSubsetOptions options;
  options.target_size =
      static_cast<std::size_t>(this->settings.routing.watched_servers);
  std::vector<Instance> watched;
  for (const std::size_t index :
       ChooseWatched(options, this->settings.place.instance, placed_entries,
                     placed_servers)) {
    watched.push_back(servers[index]);
  }
  this->watch.Watch(watched);
}

void EntryControlPlane::RecordReachability(std::string_view service,
                                           bool& known,
                                           bool reachable) {
  if (known == reachable) {
    return;
  }
  known = reachable;
  Event event;
  event.kind = EventKind::kPlatformReachability;
  event.detail =
      std::string(service) + (reachable ? " reachable" : " unreachable");
  this->timeline.Record(std::move(event));
  this->Changed();
}

void EntryControlPlane::Changed() {
  if (!std::exchange(this->publish_pending, true)) {
    const auto servers = this->known_servers ? this->known_servers->size() : 0;
    this->PublishAfter(kPublishDelay + std::chrono::duration_cast<Milliseconds>(
                                           servers * kPublishDelayPerServer));
  }
}

void EntryControlPlane::PublishAfter(Milliseconds delay) {
  this->publish_timer =
      this->loop.CallAfter(delay, [this] { this->Publish(); });
}

KnownServer EntryControlPlane::ToKnownServer(const Member& member) const {
  KnownServer server;
  server.instance = member.instance;
  server.takes_new_work = member.TakesNewWork();
  const auto latency = this->data_centers.Latency(
      this->settings.place.data_center, member.instance.data_center);
  server.latency_ms =
      std::chrono::duration<double, std::milli>(latency).count();
  if (const HeartbeatStatus* watched = this->watch.Find(member.instance.id);
      watched) {
    server.version = watched->version;
    server.load = watched->load;
    server.load_time = watched->load_time;
  }
  return server;
}

std::shared_ptr<const std::vector<KnownServer>>
EntryControlPlane::KnownServers() {
  const bool current = this->known_servers &&
                       this->known_change_count == this->view.ChangeCount();
  if (current) {
    return this->known_servers;
  }
  auto servers = std::make_shared<std::vector<KnownServer>>();
  for (const Member* member : this->view.All()) {
    servers->push_back(this->ToKnownServer(*member));
  }
  this->known_servers = std::move(servers);
  this->known_change_count = this->view.ChangeCount();
  return this->known_servers;
}

std::vector<KnownServer> EntryControlPlane::WatchedServers() const {
  std::vector<KnownServer> servers;
  for (const std::string_view id : this->watch.Ids()) {
    if (const Member* member = this->view.Find(id); member) {
      servers.push_back(this->ToKnownServer(*member));
    }
  }
  return servers;
}

void EntryControlPlane::Publish() {
  auto snapshot = std::make_shared<EntryControlSnapshot>();
  snapshot->configuration = this->configuration.State();
  snapshot->servers = this->KnownServers();
  snapshot->watched = this->WatchedServers();
  snapshot->entries = this->entries;
  for (const auto& [model, newest] : this->versions) {
    snapshot->versions.push_back({model, newest});
  }
  snapshot->quarantined = this->quarantine.Quarantined();
  snapshot->configuration_known = this->configuration_known;
  snapshot->crashes.assign(this->crashes.begin(), this->crashes.end());
  snapshot->log_reachable = this->log_reachable;
  snapshot->list_reachable = this->list_reachable;
  const std::int64_t offset = snapshot->configuration->offset;
  this->metrics.GetGauge(metrics::kConfigurationOffset)
      .Set(static_cast<double>(offset));
  this->metrics.GetGauge(metrics::kLogUnreachable)
      .Set(this->log_reachable ? 0 : 1);
  this->metrics.GetGauge(metrics::kQuarantined)
      .Set(static_cast<double>(snapshot->quarantined.size()));
  if (offset != this->published_offset) {
    this->published_offset = offset;
    this->configuration_export =
        ConfigurationExportToJson(this->configuration.Export());
    Event event;
    event.kind = EventKind::kConfiguration;
    event.number = offset;
    event.detail = snapshot->configuration->digest;
    this->timeline.Record(std::move(event));
  }
  snapshot->configuration_export = this->configuration_export;
  this->listener(std::move(snapshot));
  // The next refresh publishes the loads that heartbeats report until then.
  this->publish_pending = false;
  this->PublishAfter(kRefreshInterval);
}

}  // namespace carobbank
