// Streams that clients take up after gateways or servers were lost, or while
// gateways know different servers. Guards against text that is joined from two
// software versions, or from two services.

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kStreams = 12;
// Marks of a version, records of streams and their arrival at all gateways.
constexpr Milliseconds kTimeToShare{700};
constexpr std::string_view kPrefix = "/resumable/";

// Version of a server by the index within its service; empty: not registered.
using VersionByIndex = std::function<std::string(std::size_t)>;

std::string AllV1(std::size_t /*index*/) {
  return "v1";
}
std::string AllV2(std::size_t /*index*/) {
  return "v2";
}
std::string HalfV2(std::size_t index) {
  return index % 2 == 0 ? "v1" : "v2";
}

}  // namespace

TEST_GROUP(StreamVersions) {
  GatewayFleet fleet{3};
  std::size_t attempts = 0;

  void setup() override {
    this->fleet.servers.answer = [](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      response.body = EventsAfter(request, 2);
      return response;
    };
    for (const auto& gateway : this->fleet.gateways) {
      this->ShowSinceLongAgo(*gateway, AllV1);
    }
    this->fleet.RunFor(kTimeToShare);
  }

  // Each start of a server has an id of its own; those of "app" name their
  // version.
  void Show(GatewayParts & gateway, const VersionByIndex& software) {
    gateway.fleet.Replace(this->Listed(software),
                          gateway.environment.clock.BootNow());
    gateway.OnServersChanged();
  }
  void ShowSinceLongAgo(GatewayParts & gateway,
                        const VersionByIndex& software) {
    const MonotonicTime now = gateway.environment.clock.BootNow();
    gateway.fleet.Replace(this->Listed(software), now);
    gateway.fleet.RecordSoftware(now - std::chrono::hours(1));
    gateway.OnServersChanged();
  }
  std::vector<FleetServer> Listed(const VersionByIndex& software) const {
    std::vector<FleetServer> listed;
    std::size_t index = 0;
    for (FleetServer server : this->fleet.servers.Registered()) {
      const std::string version =
          server.service == "llm" ? "v2" : software(index / 2);
      ++index;
      if (version.empty()) {
        continue;
      }
      if (server.service == "app") {
        server.id += "-" + version;
      }
      server.started_at = 0;
      server.software_version = version;
      listed.push_back(std::move(server));
    }
    return listed;
  }
  // Shows the servers under ids that outlast their starts.
  void ShowStarts(GatewayParts & gateway, WallMilliseconds started_at,
                  const VersionByIndex& software) {
    std::vector<FleetServer> listed = this->Listed(AllV1);
    std::size_t index = 0;
    for (FleetServer& server : listed) {
      server.started_at = started_at;
      if (server.service == "app") {
        server.software_version = software(index++);
      }
    }
    gateway.fleet.Replace(std::move(listed),
                          gateway.environment.clock.BootNow());
    gateway.OnServersChanged();
  }
  void ShowAll(const VersionByIndex& software) {
    for (const auto& gateway : this->fleet.gateways) {
      this->Show(*gateway, software);
    }
  }
  void RestartAll(const VersionByIndex& software) {
    for (std::size_t index = 0; index < this->fleet.gateways.size(); ++index) {
      this->Show(this->fleet.RestartGateway(index), software);
    }
  }
  void SetRouteServices(std::vector<WeightedService> services) {
    TrafficConfiguration changed = *this->fleet.fixture.configuration;
    HostRoute route = *changed.routes.Find("app.example", kPrefix);
    route.services = std::move(services);
    changed.routes = HostRoutes({route});
    this->fleet.fixture.configuration =
        std::make_shared<const TrafficConfiguration>(std::move(changed));
    for (const auto& gateway : this->fleet.gateways) {
      gateway->OnServersChanged();
    }
  }

  ReceivedResponse Send(GatewayParts & gateway, const std::string& stream,
                        HttpRequest request) {
    const std::string target = std::string(kPrefix) + stream;
    const HostRoute* const route =
        this->fleet.fixture.configuration->routes.Find("app.example", target);
    ReceivedResponse received;
    const auto call =
        ForwardedCall::Start(gateway.environment, *route, std::move(request),
                             std::make_shared<FakeResponder>(received),
                             [](const std::shared_ptr<ForwardedCall>&) {});
    this->fleet.fixture.runner.RunUntil([&call] { return call->Ended(); });
    return received;
  }
  HttpRequest Call(const std::string& stream, const std::string& id) const {
    return CallTo(std::string(kPrefix) + stream, "sound", id);
  }
  int Begin(GatewayParts & gateway, const std::string& stream) {
    return this->Send(gateway, stream, this->Call(stream, stream)).status;
  }
  void BeginAll(GatewayParts & gateway) {
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      LONGS_EQUAL(200, this->Begin(gateway, "s" + std::to_string(stream)));
    }
  }
  // `resumes`: the attempt that the client names.
  int TakeUp(GatewayParts & gateway, const std::string& stream,
             const std::string& resumes, const std::string& id) {
    HttpRequest request = this->Call(stream, id);
    request.headers.push_back({"After-Event", "2"});
    request.headers.push_back({"Goes-On", resumes});
    return this->Send(gateway, stream, std::move(request)).status;
  }
  // Service and version of the servers that wrote the stream.
  std::set<std::string> Sources(const std::string& stream) const {
    std::set<std::string> sources;
    for (const ServedRequest& served : this->fleet.servers.served) {
      if (served.target == std::string(kPrefix) + stream) {
        sources.insert(SourceOf(served));
      }
    }
    return sources;
  }
  // An id ends in the version of its start.
  static std::string SourceOf(const ServedRequest& served) {
    const std::string& id = served.expected_id;
    return id.starts_with("llm") ? "llm v2"
                                 : "app " + id.substr(id.rfind('-') + 1);
  }
  // Takes up each stream at each gateway. Returns how many attempts went on;
  // none may have joined two sources.
  std::size_t TakeUpAll() {
    std::size_t went_on = 0;
    for (std::size_t number = 0; number < kStreams; ++number) {
      const std::string stream = "s" + std::to_string(number);
      for (const auto& gateway : this->fleet.gateways) {
        const int status =
            this->TakeUp(*gateway, stream, stream,
                         "again-" + std::to_string(++this->attempts));
        CHECK_TRUE(status == 200 || status == 503);
        went_on += status == 200 ? 1 : 0;
      }
      const std::set<std::string> sources = this->Sources(stream);
      CHECK_TEXT(sources.size() <= 1, ("joined from " + *sources.begin() +
                                       " and " + *sources.rbegin())
                                          .c_str());
    }
    return went_on;
  }
};

