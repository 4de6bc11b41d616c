// Guards against usage reports that are missing, wrong, or sent twice with
// different counts when a gateway, the lease holder, the log or the API fails.

#include "duty_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kLease{700};
constexpr Milliseconds kWindow{400};
constexpr Milliseconds kRequestPeriod{3};

std::string TextOf(const UsageCounts& counts) {
  std::string text;
  for (const auto& [workspace, count] : counts) {
    text += workspace + "=" + std::to_string(count) + ",";
  }
  return text;
}

}  // namespace

TEST_GROUP(UsageReports) {
  GatewayFixture fixture;
  std::unique_ptr<ReportReceiver> receiver;
  std::vector<std::unique_ptr<DutyGateway>> gateways;
  // What servers began to run.
  std::map<std::int64_t, UsageCounts> truth;
  std::unique_ptr<Timer> traffic;
  std::size_t requests = 0;

  void setup() override {
    this->fixture.settings.order_lease_ms = kLease.count();
    this->receiver =
        std::make_unique<ReportReceiver>(this->fixture.runner.loop);
    for (int i = 0; i < 3; ++i) {
      this->AddGateway("gateway-" + std::to_string(i), LeasePartition());
    }
    this->gateways[0]->lease.SetElected(true);
  }
  void teardown() override {
    this->traffic.reset();
    this->gateways.clear();
    this->receiver.reset();
  }

  void AddGateway(const std::string& name, const TopicPartition& partition) {
    this->gateways.push_back(std::make_unique<DutyGateway>(
        this->fixture, name, partition, this->receiver->client));
  }

  // One request of a workspace at each gateway in turn.
  void StartTraffic() {
    this->traffic = this->fixture.runner.loop.CallAfter(kRequestPeriod, [this] {
      this->StartTraffic();
      DutyGateway* const gateway =
          this->gateways[this->requests++ % this->gateways.size()].get();
      if (gateway == nullptr) {
        return;
      }
      const WallMilliseconds now = this->fixture.clock.WallNow();
      const std::string workspace = this->requests % 5 == 0 ? "b" : "a";
      gateway->publisher.RecordBegun(workspace, now);
      ++this->truth[UsageWindowAt(now, kWindow)][workspace];
    });
  }

  bool RunUntilReported(std::size_t windows) {
    return this->fixture.runner.RunUntil(
        [this, windows] { return this->receiver->reports.size() >= windows; });
  }

  // The counts that the log holds of a window.
  UsageCounts Appended(std::int64_t window) {
    UsageLedger ledger{TestReporterOptions().reports};
    for (const KeyedLogRecord& record :
         this->fixture.log.Records(TestUsageTopics().counts)) {
      if (!record.record.value.empty()) {
        ledger.ApplyCounts(record.record);
      }
    }
    for (const UsageReport& report : ledger.Undecided(
             UsageWindowEnd(window, kWindow) + 10 * kWindow.count())) {
      if (report.window == window) {
        return report.counts;
      }
    }
    return {};
  }

  // One text per window, none missing in between, as the log says.
  void CheckReports() {
    std::int64_t expected = this->receiver->reports.begin()->first;
    for (const auto& [window, texts] : this->receiver->reports) {
      CHECK_EQUAL(expected, window);
      ++expected;
      LONGS_EQUAL(1, texts.size());
      STRCMP_EQUAL(TextOf(this->Appended(window)).c_str(),
                   texts.begin()->c_str());
    }
    for (const auto& [token, holders] : this->receiver->holders) {
      LONGS_EQUAL(1, holders.size());
    }
  }

  void CheckTruth() {
    for (const auto& [window, texts] : this->receiver->reports) {
      STRCMP_EQUAL(TextOf(this->truth[window]).c_str(), texts.begin()->c_str());
    }
  }
};

TEST(UsageReports, EachWindowIsReportedOnceWithTheCountsOfAllGateways) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(5));
  this->CheckReports();
  this->CheckTruth();
  LONGS_EQUAL(this->receiver->reports.size(), this->receiver->calls);
}

TEST(UsageReports, AGatewayAppendsTwicePerWindow) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(5));
  std::map<std::string, int> records_of_window;
  for (const KeyedLogRecord& record :
       this->fixture.log.Records(TestUsageTopics().counts)) {
    ++records_of_window[record.record.key];
  }
  for (const auto& [key, count] : records_of_window) {
    CHECK_TRUE_TEXT(count <= 2, key.c_str());
  }
}

TEST(UsageReports, ARequestThatDidNotRunIsNotReported) {
  this->fixture.runner.RunFor(kLease / 2);
  const WallMilliseconds now = this->fixture.clock.WallNow();
  UsagePublisher& publisher = this->gateways[1]->publisher;
  publisher.RecordBegun("a", now);
  publisher.RecordBegun("a", now);
  publisher.RecordNotRun("a", now);
  CHECK_TRUE(this->RunUntilReported(1));
  STRCMP_EQUAL("a=1,",
               this->receiver->reports.begin()->second.begin()->c_str());
}

