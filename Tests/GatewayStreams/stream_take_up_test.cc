// Streams that their callers take up at any gateway, among servers of two
// software versions.

#include <algorithm>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kStreams = 16;
// An append and its arrival at all gateways.
constexpr Milliseconds kTimeToShare{300};

}  // namespace

TEST_GROUP(StreamTakeUp) {
  GatewayFleet fleet{3};

  void setup() override {
    this->fleet.servers.answer = [](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      response.body = EventsAfter(request, 2);
      return response;
    };
    for (const auto& gateway : this->fleet.gateways) {
      gateway->fleet.RecordSoftware(gateway->environment.clock.BootNow() -
                                    std::chrono::hours(1));
    }
    this->SetSoftware([](std::size_t) { return "v1"; });
  }

  // The version of each server's software, by its index. Each start of a server
  // has an id of its own.
  void SetSoftware(const std::function<std::string(std::size_t)>& software) {
    for (const auto& gateway : this->fleet.gateways) {
      std::size_t index = 0;
      for (FleetServer server : this->fleet.servers.Registered()) {
        server.started_at = 0;
        server.software_version = software(index++ / 2);
        gateway->fleet.Put(server);
      }
      gateway->OnServersChanged();
    }
  }
  void Mix() {
    this->SetSoftware(
        [](std::size_t index) { return index % 2 == 0 ? "v1" : "v2"; });
  }
  ReceivedResponse Stream(GatewayParts & gateway, const std::string& id,
                          const std::string& resumes) {
    const std::string target = "/resumable/" + (resumes.empty() ? id : resumes);
    const HostRoute* const route =
        this->fleet.fixture.configuration->routes.Find("app.example", target);
    HttpRequest request = CallTo(target, "sound", id);
    if (!resumes.empty()) {
      request.headers.push_back({"After-Event", "1"});
      request.headers.push_back({"Goes-On", resumes});
    }
    ReceivedResponse received;
    const auto call =
        ForwardedCall::Start(gateway.environment, *route, std::move(request),
                             std::make_shared<FakeResponder>(received),
                             [](const std::shared_ptr<ForwardedCall>&) {});
    this->fleet.fixture.runner.RunUntil([&call] { return call->Ended(); });
    return received;
  }
  // Begins streams at the last gateway.
  void Begin() {
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      LONGS_EQUAL(200, this->Stream(*this->fleet.gateways.back(),
                                    "s" + std::to_string(stream), "")
                           .status);
    }
  }
  std::string SoftwareOf(const ServedRequest& served) const {
    return this->fleet.gateways[0]
        ->fleet.Find(served.server_id)
        ->software_version;
  }
  // Takes all streams up at the first gateway; returns how many go on. None may
  // go on at another version.
  std::size_t TakeUp(bool began_at_v1) {
    std::size_t gone_on = 0;
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      const std::string id = "s" + std::to_string(stream);
      gone_on +=
          this->Stream(*this->fleet.gateways[0], "again-" + id, id).status ==
                  200
              ? 1
              : 0;
      std::vector<std::string> versions;
      for (const ServedRequest& served : this->fleet.servers.served) {
        if (served.target == "/resumable/" + id) {
          versions.push_back(this->SoftwareOf(served));
        }
      }
      if (began_at_v1) {
        versions[0] = "v1";
      }
      for (const std::string& version : versions) {
        STRCMP_EQUAL(versions[0].c_str(), version.c_str());
      }
    }
    return gone_on;
  }
};

TEST(StreamTakeUp, IsRefusedOrMixedAfterTheGatewayOfTheStreamIsLost) {
  this->Mix();
  this->Begin();
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(kStreams, this->TakeUp(false));
}

TEST(StreamTakeUp, IsRefusedOrMixedForStreamsThatBeganBeforeARelease) {
  this->Begin();
  this->Mix();
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(kStreams, this->TakeUp(true));
}

TEST(StreamTakeUp, IsRefusedOrMixedWhileTheLogIsAway) {
  this->Mix();
  this->fleet.RunFor(kTimeToShare);
  this->fleet.fixture.log.faults.outage = true;
  this->fleet.fixture.log.FailWaitingReads();
  this->fleet.RunFor(kTimeToShare);
  this->Begin();
  this->fleet.RunFor(kTimeToShare);
  this->fleet.gateways.pop_back();
  LONGS_EQUAL(kStreams, this->TakeUp(false));
}

TEST(StreamTakeUp, IsGuessedForAStreamThatNoRecordTellsOf) {
  this->Mix();
  LONGS_EQUAL(503,
              this->Stream(*this->fleet.gateways[0], "again", "lost").status);
  LONGS_EQUAL(0, this->fleet.servers.served.size());
}

TEST(StreamTakeUp, WritesRecordsThoughAllServersAreOfOneVersion) {
  this->Begin();
  this->fleet.RunFor(kTimeToShare);
  for (const KeyedLogRecord& record :
       this->fleet.fixture.log.Records(CrashesPartition())) {
    CHECK_FALSE(IsStreamVersionKey(record.record.key));
  }
  LONGS_EQUAL(kStreams, this->TakeUp(false));
}

}  // namespace carobbank
