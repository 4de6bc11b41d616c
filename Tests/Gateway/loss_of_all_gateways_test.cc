// All gateways are lost while a job is being accepted, and again while they
// read the log. Guards against accepted jobs that no gateway can read or end,
// and against jobs that are accepted twice.

#include "relaying_instances.h"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kInstances = 3;
constexpr Milliseconds kLogResponseTime{2};
// Times after the submission, and after the restart, at which all are lost. The
// log responds to an append, and to a first read, within a few milliseconds.
constexpr std::array<int, 7> kLossesMs = {0, 1, 2, 3, 4, 6, 9};
constexpr std::array<int, 5> kSecondLossesMs = {-1, 0, 1, 3, 5};

// What the log does with the append that accepts the job.
enum class AppendFault {
  kNone,
  kAnswerLost,
  kRefusedFirst,
  // Carried out while no gateway runs.
  kLateInDowntime,
  // Carried out while the gateways read the log again.
  kLateWhileReading,
};
constexpr std::array kAppendFaults = {
    AppendFault::kNone, AppendFault::kAnswerLost, AppendFault::kRefusedFirst,
    AppendFault::kLateInDowntime, AppendFault::kLateWhileReading};

struct Loss {
  AppendFault append = AppendFault::kNone;
  int first_ms = 0;
  // Negative: none.
  int second_ms = -1;

  std::string Text() const {
    return "append fault " + std::to_string(static_cast<int>(this->append)) +
           ", lost after " + std::to_string(this->first_ms) + " ms and " +
           std::to_string(this->second_ms) + " ms";
  }
};

// Gateways on a log of their own, lost and started again as one.
struct LostFleet {
  LostFleet() {
    this->fixture.settings.job_partitions = kPartitions;
    for (std::int64_t number = 0; number < kPartitions; ++number) {
      this->fixture.log.owners.push_back(
          {{std::string(kTopic), number},
           "i@" + Address(static_cast<std::size_t>(number)) + "#100"});
    }
    this->fixture.log.faults.response_time = kLogResponseTime;
  }
  ~LostFleet() { this->LoseAll(); }

  static std::string Address(std::size_t index) {
    return "10.0.0." + std::to_string(index) + ":1";
  }
  void StartAll() {
    for (std::size_t index = 0; index < kInstances; ++index) {
      this->instances.push_back(std::make_unique<RelayingInstance>(
          this->fixture, this->client, Address(index)));
      this->client.listening[Address(index)] = this->instances.back().get();
      this->instances.back()->owners.Refresh();
      if (index < kPartitions) {
        this->instances.back()->partitions.SetNeeded(
            {static_cast<std::int64_t>(index)});
      }
    }
  }
  void LoseAll() {
    this->client.listening.clear();
    this->instances.clear();
  }
  bool InStep() const {
    return std::all_of(this->instances.begin(), this->instances.end(),
                       [](const auto& instance) {
                         return instance->owners.OwnersRead() &&
                                std::all_of(instance->partitions.All().begin(),
                                            instance->partitions.All().end(),
                                            [](const auto& partition) {
                                              return !partition->Following() ||
                                                     partition->Synced();
                                            });
                       });
  }
  void RunUntilInStep() {
    CHECK_TRUE(
        this->fixture.runner.RunUntil([this] { return this->InStep(); }));
  }
  void BeginSubmission(std::size_t at, ReceivedResponse& received) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/train/";
    request.body = "a " + ModelIn(0);
    this->instances[at]->relay.Submit(
        request, std::make_shared<FakeResponder>(received));
  }
  int Call(std::size_t at, std::string_view path) {
    HttpRequest request;
    request.target = std::string(path) + "a";
    ReceivedResponse received;
    RelayingInstance& instance = *this->instances[at];
    instance.relay.Handle(request, *instance.dialect.RecognizeJobCall(request),
                          std::make_shared<FakeResponder>(received));
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&received] { return received.status != 0; }));
    return received.status;
  }
  std::size_t Acceptances() {
    const auto& records = this->fixture.log.Records({std::string(kTopic), 0});
    return static_cast<std::size_t>(std::count_if(
        records.begin(), records.end(), [](const KeyedLogRecord& record) {
          return record.record.key.starts_with("j/");
        }));
  }

  GatewayFixture fixture;
  ClusterClient client{this->fixture.runner.loop};
  std::vector<std::unique_ptr<RelayingInstance>> instances;
};

void SetAppendFault(FakePartitionedLogFaults& faults, AppendFault fault) {
  faults.lost_answers = fault == AppendFault::kAnswerLost ? 1 : 0;
  faults.refused_appends = fault == AppendFault::kRefusedFirst ? 1 : 0;
  const bool late = fault == AppendFault::kLateInDowntime ||
                    fault == AppendFault::kLateWhileReading;
  faults.late_appends = late ? 1 : 0;
}

void CheckJobSurvives(const Loss& loss) {
  LostFleet fleet;
  LoopRunner& runner = fleet.fixture.runner;
  fleet.StartAll();
  fleet.RunUntilInStep();
  SetAppendFault(fleet.fixture.log.faults, loss.append);
  ReceivedResponse submitted;
  fleet.BeginSubmission(kInstances - 1, submitted);
  if (loss.first_ms > 0) {
    runner.RunFor(Milliseconds(loss.first_ms));
  }
  fleet.LoseAll();
  SetAppendFault(fleet.fixture.log.faults, AppendFault::kNone);
  const bool accepted = submitted.status == 202;
  if (loss.append == AppendFault::kLateInDowntime) {
    fleet.fixture.log.ApplyLate();
  }
  fleet.StartAll();
  if (loss.second_ms >= 0) {
    runner.RunFor(Milliseconds(loss.second_ms));
    fleet.LoseAll();
    fleet.StartAll();
  }
  if (loss.append == AppendFault::kLateWhileReading) {
    runner.RunFor(Milliseconds(1));
    fleet.fixture.log.ApplyLate();
  }
  fleet.RunUntilInStep();
  const std::string text = loss.Text();
  if (!accepted) {
    ReceivedResponse again;
    fleet.BeginSubmission(1, again);
    runner.RunUntil([&again] { return again.status != 0; });
    LONGS_EQUAL_TEXT(202, again.status, text.c_str());
  }
  LONGS_EQUAL_TEXT(1, fleet.Acceptances(), text.c_str());
  for (std::size_t at = 0; at < kInstances; ++at) {
    LONGS_EQUAL_TEXT(200, fleet.Call(at, kJobPath), text.c_str());
    LONGS_EQUAL_TEXT(200, fleet.Call(at, kBodyPath), text.c_str());
  }
  for (std::size_t at = 0; at < kInstances; ++at) {
    LONGS_EQUAL_TEXT(200, fleet.Call(at, kEndPath), text.c_str());
    LONGS_EQUAL_TEXT(200, fleet.Call(at, kJobPath), text.c_str());
  }
}

}  // namespace

TEST_GROUP(LossOfAllGateways){};

TEST(LossOfAllGateways, AnAcceptedJobCantBeReadOrEnded) {
  for (const AppendFault append : kAppendFaults) {
    for (const int first_ms : kLossesMs) {
      for (const int second_ms : kSecondLossesMs) {
        CheckJobSurvives({append, first_ms, second_ms});
      }
    }
  }
}

}  // namespace carobbank
