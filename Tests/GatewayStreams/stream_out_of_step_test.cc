// One gateway is out of step while servers of a further software version join:
// cut off from the other gateways, from the log, from both, or stopped. Streams
// that other gateways begin meanwhile are taken up there. Guards against
// streams that are joined from two versions.

#include <array>
#include <random>
#include <set>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kGateways = 3;
constexpr std::size_t kStreams = 6;
constexpr unsigned kSeeds = 8;
constexpr std::string_view kPrefix = "/resumable/";

enum class OutOfStep {
  kOnlyByItsServers,
  kCutOffFromPeers,
  kCutOffFromLog,
  kCutOffFromBoth,
  kStopped,
  kStoppedAndCutOffFromPeers,
};
constexpr std::array kAllOutOfStep = {
    OutOfStep::kOnlyByItsServers, OutOfStep::kCutOffFromPeers,
    OutOfStep::kCutOffFromLog,    OutOfStep::kCutOffFromBoth,
    OutOfStep::kStopped,          OutOfStep::kStoppedAndCutOffFromPeers};

// Version of a server by the index within its service.
using VersionByIndex = std::string (*)(std::size_t);

std::string AllV1(std::size_t /*index*/) {
  return "v1";
}
std::string AllV2(std::size_t /*index*/) {
  return "v2";
}
std::string AllV3(std::size_t /*index*/) {
  return "v3";
}
std::string HalfV2(std::size_t index) {
  return index % 2 == 0 ? "v1" : "v2";
}
std::string HalfV3(std::size_t index) {
  return index % 2 == 0 ? "v2" : "v3";
}

// The servers that the other gateways know one after the other; the last ones
// are those that the gateway out of step knows once it is back in step.
struct Release {
  std::array<VersionByIndex, 2> steps;
};
constexpr std::array kReleases = {
    Release{{HalfV2, HalfV2}}, Release{{HalfV2, AllV2}},
    Release{{AllV2, AllV2}},   Release{{AllV2, AllV3}},
    Release{{HalfV2, HalfV3}}, Release{{AllV2, AllV1}},
};

// What a client names as the stream that it takes up.
enum class Named { kFirstAttempt, kLastAttempt, kNothing, kUnknown };

struct Moments {
  OutOfStep out_of_step = OutOfStep::kStopped;
  Release release{};
  // The streams begin as soon as their gateways know a new server.
  bool begins_at_once = false;
  // From the first events until the gateways of the streams are lost; negative:
  // they go on.
  int lost_after_ms = 0;
  // From then until the streams are taken up.
  int taken_up_after_ms = 0;
  // The gateway is back in step before, else after the first take-ups.
  bool back_before = false;
  // It reads of the servers as soon as it is back in step.
  bool reads_servers_at_once = false;
  Named named = Named::kFirstAttempt;
  std::string text;
};

