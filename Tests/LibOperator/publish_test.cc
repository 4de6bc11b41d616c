// Tests of `publish`: races between operators, lost responses, outages of the
// log, and the exit codes.

#include <cstdio>
#include <fstream>

#include "LibContract/document_texts.h"
#include "LibOperator/fake_environment.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

Json::Value StatusAt(std::int64_t offset) {
  Json::Value status;
  status["offset"] = Json::Int64(offset);
  return status;
}

}  // namespace

TEST_GROUP(Publish) {
  FakeEnvironment environment;
  std::string file =
      std::string(getenv("CAROBBANK_BIN")) + "/publish-test.yaml";

  void teardown() override {
    std::remove(file.c_str());
  }

  void Write(const std::string& text) {
    std::ofstream(file) << text;
  }

  ExitCode Run(std::vector<std::string> more = {}) {
    std::vector<std::string> arguments = {"carobbank publish", "--log",
                                          "http://log", file};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return RunVerb("publish", arguments, environment);
  }

  std::size_t Records() {
    return environment.log.TrueRecords(kConfigurationStream).size();
  }

  // The configuration as a reader that starts without state rebuilds it.
  ConfigurationFold Folded() {
    ConfigurationFold fold;
    for (const LogRecord& record :
         environment.log.TrueRecords(kConfigurationStream)) {
      fold.Apply(static_cast<std::int64_t>(record.offset), record.time_ms,
                 record.payload);
    }
    return fold;
  }
};

TEST(Publish, PutsInForceOnceAndReportsARepeatedDocument) {
  Write(DocumentText("s", "t"));
  CHECK_TRUE(Run() == ExitCode::kOk);
  STRCMP_CONTAINS("s: in_force, revision 0", environment.TakeOut().c_str());
  CHECK_TRUE(Run() == ExitCode::kOk);
  STRCMP_CONTAINS("already_in_force", environment.TakeOut().c_str());
  LONGS_EQUAL(1, Records());
  Write(DocumentText("s", "t", 7));
  CHECK_TRUE(Run() == ExitCode::kOk);
  LONGS_EQUAL(1, Folded().State()->Find("s")->revision);
}

TEST(Publish, FaultsOfTheLog) {
  struct Row {
    const char* name;
    FakeLogFaults faults;
    ExitCode code;
    const char* output;
    bool in_force;
  };
  const auto faults = [](auto set) {
    FakeLogFaults result;
    set(result);
    return result;
  };
  const std::vector<Row> rows = {
      {"response lost after the append",
       faults([](auto& set) { set.lost_answers = 1; }), ExitCode::kOk,
       "in_force", true},
      {"request lost before the append",
       faults([](auto& set) { set.lost_requests = 2; }), ExitCode::kOk,
       "in_force", true},
      {"every response lost", faults([](auto& set) { set.lost_answers = 999; }),
       ExitCode::kOk, "in_force", true},
      {"every request lost", faults([](auto& set) { set.lost_requests = 999; }),
       ExitCode::kUnknown, "repeat the same command", false},
      {"no append", faults([](auto& set) { set.append_outage = true; }),
       ExitCode::kFailed, "not_appended", false},
      {"no budget", faults([](auto& set) { set.append_budget = 0; }),
       ExitCode::kFailed, "not_appended", false},
      {"no read", faults([](auto& set) { set.read_outage = true; }),
       ExitCode::kFailed, "", false},
  };
  int share = 1;
  for (const Row& row : rows) {
    Write(DocumentText("s", "t", ++share));
    environment.log.faults = row.faults;
    const ExitCode code = Run();
    LONGS_EQUAL_TEXT(static_cast<int>(row.code), static_cast<int>(code),
                     row.name);
    STRCMP_CONTAINS_TEXT(row.output, environment.TakeOut().c_str(), row.name);
    const ConfigurationFold fold = Folded();
    const ServiceInForce* service = fold.State()->Find("s");
    CHECK_EQUAL_TEXT(row.in_force, service->document.share == share, row.name);
  }
}

TEST(Publish, OfTwoRacingOperatorsOneIsRefusedAndSeesTheOther) {
  std::vector<PublishReport> reports;
  std::vector<Publisher> publishers;
  for (const char* name : {"ana", "luis"}) {
    PublishOptions options;
    options.log_url = "http://log";
    options.publisher = name;
    CHECK_TRUE(publishers.emplace_back(environment, options).CatchUp().value());
  }
  for (int index : {0, 1}) {
    const std::string text = DocumentText("s", "t", 10 + index);
    std::vector<PublishRequest> requests = {
        {"f", text, ParseServiceDocument("f", text).value, ""}};
    reports.push_back(publishers[index].Publish(requests).front());
  }
  CHECK_TRUE(reports[0].result == PublishResult::kInForce);
  CHECK_TRUE(reports[1].result == PublishResult::kRefused);
  STRCMP_CONTAINS("published by ana", reports[1].detail.c_str());
  LONGS_EQUAL(0, reports[1].revision);
  LONGS_EQUAL(10, Folded().State()->Find("s")->document.share);
}