// The holder is lost at moments before and after it decides and sends; the
// gateway that takes the lease over sends the same reports.
TEST(UsageReports, AfterTheLossOfTheHolderTheNextOneReportsTheSame) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(1));
  for (int loss = 0; loss < 5; ++loss) {
    // Five moments of the 400 ms from one window to the next.
    this->fixture.runner.RunFor(Milliseconds(400 + 80));
    const std::size_t holder = loss % 3;
    const std::size_t next = (holder + 1) % 3;
    this->gateways[holder].reset();
    this->gateways[next]->lease.SetElected(true);
    const std::size_t reported = this->receiver->reports.size();
    CHECK_TRUE(this->RunUntilReported(reported + 2));
    this->gateways[holder] = std::make_unique<DutyGateway>(
        this->fixture, "gateway-" + std::to_string(holder), LeasePartition(),
        this->receiver->client);
  }
  this->CheckReports();
  LONGS_EQUAL(0, this->receiver->calls_with_lower_token);
}

TEST(UsageReports, AfterTheLossOfAllGatewaysWhatWasAppendedIsReported) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(2));
  for (auto& gateway : this->gateways) {
    gateway.reset();
  }
  this->fixture.runner.RunFor(Milliseconds(1'000));
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    this->gateways[i] = std::make_unique<DutyGateway>(
        this->fixture, "gateway-" + std::to_string(i), LeasePartition(),
        this->receiver->client);
  }
  this->gateways[2]->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilReported(8));
  this->CheckReports();
}

// The second lease is in another partition: both gateways are sure to be the
// only holder.
TEST(UsageReports, TwoHoldersReportTheSame) {
  this->AddGateway("gateway-3", {"another-lease", 0});
  this->gateways[3]->lease.SetElected(true);
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(6));
  for (const auto& [window, texts] : this->receiver->reports) {
    LONGS_EQUAL(1, texts.size());
  }
  this->CheckTruth();
}

TEST(UsageReports, AfterAnOutageOfTheLogTheCountsOfTheOutageAreReported) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(2));
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->fixture.runner.RunFor(Milliseconds(1'500));
  this->fixture.log.faults.outage = false;
  CHECK_TRUE(this->RunUntilReported(9));
  this->CheckReports();
  this->CheckTruth();
}

TEST(UsageReports, AHolderWithoutTheLogIsReplaced) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(2));
  this->gateways[0]->log.cut_off = true;
  this->gateways[1]->lease.SetElected(true);
  CHECK_TRUE(this->RunUntilReported(8));
  this->CheckReports();
  LONGS_EQUAL(0, this->receiver->calls_with_lower_token);
}

TEST(UsageReports, AppendsWithoutAnswersAndLateOnesChangeNoReport) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(1));
  for (int round = 0; round < 8; ++round) {
    this->fixture.log.faults.lost_answers = 1;
    this->fixture.runner.RunFor(Milliseconds(90));
    this->fixture.log.faults.late_appends = 1;
    this->fixture.runner.RunFor(Milliseconds(90));
    this->fixture.log.ApplyLate();
  }
  const std::size_t reported = this->receiver->reports.size();
  CHECK_TRUE(this->RunUntilReported(reported + 4));
  for (const auto& [window, texts] : this->receiver->reports) {
    LONGS_EQUAL(1, texts.size());
  }
  this->CheckTruth();
}

TEST(UsageReports, AReportIsRepeatedUnchangedUntilTheApiAcceptsIt) {
  this->receiver->status = 500;
  this->StartTraffic();
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->receiver->calls >= 6; }));
  this->receiver->status = 200;
  this->receiver->calls_without_response = 2;
  CHECK_TRUE(this->RunUntilReported(5));
  this->CheckReports();
  this->CheckTruth();
}

TEST(UsageReports, AHolderThatIsFencedDoesNotCallAgainWithItsToken) {
  this->StartTraffic();
  CHECK_TRUE(this->RunUntilReported(1));
  const std::uint64_t token = this->receiver->token;
  this->receiver->token = token + 1;
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->receiver->calls_with_lower_token > 0; }));
  const std::size_t reported = this->receiver->reports.size();
  CHECK_TRUE(this->RunUntilReported(reported + 2));
  LONGS_EQUAL(1, this->receiver->calls_with_lower_token);
  CHECK_TRUE(this->receiver->token > token + 1);
}

TEST(UsageReports, WhereTokensAreNotCheckedANewHolderWaitsForAnotherLease) {
  this->fixture.settings.duties.tokens_checked = false;
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    this->gateways[i] = std::make_unique<DutyGateway>(
        this->fixture, "gateway-" + std::to_string(i), LeasePartition(),
        this->receiver->client);
  }
  this->StartTraffic();
  this->gateways[0]->lease.SetElected(true);
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->gateways[0]->lease.HoldsLease(); }));
  const MonotonicTime held_since = this->gateways[0]->lease.HeldSince();
  CHECK_TRUE(this->RunUntilReported(1));
  CHECK_TRUE(this->fixture.clock.BootNow() - held_since >= kLease);
}

TEST(UsageReports, AGatewayThatDrainsAppendsItsCountsAtOnce) {
  UsagePublisher& publisher = this->gateways[1]->publisher;
  publisher.RecordBegun("a", this->fixture.clock.WallNow());
  CHECK_FALSE(publisher.Idle());
  publisher.BeginDrain();
  CHECK_TRUE(
      this->fixture.runner.RunUntil([&publisher] { return publisher.Idle(); }));
  CHECK_FALSE(this->fixture.log.Records(TestUsageTopics().counts).empty());
}

TEST(UsageReports, AnInstanceThatIsNeitherHolderNorElectedReadsNoCounts) {
  this->gateways[0]->lease.SetElected(false);
  this->StartTraffic();
  this->fixture.runner.RunFor(Milliseconds(1'200));
  LONGS_EQUAL(0, this->fixture.log.records_read[TestUsageTopics().counts]);
}

}  // namespace carobbank