TEST(StreamVersions, IsGuessedByAGatewayThatHasNotReadOfTheNewServers) {
  // Gateway 2 reads of the release first, begins streams and is lost.
  this->Show(this->fleet.RestartGateway(2), AllV2);
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.gateways.pop_back();
  this->TakeUpAll();
}

TEST(StreamVersions, IsGuessedThoughOtherGatewaysStillUseTheServersThatLeft) {
  // The servers of v1 have lost the registry long ago, but gateway 2, which is
  // cut off from it, still uses them.
  this->ShowSinceLongAgo(this->fleet.RestartGateway(0), AllV2);
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.gateways.erase(this->fleet.gateways.begin() + 1,
                             this->fleet.gateways.end());
  this->TakeUpAll();
}

TEST(StreamVersions, GoesOnAtAnotherServiceOfItsRoute) {
  this->SetRouteServices({{"app", 1}, {"llm", 1}});
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(kStreams * 2, this->TakeUpAll());
}

TEST(StreamVersions, GoesOnAtTheServiceToWhichItsRouteMoved) {
  this->BeginAll(*this->fleet.gateways[2]);
  this->SetRouteServices({{"llm", 1}});
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(kStreams * 2, this->TakeUpAll());
}

TEST(StreamVersions, OfOneAttemptIdIsTakenForAnEarlierStreamOfThatId) {
  // The client got nothing of its first attempt and sent it again elsewhere.
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  std::size_t both = 0;
  for (std::size_t number = 0; number < kStreams; ++number) {
    const std::string stream = "s" + std::to_string(number);
    LONGS_EQUAL(200, this->Begin(*this->fleet.gateways[1], stream));
    const std::string before = SourceOf(this->fleet.servers.served.back());
    this->fleet.RunFor(Milliseconds(1));
    LONGS_EQUAL(200, this->Begin(*this->fleet.gateways[2], stream));
    const std::string after = SourceOf(this->fleet.servers.served.back());
    this->fleet.RunFor(kTimeToShare);
    const std::size_t runs = this->fleet.servers.served.size();
    const int status = this->TakeUp(*this->fleet.gateways[0], stream, stream,
                                    "again-" + stream);
    if (before == after) {
      LONGS_EQUAL(200, status);
      continue;
    }
    ++both;
    LONGS_EQUAL(503, status);
    LONGS_EQUAL(runs, this->fleet.servers.served.size());
  }
  CHECK_TRUE(both > 0);
}