TEST(Publish, ALaterDocumentSupersedesWhileTheOutcomeIsAwaited) {
  Write(DocumentText("s", "t"));
  environment.log.faults.read_outage = false;
  environment.log.faults.lost_answers = 1;
  // The log can't be read until another operator has replaced the document.
  PublishOptions options;
  options.log_url = "http://log";
  Publisher publisher(environment, options);
  CHECK_TRUE(publisher.CatchUp().value());
  environment.log.faults.read_outage = true;
  environment.on_wait = [this] {
    environment.on_wait = nullptr;
    environment.log.faults.read_outage = false;
    const ConfigurationEntry entry =
        PublishEntry{"s", 0, DocumentText("s", "t", 3), "luis", "other"};
    environment.log.Append(kConfigurationStream,
                           WriteConfigurationRecord({&entry, 1}),
                           [](const Outcome<std::uint64_t>&) {});
  };
  const std::string text = DocumentText("s", "t");
  std::vector<PublishRequest> requests = {
      {"f", text, ParseServiceDocument("f", text).value, ""}};
  const PublishReport report = publisher.Publish(requests).front();
  CHECK_TRUE(report.result == PublishResult::kSuperseded);
  STRCMP_EQUAL("luis", report.publisher.c_str());
  LONGS_EQUAL(1, report.revision);
}

TEST(Publish, RefusalsThatAppendNothing) {
  Write(DocumentText("s", "t"));
  CHECK_TRUE(Run() == ExitCode::kOk);
  struct Row {
    std::string text;
    std::vector<std::string> more;
    ExitCode code;
  };
  const std::vector<Row> rows = {
      {DocumentText("s", "u"), {}, ExitCode::kRefused},
      {DocumentText("s", "t", 8), {"--base-revision", "4"}, ExitCode::kRefused},
      {DocumentText("n", "t"), {"--base-revision", "0"}, ExitCode::kRefused},
      {DocumentText("s", "t") + "x: 1\n", {}, ExitCode::kInvalid},
      {DocumentText("s", "t", 8), {file}, ExitCode::kInvalid},
      {DocumentText("s", "t", 8), {"--timeout", "0"}, ExitCode::kInvalid},
      {DocumentText("s", "t", 8), {"--nonsense"}, ExitCode::kInvalid},
      {DocumentText("s", "t", 8), {"--dry-run"}, ExitCode::kOk},
  };
  for (const Row& row : rows) {
    Write(row.text);
    LONGS_EQUAL(static_cast<int>(row.code), static_cast<int>(Run(row.more)));
    LONGS_EQUAL(1, Records());
  }
  STRCMP_CONTAINS("- share: 100\n+ share: 8\n", environment.TakeOut().c_str());
}

TEST(Publish, AnEmptiedLogWithoutASnapshotIsNotWrittenTo) {
  Write(DocumentText("s", "t"));
  CHECK_TRUE(Run() == ExitCode::kOk);
  environment.log.ExpireBefore(kConfigurationStream, 1);
  Write(DocumentText("s", "t", 8));
  CHECK_TRUE(Run() == ExitCode::kFailed);
  LONGS_EQUAL(1, Records());
  // An entry that still has the configuration in force appends a snapshot.
  const ConfigurationEntry snapshot = Folded().MakeSnapshot();
  environment.log.Append(kConfigurationStream,
                         WriteConfigurationRecord({&snapshot, 1}),
                         [](const Outcome<std::uint64_t>&) {});
  CHECK_TRUE(Run() == ExitCode::kOk);
  LONGS_EQUAL(8, Folded().State()->Find("s")->document.share);
}

TEST(Publish, ReportsAnOutageOnce) {
  Write(DocumentText("s", "t"));
  environment.log.faults.read_outage = true;
  CHECK_TRUE(Run() == ExitCode::kFailed);
  STRCMP_EQUAL(
      "the fake log is down; read again later\n"
      "nothing was published: the fake log is down; read again later\n",
      environment.progress.str().c_str());
}

TEST(Publish, WaitsForTheNamedEntries) {
  Write(DocumentText("s", "t"));
  environment.pages["http://a/status"] = {StatusAt(-1), StatusAt(0)};
  environment.pages["http://b/status"] = {StatusAt(4)};
  CHECK_TRUE(Run({"--entry", "http://a", "--entry", "http://b"}) ==
             ExitCode::kOk);
  STRCMP_CONTAINS("http://a: offset 0, in force",
                  environment.TakeOut().c_str());
  CHECK_TRUE(Run({"--entry", "http://gone", "--json"}) ==
             ExitCode::kNotYetEverywhere);
  const auto json = Capture([&] { return ParseJson(environment.TakeOut()); });
  CHECK_FALSE(json.Value()["entries"][0]["in_force"].asBool());
  STRCMP_EQUAL("already_in_force",
               json.Value()["documents"][0]["result"].asCString());
}

}  // namespace carobbank