Moments MomentsOf(OutOfStep out_of_step, unsigned seed) {
  std::minstd_rand random(seed * 7'919 + static_cast<unsigned>(out_of_step));
  const auto draw = [&random](std::size_t count) {
    return static_cast<std::size_t>(random() / 64) % count;
  };
  constexpr std::array kLostAfterMs = {-1, 0, 2, 8, 60};
  constexpr std::array kTakenUpAfterMs = {0, 1, 5, 40};
  const std::size_t release = draw(kReleases.size());
  Moments moments{out_of_step,
                  kReleases[release],
                  draw(2) == 0,
                  kLostAfterMs[draw(kLostAfterMs.size())],
                  kTakenUpAfterMs[draw(kTakenUpAfterMs.size())],
                  draw(3) == 0,
                  draw(2) == 0,
                  static_cast<Named>(draw(8) < 5 ? 0 : 1 + draw(3)),
                  ""};
  moments.text = "out of step " +
                 std::to_string(static_cast<int>(out_of_step)) + ", seed " +
                 std::to_string(seed) + ", release " + std::to_string(release) +
                 ", lost after " + std::to_string(moments.lost_after_ms) +
                 " ms, taken up after " +
                 std::to_string(moments.taken_up_after_ms) + " ms";
  return moments;
}

struct Stream {
  std::string id;
  std::string attempt;
  // The last one that was forwarded.
  std::string last_attempt;
  ReceivedResponse received;
  std::shared_ptr<ForwardedCall> call;
};

class Play {
 public:
  explicit Play(Moments moments) : moments(std::move(moments)) {
    this->fleet.servers.answer = [](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      response.body = EventsAfter(request, 2);
      return response;
    };
    this->fleet.servers.duration = Milliseconds(2);
    this->fleet.fixture.log.faults.response_time = Milliseconds(1);
  }

  void Run() {
    for (const auto& gateway : this->fleet.gateways) {
      this->Show(*gateway, AllV1);
    }
    this->AwaitOrigins(1);
    this->FallOutOfStep();
    this->BeginStreams();
    if (this->moments.lost_after_ms >= 0) {
      this->fleet.RunFor(Milliseconds(this->moments.lost_after_ms));
      this->fleet.gateways[1].reset();
      this->fleet.gateways[2].reset();
    }
    this->fleet.RunFor(Milliseconds(this->moments.taken_up_after_ms));
    if (this->moments.back_before) {
      this->ComeBack();
    }
    this->TakeUpAll();
    this->ComeBack();
    this->TakeUpAll();
    this->ShowLast();
    this->fleet.RunUntil(
        [this] { return !this->Odd().quarantine.Log().SharesWithPeersOnly(); });
    this->TakeUpAll();
  }

  std::size_t begun = 0;
  std::size_t went_on = 0;
  std::size_t refused = 0;

 private:
  GatewayParts& Odd() { return *this->fleet.gateways[0]; }
  void Show(GatewayParts& gateway, VersionByIndex software) const {
    std::vector<FleetServer> listed;
    std::size_t index = 0;
    for (FleetServer server : this->fleet.servers.Registered()) {
      if (server.service != "app") {
        continue;
      }
      server.software_version = software(index++);
      // Each start has an id of its own.
      server.id += "-" + server.software_version;
      server.started_at = 0;
      listed.push_back(std::move(server));
    }
    gateway.fleet.Replace(std::move(listed),
                          gateway.environment.clock.BootNow());
    gateway.OnServersChanged();
  }
  void AwaitOrigins(std::size_t count) {
    CHECK_TRUE(this->fleet.RunUntil([&] {
      return std::all_of(
          this->fleet.gateways.begin(), this->fleet.gateways.end(),
          [count](const auto& gateway) {
            return gateway->quarantine.Origins().Recorded().size() >= count;
          });
    }));
  }

  bool IsStopped() const {
    return this->moments.out_of_step == OutOfStep::kStopped ||
           this->moments.out_of_step == OutOfStep::kStoppedAndCutOffFromPeers;
  }
  void FallOutOfStep() {
    const OutOfStep kind = this->moments.out_of_step;
    if (kind == OutOfStep::kCutOffFromLog ||
        kind == OutOfStep::kCutOffFromBoth) {
      this->Odd().log.Cut();
    }
    if (this->IsStopped()) {
      // Its read of the log began before the release.
      HttpRequest earlier =
          CallTo(std::string(kPrefix) + "other", "sound", "o");
      earlier.headers.push_back({"Goes-On", "other"});
      this->Start(this->Odd(), this->earlier, std::move(earlier));
      this->Odd().log.Freeze();
    }
    if (kind != OutOfStep::kOnlyByItsServers &&
        kind != OutOfStep::kCutOffFromLog) {
      this->cut_peers = std::move(this->fleet.servers.peers);
      this->fleet.servers.peers.clear();
      const auto others = this->cut_peers.find("gateway-1:9");
      if (others != this->cut_peers.end()) {
        this->fleet.servers.peers.insert(*others);
      }
      this->fleet.servers.cut_off_from_peers = {"gateway-0"};
    }
  }
  void ComeBack() {
    this->Odd().log.Mend();
    this->Odd().log.Thaw();
    this->fleet.servers.cut_off_from_peers.clear();
    if (this->moments.reads_servers_at_once) {
      this->ShowLast();
    }
  }
  void ShowLast() { this->Show(this->Odd(), this->moments.release.steps[1]); }

  void BeginStreams() {
    for (const VersionByIndex software : this->moments.release.steps) {
      for (std::size_t index = 1; index < kGateways; ++index) {
        this->Show(*this->fleet.gateways[index], software);
      }
      if (!this->moments.begins_at_once) {
        this->fleet.RunFor(Milliseconds(40));
      }
      for (std::size_t number = 0; number < kStreams / 2; ++number) {
        this->Begin(*this->fleet.gateways[1 + number % 2]);
      }
    }
    this->fleet.RunUntil([this] {
      return std::all_of(
          this->streams.begin(), this->streams.end(),
          [](const auto& stream) { return stream->received.status != 0; });
    });
    for (const auto& stream : this->streams) {
      this->begun += stream->received.status == 200 ? 1 : 0;
    }
  }
  void Begin(GatewayParts& gateway) {
    auto stream = std::make_unique<Stream>();
    stream->id = "s" + std::to_string(this->streams.size());
    stream->last_attempt = stream->id;
    this->Start(gateway, *stream,
                CallTo(std::string(kPrefix) + stream->id, "sound", stream->id));
    this->streams.push_back(std::move(stream));
  }
  void Start(GatewayParts& gateway, Stream& stream, HttpRequest request) {
    const HostRoute* const route =
        this->fleet.fixture.configuration->routes.Find("app.example",
                                                       request.target);
    stream.received = ReceivedResponse();
    stream.call =
        ForwardedCall::Start(gateway.environment, *route, std::move(request),
                             std::make_shared<FakeResponder>(stream.received),
                             [](const std::shared_ptr<ForwardedCall>&) {});
  }

  void TakeUpAll() {
    for (const auto& stream : this->streams) {
      stream->attempt = "again-" + std::to_string(++this->attempts);
      HttpRequest request =
          CallTo(std::string(kPrefix) + stream->id, "sound", stream->attempt);
      request.headers.push_back({"After-Event", "2"});
      if (this->moments.named != Named::kNothing) {
        request.headers.push_back({"Goes-On", this->NameOf(*stream)});
      }
      this->Start(this->Odd(), *stream, std::move(request));
    }
    // The requests have arrived before a stopped gateway reads anything.
    this->Odd().log.Thaw();
    this->fleet.RunUntil([this] {
      return std::all_of(
          this->streams.begin(), this->streams.end(),
          [](const auto& stream) { return stream->call->Ended(); });
    });
    for (const auto& stream : this->streams) {
      const int status = stream->received.status;
      CHECK_TEXT(status == 200 || status == 503, this->moments.text.c_str());
      (status == 200 ? this->went_on : this->refused) += 1;
      if (status == 200) {
        stream->last_attempt = stream->attempt;
      }
      this->CheckOneVersion(*stream);
    }
  }
  std::string NameOf(const Stream& stream) const {
    switch (this->moments.named) {
      case Named::kLastAttempt:
        return stream.last_attempt;
      case Named::kUnknown:
        return "unknown";
      case Named::kFirstAttempt:
      case Named::kNothing:
        break;
    }
    return stream.id;
  }
  void CheckOneVersion(const Stream& stream) const {
    std::set<std::string> versions;
    for (const ServedRequest& served : this->fleet.servers.served) {
      const std::string& id = served.expected_id;
      if (served.target == std::string(kPrefix) + stream.id) {
        versions.insert(id.substr(id.rfind('-') + 1));
      }
    }
    CHECK_TEXT(versions.size() <= 1,
               (stream.id + " joined: " + this->moments.text).c_str());
  }

  Moments moments;
  GatewayFleet fleet{kGateways, 4};
  decltype(FakeServers::peers) cut_peers;
  std::vector<std::unique_ptr<Stream>> streams;
  Stream earlier;
  std::size_t attempts = 0;
};

}  // namespace

TEST_GROUP(StreamOutOfStep){};

TEST(StreamOutOfStep, JoinsTwoVersionsAtAGatewayThatMissedARelease) {
  std::size_t begun = 0;
  std::size_t went_on = 0;
  for (const OutOfStep out_of_step : kAllOutOfStep) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      Play play(MomentsOf(out_of_step, seed));
      play.Run();
      begun += play.begun;
      went_on += play.went_on;
    }
  }
  CHECK_TRUE(begun > 0);
  CHECK_TRUE(went_on > 0);
}

}  // namespace carobbank