TEST(StreamVersions, GoesOnAtAServerWithoutVersionAfterABreak) {
  this->ShowAll([](std::size_t index) { return index < 7 ? "v1" : "v2"; });
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.RunFor(kTimeToShare);
  // Servers leave while they answer, without an event.
  GatewayParts& gateway = *this->fleet.gateways[0];
  FleetServer unknown = *gateway.fleet.Find("app-7-v2");
  unknown.software_version.clear();
  gateway.fleet.Put(unknown);
  this->fleet.servers.answer = [&gateway](const HttpClientRequest& request) {
    HttpResponse response = SoundAnswer(request);
    response.body = "id: 3\nda";
    const std::string id(
        FindHeader(request.headers, "For-Server").value_or(""));
    gateway.fleet.OnEntryRemoved(id, gateway.environment.clock.BootNow());
    return response;
  };
  for (std::size_t number = 0; number < 3; ++number) {
    const std::string stream = "s" + std::to_string(number);
    const std::set<std::string> before = this->Sources(stream);
    this->TakeUp(gateway, stream, stream, "again-" + stream);
    CHECK_TRUE(before == this->Sources(stream) || before.contains("app v2"));
  }
}

TEST(StreamVersions, IsUnknownAtOtherGatewaysUnderItsLastAttempt) {
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.RunFor(kTimeToShare);
  for (std::size_t number = 0; number < 3; ++number) {
    const std::string stream = "s" + std::to_string(number);
    LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[0], stream, stream,
                                  "second-" + stream));
    this->fleet.RunFor(kTimeToShare);
    LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[1], stream,
                                  "second-" + stream, "third-" + stream));
    LONGS_EQUAL(1, this->Sources(stream).size());
  }
}

TEST(StreamVersions, IsGuessedWhileNeitherLogNorPeersRespond) {
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.servers.peers.clear();
  this->fleet.fixture.log.faults.outage = true;
  this->fleet.fixture.log.FailWaitingReads();
  this->fleet.RunFor(Milliseconds(50));
  LONGS_EQUAL(503, this->TakeUp(*this->fleet.gateways[0], "s0", "s0", "again"));
  // This gateway began it.
  LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[2], "s0", "s0", "more"));
  this->fleet.fixture.log.faults.outage = false;
  this->fleet.RunFor(kTimeToShare);
  LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[0], "s0", "s0", "third"));
}

