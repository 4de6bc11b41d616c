// All gateways are lost at once at each point between the first event of a
// stream and the moment when all have read the log again, around a release of
// the servers' software. Guards against streams that are joined from two
// versions, and against refusals of streams that a record names.

#include <algorithm>
#include <array>
#include <set>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kGateways = 3;
constexpr std::size_t kStreams = 6;
constexpr Milliseconds kLogResponseTime{2};
constexpr std::string_view kPrefix = "/resumable/";

// Servers before the streams begin, while they run, and after the loss.
enum class Release {
  kNone,
  kTwoVersions,
  kOldServersJustGone,
  kBeginsWithTheLoss,
  kBeginsDuringTheStreams,
  // The new servers are known to the gateways only after the loss, and all old
  // ones are gone by then.
  kWholeDuringTheLoss,
};
constexpr std::array kReleases = {Release::kNone,
                                  Release::kTwoVersions,
                                  Release::kOldServersJustGone,
                                  Release::kBeginsWithTheLoss,
                                  Release::kBeginsDuringTheStreams,
                                  Release::kWholeDuringTheLoss};

// What the log does with the appends during the streams.
enum class AppendFault { kNone, kAnswerLost, kRefused, kLate };
constexpr std::array kAppendFaults = {
    AppendFault::kNone, AppendFault::kAnswerLost, AppendFault::kRefused,
    AppendFault::kLate};

// Times after the first events.
constexpr std::array<int, 4> kLossesMs = {0, 2, 8, 250};
// A second loss, after the restart; negative: none.
constexpr std::array<int, 2> kSecondLossesMs = {-1, 2};

struct Loss {
  Release release = Release::kNone;
  AppendFault append = AppendFault::kNone;
  int first_ms = 0;
  int second_ms = -1;
  // Clients that resume again name their last attempt instead of the first.
  bool last_attempt_named = false;

  std::string Text() const {
    return "release " + std::to_string(static_cast<int>(this->release)) +
           ", append fault " + std::to_string(static_cast<int>(this->append)) +
           ", lost after " + std::to_string(this->first_ms) + " ms and " +
           std::to_string(this->second_ms) + " ms";
  }
};

std::string AllV1(std::size_t /*index*/) {
  return "v1";
}
std::string AllV2(std::size_t /*index*/) {
  return "v2";
}
std::string HalfV2(std::size_t index) {
  return index % 2 == 0 ? "v1" : "v2";
}

struct RunningStream {
  std::string id;
  ReceivedResponse received;
  std::shared_ptr<ForwardedCall> call;
};

// Gateways and servers of one play.
class LostFleet {
 public:
  explicit LostFleet(const Loss& loss) : loss(loss) {
    this->fleet.servers.answer = [](const HttpClientRequest& request) {
      HttpResponse response = SoundAnswer(request);
      response.body = EventsAfter(request, 2);
      return response;
    };
    this->fleet.fixture.log.faults.response_time = kLogResponseTime;
  }

  void Play() {
    const bool mixed = this->loss.release == Release::kTwoVersions ||
                       this->loss.release == Release::kOldServersJustGone;
    this->ShowAll(mixed ? HalfV2 : AllV1);
    this->AwaitOrigins(mixed ? 2 : 1);
    this->SetAppendFault();
    this->BeginStreams();
    this->fleet.RunFor(Milliseconds(this->loss.first_ms));
    this->Lose();
    if (this->loss.append == AppendFault::kLate) {
      this->fleet.fixture.log.ApplyLate();
    }
    this->fleet.fixture.log.faults.refused_appends = 0;
    if (this->loss.second_ms >= 0) {
      this->fleet.RunFor(Milliseconds(this->loss.second_ms));
      this->Lose();
    }
    this->TakeUpEach();
    // The records and the servers are known everywhere by then.
    this->fleet.RunFor(Milliseconds(50));
    this->TakeUpEach();
  }

  // Number of streams that began, and of attempts to resume them that were
  // forwarded.
  std::size_t begun = 0;
  std::size_t resumed = 0;
  std::size_t refused = 0;

