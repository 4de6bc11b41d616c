// Contract of LogClient, run against the fake and against the HTTP adapter with
// the log's stand-in.

#include <optional>
#include <string>
#include <vector>

#include "Contracts/contract_case.h"
#include "LibPlatform/platform.h"
#include "Support/fake_log.h"
#include "Support/manual_clock.h"
#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

constexpr Milliseconds kNoWait{0};
constexpr Milliseconds kShortWait{5};
constexpr Milliseconds kLongWait{30'000};

enum class LogFault {
  kAppendOutage,
  kReadOutage,
  // The next append takes effect and its response is lost.
  kLostResponse,
  // The next append is lost before it takes effect.
  kLostRequest,
  // The next append is over the budget.
  kOverBudget,
  // The log no longer responds to any request.
  kUnresponsive,
  // Only the newest record can still be read.
  kShortRetention,
};

class LogSubject {
 public:
  virtual ~LogSubject() = default;
  virtual Outcome<std::uint64_t> Append(std::string_view stream,
                                        std::string payload) = 0;
  virtual Outcome<LogPage> Read(std::string_view stream,
                                std::uint64_t from,
                                std::size_t max_records,
                                Milliseconds wait) = 0;
  // Starts a long poll, appends `payload`, and returns the poll's result.
  virtual Outcome<LogPage> ReadDuringAppend(std::string_view stream,
                                            std::uint64_t from,
                                            std::string payload) = 0;
  virtual void InjectFault(LogFault fault) = 0;
  // Payloads of all records that were ever appended.
  virtual std::vector<std::string> AppendedPayloads(
      std::string_view stream) = 0;
};

class FakeLogSubject final : public LogSubject {
 public:
  Outcome<std::uint64_t> Append(std::string_view stream,
                                std::string payload) override {
    std::optional<Outcome<std::uint64_t>> result;
    this->log.Append(stream, std::move(payload),
                     [&](auto outcome) { result = std::move(outcome); });
    return *result;
  }

  Outcome<LogPage> Read(std::string_view stream,
                        std::uint64_t from,
                        std::size_t max_records,
                        Milliseconds wait) override {
    std::optional<Outcome<LogPage>> result;
    this->log.Read(stream, from, max_records, wait,
                   [&](auto outcome) { result = std::move(outcome); });
    this->log.EndWaits();
    return *result;
  }

  Outcome<LogPage> ReadDuringAppend(std::string_view stream,
                                    std::uint64_t from,
                                    std::string payload) override {
    std::optional<Outcome<LogPage>> result;
    this->log.Read(stream, from, 10, kLongWait,
                   [&](auto outcome) { result = std::move(outcome); });
    CHECK_FALSE(result.has_value());
    this->Append(stream, std::move(payload));
    return *result;
  }

  void InjectFault(LogFault fault) override {
    FakeLogFaults& faults = this->log.faults;
    switch (fault) {
      case LogFault::kAppendOutage:
        faults.append_outage = true;
        break;
      case LogFault::kReadOutage:
        faults.read_outage = true;
        break;
      case LogFault::kLostResponse:
        faults.lost_answers = 1;
        break;
      case LogFault::kLostRequest:
        faults.lost_requests = 1;
        break;
      case LogFault::kOverBudget:
        faults.append_budget = 0;
        break;
      case LogFault::kUnresponsive:
        faults.lost_requests = 1;
        faults.read_outage = true;
        break;
      case LogFault::kShortRetention:
        this->log.retained_records = 1;
        break;
    }
  }

  std::vector<std::string> AppendedPayloads(std::string_view stream) override {
    std::vector<std::string> payloads;
    for (const LogRecord& record : this->log.TrueRecords(stream)) {
      payloads.push_back(record.payload);
    }
    return payloads;
  }

 private:
  ManualClock clock;
  FakeLog log{this->clock};
};

class HttpLogSubject final : public LogSubject {
 public:
  HttpLogSubject()
      : log(CreateHttpLogClient(this->host.Client(), this->host.Url())) {}

  Outcome<std::uint64_t> Append(std::string_view stream,
                                std::string payload) override {
    return this->host.Thread().Await<Outcome<std::uint64_t>>(
        [&](auto done) { this->log->Append(stream, payload, done); });
  }

  Outcome<LogPage> Read(std::string_view stream,
                        std::uint64_t from,
                        std::size_t max_records,
                        Milliseconds wait) override {
    return this->host.Thread().Await<Outcome<LogPage>>([&](auto done) {
      this->log->Read(stream, from, max_records, wait, done);
    });
  }

  Outcome<LogPage> ReadDuringAppend(std::string_view stream,
                                    std::uint64_t from,
                                    std::string payload) override {
    return this->host.Thread().Await<Outcome<LogPage>>([&](auto done) {
      this->log->Read(stream, from, 10, kLongWait, done);
      this->log->Append(stream, payload, [](const auto&) {});
    });
  }

  void InjectFault(LogFault fault) override {
    this->host.ControlDirectly(ControlFor(fault));
    if (fault == LogFault::kUnresponsive) {
      this->UseShortTimeout();
    }
  }

  std::vector<std::string> AppendedPayloads(std::string_view stream) override {
    const Json::Value record = this->host.Record();
    std::vector<std::string> payloads;
    for (const Json::Value& entry : record["streams"][std::string(stream)]) {
      payloads.push_back(entry["payload"].asString());
    }
    return payloads;
  }

 private:
  // A call to an unresponsive log fails after any timeout; a short one keeps
  // the test fast.
  void UseShortTimeout() {
    PlatformClientOptions options;
    options.timeout = Milliseconds(50);
    this->log =
        CreateHttpLogClient(this->host.Client(), this->host.Url(), options);
  }

  static std::string_view ControlFor(LogFault fault) {
    switch (fault) {
      case LogFault::kAppendOutage:
        return R"({"append_outage": true})";
      case LogFault::kReadOutage:
        return R"({"read_outage": true})";
      case LogFault::kLostResponse:
        return R"({"lose_answers": 1})";
      case LogFault::kLostRequest:
        return R"({"lose_requests": 1})";
      case LogFault::kOverBudget:
        return R"({"refuse_appends": 1})";
      case LogFault::kUnresponsive:
        return R"({"silent": true})";
      case LogFault::kShortRetention:
        return R"({"retention_records": 1})";
    }
    return "{}";
  }

  StandInHost host{"log"};
  std::unique_ptr<LogClient> log;
};

void CheckPayloads(const std::vector<std::string>& expected,
                   const std::vector<std::string>& actual) {
  CHECK_EQUAL(expected.size(), actual.size());
  CHECK_TRUE(expected == actual);
}

// Cases.

void AppendsGetConsecutiveOffsets(LogSubject& subject) {
  for (std::uint64_t offset = 0; offset < 3; ++offset) {
    CHECK_EQUAL(offset, subject.Append("s", std::to_string(offset)).Value());
  }
  CHECK_EQUAL(0U, subject.Append("other", "a").Value());
}

void ReadGivesRecordsInOrder(LogSubject& subject) {
  subject.Append("s", "a");
  subject.Append("s", "quote \" and \n line");
  subject.Append("s", "c");
  const LogPage page = subject.Read("s", 1, 10, kNoWait).Value();
  CHECK_EQUAL(0U, page.first_retained);
  CHECK_EQUAL(3U, page.end);
  CHECK_EQUAL(2U, page.records.size());
  CHECK_EQUAL(1U, page.records[0].offset);
  STRCMP_EQUAL("quote \" and \n line", page.records[0].payload.c_str());
  STRCMP_EQUAL("c", page.records[1].payload.c_str());
}

void ReadStopsAtItsMaximum(LogSubject& subject) {
  subject.Append("s", "a");
  subject.Append("s", "b");
  const LogPage page = subject.Read("s", 0, 1, kNoWait).Value();
  CHECK_EQUAL(1U, page.records.size());
  CHECK_EQUAL(2U, page.end);
}

void UnknownStreamIsEmpty(LogSubject& subject) {
  const LogPage page = subject.Read("unknown", 0, 10, kNoWait).Value();
  CHECK_EQUAL(0U, page.end);
  CHECK_EQUAL(0U, page.records.size());
}

void LongPollRespondsOnAppend(LogSubject& subject) {
  const auto page = subject.ReadDuringAppend("s", 0, "late");
  CHECK_TRUE(page.Ok());
  CHECK_EQUAL(1U, page.Value().records.size());
  STRCMP_EQUAL("late", page.Value().records[0].payload.c_str());
}

void LongPollEndsEmpty(LogSubject& subject) {
  subject.Append("s", "a");
  const LogPage page = subject.Read("s", 1, 10, kShortWait).Value();
  CHECK_EQUAL(0U, page.records.size());
  CHECK_EQUAL(1U, page.end);
}

void OutageOfAppendsAppendsNothing(LogSubject& subject) {
  subject.Append("s", "a");
  subject.InjectFault(LogFault::kAppendOutage);
  CheckError(ErrorKind::kUnavailable, subject.Append("s", "b"));
  CHECK_EQUAL(1U, subject.Read("s", 0, 10, kNoWait).Value().records.size());
  CheckPayloads({"a"}, subject.AppendedPayloads("s"));
}

void OutageOfReadsIsUnavailable(LogSubject& subject) {
  subject.InjectFault(LogFault::kReadOutage);
  CheckError(ErrorKind::kUnavailable, subject.Read("s", 0, 10, kNoWait));
  CHECK_TRUE(subject.Append("s", "a").Ok());
}

void OverBudgetAppendsNothing(LogSubject& subject) {
  subject.InjectFault(LogFault::kOverBudget);
  CheckError(ErrorKind::kOverloaded, subject.Append("s", "a"));
  CheckPayloads({}, subject.AppendedPayloads("s"));
}

// The first call makes the connection a reused one, on which a client might
// silently repeat a failed request; the repetition would fail this case.
void LostResponseIsUnknownAndAppendedOnce(LogSubject& subject) {
  subject.Append("s", "a");
  subject.InjectFault(LogFault::kLostResponse);
  CheckError(ErrorKind::kOutcomeUnknown, subject.Append("s", "b"));
  CheckPayloads({"a", "b"}, subject.AppendedPayloads("s"));
}

void LostRequestIsUnknownAndNotAppended(LogSubject& subject) {
  subject.Append("s", "a");
  subject.InjectFault(LogFault::kLostRequest);
  CheckError(ErrorKind::kOutcomeUnknown, subject.Append("s", "b"));
  CheckPayloads({"a"}, subject.AppendedPayloads("s"));
}

void UnresponsiveLogLeavesAppendsUnknown(LogSubject& subject) {
  subject.Append("s", "a");
  subject.InjectFault(LogFault::kUnresponsive);
  CheckError(ErrorKind::kOutcomeUnknown, subject.Append("s", "b"));
  CheckError(ErrorKind::kUnavailable, subject.Read("s", 0, 10, kNoWait));
}

void LongRecordsAreRefused(LogSubject& subject) {
  constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;
  const std::string longest(kMaxRecordBytes, 'a');
  CHECK_TRUE(subject.Append("s", longest).Ok());
  CheckError(ErrorKind::kInvalidArgument, subject.Append("s", longest + "a"));
  const LogPage page = subject.Read("s", 0, 10, kNoWait).Value();
  CHECK_EQUAL(1U, page.end);
  CHECK_EQUAL(kMaxRecordBytes, page.records[0].payload.size());
}

void ReadBelowRetentionIsExpired(LogSubject& subject) {
  for (const char* payload : {"a", "b", "c"}) {
    subject.Append("s", payload);
  }
  subject.InjectFault(LogFault::kShortRetention);
  CheckError(ErrorKind::kExpired, subject.Read("s", 1, 10, kNoWait));
  const LogPage page = subject.Read("s", 2, 10, kNoWait).Value();
  CHECK_EQUAL(2U, page.first_retained);
  CHECK_EQUAL(1U, page.records.size());
}

void OldestRetainedFollowsRetention(LogSubject& subject) {
  for (const char* payload : {"a", "b", "c"}) {
    subject.Append("s", payload);
  }
  subject.InjectFault(LogFault::kShortRetention);
  const LogPage page = subject.Read("s", kOldestRetained, 10, kNoWait).Value();
  CHECK_EQUAL(1U, page.records.size());
  CHECK_EQUAL(2U, page.records[0].offset);
  STRCMP_EQUAL("c", page.records[0].payload.c_str());
}

constexpr ContractCase<LogSubject> kLogCases[] = {
    {"appends get consecutive offsets", AppendsGetConsecutiveOffsets},
    {"a read gives records in order", ReadGivesRecordsInOrder},
    {"a read stops at its maximum", ReadStopsAtItsMaximum},
    {"an unknown stream is empty", UnknownStreamIsEmpty},
    {"a long poll responds on append", LongPollRespondsOnAppend},
    {"a long poll ends empty", LongPollEndsEmpty},
    {"an outage appends nothing", OutageOfAppendsAppendsNothing},
    {"an outage of reads is unavailable", OutageOfReadsIsUnavailable},
    {"over budget appends nothing", OverBudgetAppendsNothing},
    {"a lost response is unknown", LostResponseIsUnknownAndAppendedOnce},
    {"a lost request is unknown", LostRequestIsUnknownAndNotAppended},
    {"an unresponsive log leaves appends unknown",
     UnresponsiveLogLeavesAppendsUnknown},
    {"long records are refused", LongRecordsAreRefused},
    {"below retention is expired", ReadBelowRetentionIsExpired},
    {"oldest retained follows retention", OldestRetainedFollowsRetention},
};

}  // namespace

TEST_GROUP(LogContract){};

TEST(LogContract, Fake) {
  RunContract<LogSubject>(kLogCases,
                          [] { return std::make_unique<FakeLogSubject>(); });
}

TEST(LogContract, HttpAdapterWithStandIn) {
  RunContract<LogSubject>(kLogCases,
                          [] { return std::make_unique<HttpLogSubject>(); });
}

}  // namespace carobbank