TEST(StreamVersions, IsLostThoughPeersKnowItWhileTheLogIsAway) {
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.fixture.log.faults.outage = true;
  this->fleet.fixture.log.FailWaitingReads();
  this->fleet.RunFor(Milliseconds(50));
  // Gateway does so regularly.
  this->fleet.gateways[2]->OnServersChanged();
  LONGS_EQUAL(200, this->Begin(*this->fleet.gateways[2], "during"));
  this->fleet.RunFor(Milliseconds(50));
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[0], "s0", "s0", "again"));
  LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[1], "during", "during",
                                "again-during"));
}

TEST(StreamVersions, TriesAgainThoughItsVersionHasNoServer) {
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  this->BeginAll(*this->fleet.gateways[2]);
  this->fleet.RunFor(kTimeToShare);
  this->ShowAll(AllV2);
  const std::size_t runs = this->fleet.servers.served.size();
  for (std::size_t number = 0; number < kStreams; ++number) {
    const std::string stream = "s" + std::to_string(number);
    const bool began_at_v2 = this->Sources(stream).contains("app v2");
    LONGS_EQUAL(began_at_v2 ? 200 : 503,
                this->TakeUp(*this->fleet.gateways[0], stream, stream,
                             "again-" + stream));
    LONGS_EQUAL(1, this->Sources(stream).size());
  }
  CHECK_TRUE(this->fleet.servers.served.size() < runs + kStreams);
}

TEST(StreamVersions, GoesOnAtServersThatMayBeBackUnderTheirIds) {
  this->BeginAll(*this->fleet.gateways[2]);
  GatewayParts& gateway = *this->fleet.gateways[0];
  this->ShowStarts(gateway, 7, AllV1);
  const std::size_t runs = this->fleet.servers.served.size();
  CHECK_TRUE(this->TakeUp(gateway, "s0", "s0", "again") >= 500);
  CHECK_TRUE(this->fleet.servers.served.size() > runs);
}

// Guards against streams that no client can take up because the entries of all
// servers name their start.
TEST(StreamVersions, EndsAtServersWhoseStartsAreConfirmed) {
  this->BeginAll(*this->fleet.gateways[2]);
  GatewayParts& gateway = *this->fleet.gateways[0];
  this->ShowStarts(gateway, 7, AllV1);
  for (const FleetServer* const server : gateway.fleet.All()) {
    gateway.fleet.ConfirmAlive(
        server->id, 7,
        gateway.environment.clock.BootNow() + std::chrono::hours(1));
  }
  for (std::size_t number = 0; number < kStreams; ++number) {
    const std::string stream = "s" + std::to_string(number);
    LONGS_EQUAL(200, this->TakeUp(gateway, stream, stream, "again-" + stream));
  }
}

// Guards against a stream that goes on at the version that the entry of its
// first server named, though the server had restarted at another one.
TEST(StreamVersions, IsTakenFromAnEntryOfAnEarlierStart) {
  GatewayParts& gateway = *this->fleet.gateways[2];
  this->ShowStarts(gateway, 7, AllV1);
  this->BeginAll(gateway);
  this->ShowStarts(gateway, 8, AllV2);
  this->fleet.RunFor(kTimeToShare);
  const std::size_t runs = this->fleet.servers.served.size();
  for (const auto& other : this->fleet.gateways) {
    LONGS_EQUAL(503, this->TakeUp(*other, "s0", "s0", "again"));
  }
  LONGS_EQUAL(runs, this->fleet.servers.served.size());
}

TEST(StreamVersions, IsGuessedFromFieldsThatNameNoStream) {
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  const std::string long_id(1'000'000, 'x');
  const std::vector<HttpHeaders> fields = {
      {{"After-Event", "2"}},
      {{"After-Event", "two"}},
      {{"After-Event", ""}, {"Goes-On", ""}},
      {{"Goes-On", ""}},
      {{"After-Event", "2"}, {"Goes-On", long_id}},
      {{"After-Event", "2"}, {"Goes-On", "s0/"}}};
  for (const HttpHeaders& given : fields) {
    HttpRequest request = this->Call("s0", "again");
    request.headers.insert(request.headers.end(), given.begin(), given.end());
    LONGS_EQUAL(
        503,
        this->Send(*this->fleet.gateways[0], "s0", std::move(request)).status);
  }
  LONGS_EQUAL(0, this->fleet.servers.served.size());
}

