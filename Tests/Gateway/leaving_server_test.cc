// Servers that say in their responses that they leave, while the log is away
// and their entries still say that they are ready. Guards against new work for
// them, and against servers that stay unused after a restart.

#include <set>

#include "Services/Gateway/fleet_upgrader.h"
#include "Services/Gateway/leaving_servers.h"
#include "gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(LeavingServer) {
  GatewayFleet fleet{1};
  // Ids of the servers that mark their responses.
  std::set<std::string> leaving;
  int status = 200;
  ReceivedResponse received;

  void setup() override {
    this->fleet.servers.answer = [this](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      if (this->leaving.contains(ServerOf(request.url))) {
        response.status = this->status;
        response.headers.push_back({"Leaving", "1"});
      }
      return response;
    };
    this->fleet.fixture.log.faults.outage = true;
  }

  static std::string ServerOf(const std::string& url) {
    const std::size_t begin = sizeof("http://") - 1;
    return url.substr(begin, url.find(':', begin) - begin);
  }
  GatewayParts& Gateway() {
    return *this->fleet.gateways[0];
  }
  void MarkAll(const std::string& service, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->leaving.insert(service + "-" + std::to_string(index));
    }
  }
  std::size_t ServedBy(const std::string& id) {
    const auto& served = this->fleet.servers.served;
    return static_cast<std::size_t>(
        std::count_if(served.begin(), served.end(),
                      [&](const auto& run) { return run.server_id == id; }));
  }
  // Sends calls until every server has received some.
  void CallAll(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->fleet.Call(this->Gateway(), "/app/x", "sound");
    }
  }
  // Each marked server got one request at most, and the others the rest.
  void CheckServedOnce() {
    for (const std::string& id : this->leaving) {
      CHECK_TRUE_TEXT(this->ServedBy(id) <= 1, id.c_str());
    }
  }
};

TEST(LeavingServer, GetsAnotherCall) {
  for (const int answered : {200, 404, 500, 503}) {
    this->status = answered;
    this->leaving = {"app-" + std::to_string(answered % 8)};
    this->fleet.servers.served.clear();
    this->CallAll(60);
    this->CheckServedOnce();
  }
}

TEST(LeavingServer, GetsARetriedOrHedgedCall) {
  this->status = 500;
  this->MarkAll("app", 7);
  this->CallAll(20);
  this->CheckServedOnce();
  CHECK_TRUE(this->ServedBy("app-7") > 10);
}

TEST(LeavingServer, GetsAnotherSampleOrRewardCall) {
  this->MarkAll("app", 4);
  this->MarkAll("llm", 4);
  this->fleet.fixture.log.faults.outage = false;
  BatchJob job = this->fleet.Job("j", 60);
  for (JobSample& sample : job.samples) {
    sample.reward = RewardCall{"reward-" + sample.id, "app.example",
                               "/app/reward", EncodeBase64("of " + sample.id)};
  }
  this->fleet.PutJob(job);
  this->Gateway().runner->SetOwned({0});
  CHECK_TRUE(this->fleet.RunUntil(
      [this] { return GatewayFleet::Results(this->Gateway(), "j") == 60; }));
  // Samples that began before the first response ran to their end.
  for (const std::string& id : this->leaving) {
    CHECK_TRUE_TEXT(this->ServedBy(id) <= 4, id.c_str());
  }
}

TEST(LeavingServer, IsUnusedAfterItsRestart) {
  this->leaving = {"app-3"};
  this->CallAll(40);
  this->CheckServedOnce();
  this->leaving.clear();
  this->fleet.servers.served.clear();
  this->fleet.servers.Crash("app-3");
  this->fleet.RunFor(Milliseconds(200));
  this->CallAll(40);
  CHECK_TRUE(this->ServedBy("app-3") > 0);
}

TEST(LeavingServer, IsUsedWhenTheGatewayLearnsOfAnEarlierRestart) {
  // The gateway, cut off from the registry, still knows the start before.
  const auto registries = std::exchange(this->fleet.servers.registries, {});
  this->fleet.servers.Crash("app-3");
  this->fleet.RunFor(Milliseconds(200));
  this->leaving = {"app-3"};
  this->CallAll(40);
  this->CheckServedOnce();
  for (const FleetServer& server : this->fleet.servers.Registered()) {
    this->Gateway().fleet.Put(server);
  }
  this->CallAll(40);
  this->CheckServedOnce();
  this->fleet.servers.registries = registries;
}