 private:
  void Show(GatewayParts& gateway,
            const std::function<std::string(std::size_t)>& software) const {
    std::vector<FleetServer> listed;
    std::size_t index = 0;
    for (FleetServer server : this->fleet.servers.Registered()) {
      if (server.service != "app") {
        continue;
      }
      server.software_version = software(index++);
      server.id += "-" + server.software_version;
      server.started_at = 0;
      listed.push_back(std::move(server));
    }
    gateway.fleet.Replace(std::move(listed),
                          gateway.environment.clock.BootNow());
    gateway.OnServersChanged();
  }
  void ShowAll(const std::function<std::string(std::size_t)>& software) {
    for (const auto& gateway : this->fleet.gateways) {
      this->Show(*gateway, software);
    }
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
  void SetAppendFault() {
    constexpr std::size_t kMany = 1'000;
    FakePartitionedLogFaults& faults = this->fleet.fixture.log.faults;
    switch (this->loss.append) {
      case AppendFault::kNone:
        break;
      case AppendFault::kAnswerLost:
        faults.lost_answers = 2;
        break;
      case AppendFault::kRefused:
        faults.refused_appends = kMany;
        break;
      case AppendFault::kLate:
        faults.late_appends = 3;
        break;
    }
  }
  void BeginStreams() {
    for (std::size_t number = 0; number < kStreams; ++number) {
      auto stream = std::make_unique<RunningStream>();
      stream->id = "s" + std::to_string(number);
      stream->call = this->Start(*this->fleet.gateways[number % kGateways],
                                 *stream, stream->id, "");
      this->streams.push_back(std::move(stream));
    }
    if (this->loss.release == Release::kBeginsDuringTheStreams) {
      this->fleet.RunFor(Milliseconds(5));
      // One gateway reads of it first.
      this->Show(*this->fleet.gateways[0], HalfV2);
    }
    CHECK_TRUE(this->fleet.RunUntil([this] {
      return std::all_of(
          this->streams.begin(), this->streams.end(),
          [](const auto& stream) { return stream->received.status != 0; });
    }));
    for (const auto& stream : this->streams) {
      this->begun += stream->received.status == 200 ? 1 : 0;
    }
  }
  std::shared_ptr<ForwardedCall> Start(GatewayParts& gateway,
                                       RunningStream& stream,
                                       const std::string& attempt,
                                       const std::string& resumes) {
    const std::string target = std::string(kPrefix) + stream.id;
    const HostRoute* const route =
        this->fleet.fixture.configuration->routes.Find("app.example", target);
    HttpRequest request = CallTo(target, "sound", attempt);
    if (!resumes.empty()) {
      request.headers.push_back({"After-Event", "2"});
      request.headers.push_back({"Goes-On", resumes});
    }
    stream.received = ReceivedResponse();
    return ForwardedCall::Start(
        gateway.environment, *route, std::move(request),
        std::make_shared<FakeResponder>(stream.received),
        [](const std::shared_ptr<ForwardedCall>&) {});
  }
  void Lose() {
    for (const auto& stream : this->streams) {
      stream->call.reset();
    }
    for (std::size_t index = 0; index < kGateways; ++index) {
      this->fleet.gateways[index].reset();
    }
    for (std::size_t index = 0; index < kGateways; ++index) {
      this->fleet.gateways[index] = std::make_unique<GatewayParts>(
          this->fleet.fixture, this->fleet.servers,
          "gateway-" + std::to_string(index));
    }
    switch (this->loss.release) {
      case Release::kNone:
        this->ShowAll(AllV1);
        break;
      case Release::kTwoVersions:
      case Release::kBeginsWithTheLoss:
      case Release::kBeginsDuringTheStreams:
        this->ShowAll(HalfV2);
        break;
      case Release::kOldServersJustGone:
      case Release::kWholeDuringTheLoss:
        this->ShowAll(AllV2);
        break;
    }
  }
  // Each stream at each gateway.
  void TakeUpEach() {
    for (const auto& stream : this->streams) {
      std::string last = stream->id;
      for (const auto& gateway : this->fleet.gateways) {
        const std::string attempt = "again-" + std::to_string(++this->attempts);
        stream->call = this->Start(*gateway, *stream, attempt, last);
        this->fleet.RunUntil([&] { return stream->call->Ended(); });
        const int status = stream->received.status;
        CHECK_TEXT(status == 200 || status == 503, this->loss.Text().c_str());
        (status == 200 ? this->resumed : this->refused) += 1;
        if (status == 200 && this->loss.last_attempt_named) {
          last = attempt;
        }
      }
      this->CheckOneVersion(stream->id);
    }
  }
  void CheckOneVersion(const std::string& stream) const {
    std::set<std::string> versions;
    for (const ServedRequest& served : this->fleet.servers.served) {
      const std::string& id = served.expected_id;
      if (served.target == std::string(kPrefix) + stream) {
        versions.insert(id.substr(id.rfind('-') + 1));
      }
    }
    CHECK_TEXT(versions.size() <= 1,
               (stream + " joined: " + this->loss.Text()).c_str());
  }

  Loss loss;
  GatewayFleet fleet{kGateways, 4};
  std::vector<std::unique_ptr<RunningStream>> streams;
  std::size_t attempts = 0;
};

}  // namespace

TEST_GROUP(StreamLoss) {
  // Over all losses of the release; the last two are attempts to resume.
  struct Counts {
    std::size_t begun = 0;
    std::size_t resumed = 0;
    std::size_t refused = 0;
  };

  Counts PlayAll(Release release, AppendFault append) {
    Counts counts;
    for (const int first_ms : kLossesMs) {
      for (const int second_ms : kSecondLossesMs) {
        LostFleet fleet({release, append, first_ms, second_ms, second_ms >= 0});
        fleet.Play();
        counts.begun += fleet.begun;
        counts.resumed += fleet.resumed;
        counts.refused += fleet.refused;
      }
    }
    return counts;
  }
};

TEST(StreamLoss, JoinsTwoVersionsAfterAllGatewaysWereLost) {
  for (const Release release : kReleases) {
    for (const AppendFault append : kAppendFaults) {
      const Counts counts = this->PlayAll(release, append);
      CHECK_TRUE(counts.begun > 0);
      if (release == Release::kNone) {
        LONGS_EQUAL(0, counts.refused);
      }
    }
  }
}

TEST(StreamLoss, RefusesStreamsOfWhichTheLogHoldsARecord) {
  LostFleet fleet({Release::kTwoVersions, AppendFault::kNone, 250, -1});
  fleet.Play();
  LONGS_EQUAL(0, fleet.refused);
  LONGS_EQUAL(kStreams * kGateways * 2, fleet.resumed);
}

}  // namespace carobbank