TEST(StreamVersions, BeginsAtAVersionThatTheLogDoesNotRecord) {
  // The release is read, but can't be recorded.
  this->fleet.fixture.log.faults.refused_appends = 1'000;
  this->ShowAll(HalfV2);
  this->BeginAll(*this->fleet.gateways[2]);
  for (std::size_t number = 0; number < kStreams; ++number) {
    CHECK_TRUE(this->Sources("s" + std::to_string(number)) ==
               std::set<std::string>{"app v1"});
  }
  this->fleet.fixture.log.faults.refused_appends = 0;
  this->fleet.RunFor(kTimeToShare);
  std::set<std::string> sources;
  for (std::size_t number = 0; number < kStreams; ++number) {
    const std::string stream = "later" + std::to_string(number);
    LONGS_EQUAL(200, this->Begin(*this->fleet.gateways[2], stream));
    sources.merge(this->Sources(stream));
  }
  LONGS_EQUAL(2, sources.size());
}

TEST(StreamVersions, IsUnknownAtOtherGatewaysBecauseItsIdIsNoKeyOfTheLog) {
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  constexpr std::size_t kMaxKeyBytes = 255;
  const std::string same(252, 'x');
  const std::vector<std::string> ids = {std::string(128, 'a'),
                                        std::string(129, 'b'),
                                        same + "1",
                                        same + "2",
                                        same + "23",
                                        std::string(9'000, 'c'),
                                        "a&from=0#%41 b/",
                                        "\xff\xfe",
                                        "sha256:" + same};
  for (std::size_t number = 0; number < ids.size(); ++number) {
    const std::string stream = "s" + std::to_string(number);
    LONGS_EQUAL(200, this->Send(*this->fleet.gateways[2], stream,
                                this->Call(stream, ids[number]))
                         .status);
  }
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  for (std::size_t number = 0; number < ids.size(); ++number) {
    const std::string stream = "s" + std::to_string(number);
    LONGS_EQUAL(200, this->TakeUp(*this->fleet.gateways[0], stream, ids[number],
                                  "again-" + stream));
    LONGS_EQUAL(1, this->Sources(stream).size());
  }
  for (const KeyedLogRecord& record :
       this->fleet.fixture.log.Records(CrashesPartition())) {
    const std::string& key = record.record.key;
    CHECK_TEXT(key.size() <= kMaxKeyBytes, key.c_str());
    CHECK_TEXT(std::all_of(key.begin(), key.end(),
                           [](char c) { return c > ' ' && c <= '~'; }),
               key.c_str());
    CHECK_TEXT(key.find_first_of("&#%") == std::string::npos, key.c_str());
  }
}

TEST(StreamVersions, IsUnknownThoughAnEarlierReleaseRecordedItUnderItsId) {
  this->ShowAll(HalfV2);
  this->fleet.RunFor(kTimeToShare);
  this->fleet.fixture.log.Put(
      CrashesPartition(),
      {{"s/old&id", R"({"service":"app","software":"v2","at":)" +
                        std::to_string(this->fleet.fixture.clock.WallNow()) +
                        "}"}});
  this->fleet.RunFor(kTimeToShare);
  LONGS_EQUAL(200,
              this->TakeUp(*this->fleet.gateways[0], "s0", "old&id", "again"));
  CHECK_TRUE(this->Sources("s0") == std::set<std::string>{"app v2"});
  // Its record can still be deleted.
  this->fleet.fixture.log.Put(CrashesPartition(), {{"s/old&id", ""}});
  this->fleet.RunFor(kTimeToShare);
  LONGS_EQUAL(503,
              this->TakeUp(*this->fleet.gateways[1], "s0", "old&id", "third"));
}

}  // namespace carobbank