TEST(LeavingServer, TaintsAnotherServerAtItsAddress) {
  FleetServer server;
  server.id = "old";
  server.service = "app";
  server.address = "10.0.0.1:1";
  server.started_at = 1'000;
  ServerFleet& servers = this->Gateway().fleet;
  servers.Put(server);
  ObserveLeavingServer(this->Gateway().environment, {"old", 2'000}, 200,
                       {{"Leaving", "1"}});
  CHECK_TRUE(servers.Find("old")->Leaves());
  server.id = "new";
  servers.Put(server);
  CHECK_FALSE(servers.Find("new")->Leaves());
}

TEST(LeavingServer, IsTheExpectedOneThoughAnotherResponded) {
  GatewayEnvironment& environment = this->Gateway().environment;
  const ServerFleet& servers = environment.fleet;
  const WallMilliseconds start = servers.Find("app-1")->started_at;
  ObserveLeavingServer(environment, {"app-1", start}, 421, {{"Leaving", "1"}});
  CHECK_FALSE(servers.Find("app-1")->Leaves());
  ObserveLeavingServer(environment, {"app-1", start + 1'000}, 421,
                       {{"Leaving", "1"}, {"Server-Id", "app-2"}});
  CHECK_FALSE(servers.Find("app-1")->Leaves());
  CHECK_TRUE(servers.Find("app-2")->Leaves());
  // A response of the start before the registered one.
  ObserveLeavingServer(environment, {"app-1", start - 1}, 200,
                       {{"Leaving", "1"}});
  CHECK_FALSE(servers.Find("app-1")->Leaves());
}

TEST(LeavingServer, LosesItsMarkOnlyWithItsStart) {
  ServerFleet& servers = this->Gateway().fleet;
  FleetServer entry = *servers.Find("app-1");
  const WallMilliseconds sent_at = entry.started_at + 1'000;
  CHECK_TRUE(servers.MarkLeaving("app-1", sent_at));
  CHECK_FALSE(servers.MarkLeaving("app-1", sent_at));
  servers.Put(entry);
  CHECK_TRUE(servers.Find("app-1")->Leaves());
  entry.started_at = sent_at + 1;
  servers.Put(entry);
  CHECK_FALSE(servers.Find("app-1")->Leaves());
}

TEST(LeavingServer, IsTheLastOneAndCallsWaitForTheirDeadline) {
  this->MarkAll("app", 8);
  this->CallAll(8);
  const MonotonicTime began = std::chrono::steady_clock::now();
  const ReceivedResponse response =
      this->fleet.Call(this->Gateway(), "/app/x", "sound");
  LONGS_EQUAL(503, response.status);
  CHECK_TRUE(FindHeader(response.headers, "Retry-After").has_value());
  CHECK_TRUE(std::chrono::steady_clock::now() - began < Milliseconds(200));
}

TEST(LeavingServer, IsHiddenFromTheCaller) {
  this->MarkAll("app", 8);
  const ReceivedResponse response =
      this->fleet.Call(this->Gateway(), "/app/x", "sound");
  CHECK_TRUE(FindHeader(response.headers, "Leaving") == "1");
}

TEST(LeavingServer, IsCountedAndMarkedByProbesToo) {
  this->fleet.servers.answer = [](const HttpClientRequest& request) {
    HttpResponse response = SoundAnswer(request);
    if (request.url.ends_with("/health")) {
      response.headers.push_back({"Leaving", "1"});
    } else {
      // Not accepted, so the server is probed.
      response.headers.clear();
    }
    return response;
  };
  this->fleet.Call(this->Gateway(), "/once/x", "sound");
  this->fleet.RunFor(Milliseconds(100));
  const std::string text = this->fleet.fixture.metrics.PrometheusText();
  CHECK_TRUE_TEXT(text.find("carobbank_leaving_servers_total{service=\"app\","
                            "source=\"response\"} 1") != std::string::npos,
                  text.c_str());
}

}  // namespace carobbank
