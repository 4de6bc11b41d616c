// Tests of check, status and timeline against scripted processes.

#include <cstdio>
#include <fstream>

#include "LibContract/document_texts.h"
#include "LibOperator/fake_environment.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

Json::Value Parsed(const std::string& text) {
  return Capture([&] { return ParseJson(text); }).Value();
}

constexpr const char* kEntryStatus = R"({
  "instance": "entry-1", "data_center": "mvd-a", "offset": 9, "digest": "abc",
  "services": [{"name": "live", "class": "live", "share": 10, "revision": 4},
    {"name": "a", "class": "training", "share": 100, "revision": 9},
    {"name": "b", "class": "training", "share": 300, "revision": 7}],
  "servers": [{"instance": "srv-1", "version": 2, "running": 9},
    {"instance": "srv-2", "version": 3}],
  "keys": {"open": [{"service": "live", "key_digest": "12", "attempt": "x"}]},
  "quarantine": ["feed"]})";

constexpr const char* kSidecarStatus = R"({
  "instance": "srv-1", "pool": "p", "config_offset": 8, "config_digest": "old",
  "version": 3, "running": 1, "waiting": 2, "draining": true, "quarantine": [],
  "services": [{"service": "a", "queued": 5, "running": 1,
    "served_tokens": 250}, {"service": "b", "served_tokens": 750}, 17]})";

Event At(std::int64_t wall_ms, EventKind kind, const char* request) {
  Event event;
  event.time = {wall_ms, 0};
  event.kind = kind;
  event.request = request;
  event.instance = "entry-" + std::to_string(wall_ms % 2);
  event.data_center = "mvd-a";
  return event;
}

// A timeline page of these events, with sequence numbers from `first` on.
Json::Value Page(std::uint64_t first, std::vector<Event> events) {
  return TimelinePageToJson(
      {first, first + events.size(), 0, std::move(events)});
}

}  // namespace

TEST_GROUP(Subcommands) {
  FakeEnvironment environment;

  ExitCode Run(std::string_view subcommand,
               std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "carobbank");
    return RunVerb(subcommand, arguments, environment);
  }
};

TEST(Subcommands, CheckListsEveryIssueOfEveryFile) {
  const std::string folder = std::string(getenv("CAROBBANK_BIN")) + "/";
  const std::string good = folder + "check-good.yaml";
  const std::string bad = folder + "check-bad.yaml";
  std::ofstream(good) << DocumentText("s", "t");
  std::ofstream(bad) << Replaced(DocumentText("S", "t"), "share", "shares");
  CHECK_TRUE(Run("check", {good}) == ExitCode::kOk);
  STRCMP_CONTAINS("check-good.yaml: valid", environment.TakeOut().c_str());
  CHECK_TRUE(Run("check", {"--json", bad, good, folder + "no-such-file"}) ==
             ExitCode::kInvalid);
  const Json::Value json = Parsed(environment.TakeOut());
  LONGS_EQUAL(3, json["issues"].size());
  LONGS_EQUAL(7, json["issues"][1]["line"].asInt());
  CHECK_TRUE(json["files"][1]["valid"].asBool());
  CHECK_TRUE(Run("check", {}) == ExitCode::kInvalid);
  CHECK_TRUE(Run("shred", {good}) == ExitCode::kInvalid);
  std::remove(good.c_str());
  std::remove(bad.c_str());
}

TEST(Subcommands, StatusMergesEntriesAndSidecars) {
  environment.pages["http://e/status"] = {Parsed(kEntryStatus)};
  environment.pages["http://s/status"] = {Parsed(kSidecarStatus)};
  CHECK_TRUE(Run("status", {"--json", "--entry", "http://e", "--entry",
                            "http://s"}) == ExitCode::kOk);
  const Json::Value merged = Parsed(environment.TakeOut());
  CHECK_FALSE(merged["configuration_agrees"].asBool());
  const Json::Value& a = merged["services"][0];
  STRCMP_EQUAL("a", a["name"].asCString());
  DOUBLES_EQUAL(25, a["asked_percent"].asDouble(), 0.01);
  DOUBLES_EQUAL(25, a["served_percent"].asDouble(), 0.01);
  LONGS_EQUAL(5, a["queued"].asInt());
  // The sidecar's own report takes precedence over the entry's older one.
  LONGS_EQUAL(3, merged["servers"][0]["version"].asInt());
  CHECK_FALSE(merged["servers"][0]["takes_new_work"].asBool());
  LONGS_EQUAL(2, merged["servers"].size());
  LONGS_EQUAL(1, merged["open_claims"].size());
  STRCMP_EQUAL("feed", merged["quarantine"][0].asCString());
}

TEST(Subcommands, StatusShowsReachableProcessesWhenOthersFail) {
  environment.pages["http://e/status"] = {Parsed(kEntryStatus)};
  environment.pages["http://odd/status"] = {Parsed("[1]")};
  CHECK_TRUE(Run("status", {"--entry", "http://gone", "--entry", "http://odd",
                            "--entry", "http://e"}) == ExitCode::kFailed);
  const std::string text = environment.TakeOut();
  STRCMP_CONTAINS("http://gone: not reachable", text.c_str());
  STRCMP_CONTAINS("http://odd: not reachable: not a status page", text.c_str());
  STRCMP_CONTAINS("mvd-a/entry-1: offset 9 digest abc", text.c_str());
  STRCMP_CONTAINS("claims without a known outcome (1)", text.c_str());
}

TEST(Subcommands, TimelineMergesInOrderAndFilters) {
  environment.pages["http://a/timeline?after=0"] = {
      Page(0, {At(10, EventKind::kAdmit, "r"), At(12, EventKind::kSend, "r")})};
  environment.pages["http://a/timeline?after=2"] = {
      Page(2, {At(20, EventKind::kDeliver, "r")})};
  environment.pages["http://a/timeline?after=3"] = {Page(3, {})};
  environment.pages["http://b/timeline?after=0"] = {
      Page(0, {At(11, EventKind::kQueue, "r"), At(13, EventKind::kSend, "q")})};
  environment.pages["http://b/timeline?after=2"] = {Page(2, {})};
  const std::vector<std::string> from = {"--from", "http://a", "--from",
                                         "http://b"};
  auto arguments = from;
  arguments.insert(arguments.end(), {"--request", "r"});
  CHECK_TRUE(Run("timeline", arguments) == ExitCode::kOk);
  STRCMP_EQUAL(
      "10.0 mvd-a/entry-0 admit request=r\n"
      "11.0 mvd-a/entry-1 queue request=r\n"
      "12.0 mvd-a/entry-0 send request=r\n"
      "20.0 mvd-a/entry-0 deliver request=r\n",
      environment.TakeOut().c_str());
  arguments = from;
  arguments.insert(arguments.end(), {"--server", "entry-1", "--json"});
  CHECK_TRUE(Run("timeline", arguments) == ExitCode::kOk);
  LONGS_EQUAL(2, Parsed(environment.TakeOut()).size());
  CHECK_TRUE(Run("timeline", {"--from", "http://a", "--from", "http://c"}) ==
             ExitCode::kFailed);
  STRCMP_CONTAINS("deliver", environment.TakeOut().c_str());
}

TEST(Subcommands, ChromeTraceNamesProcessesAndSpansRows) {
  environment.pages["http://a/timeline?after=0"] = {
      Page(0, {At(10, EventKind::kAdmit, "r"), At(14, EventKind::kFinish, "r"),
               At(11, EventKind::kQueue, "r")})};
  environment.pages["http://a/timeline?after=3"] = {Page(3, {})};
  CHECK_TRUE(Run("timeline", {"--from", "http://a", "--format", "chrome"}) ==
             ExitCode::kOk);
  const Json::Value trace = Parsed(environment.TakeOut());
  int instants = 0;
  int names = 0;
  for (const Json::Value& event : trace["traceEvents"]) {
    const std::string phase = event["ph"].asString();
    instants += phase == "i" ? 1 : 0;
    names += phase == "M" ? 1 : 0;
    if (phase == "X" && event["pid"].asInt() == 1) {
      LONGS_EQUAL(10'000, event["ts"].asInt());
      LONGS_EQUAL(4'000, event["dur"].asInt());
    }
  }
  LONGS_EQUAL(3, instants);
  LONGS_EQUAL(4, names);
}

TEST(Subcommands, TheTokenIsReadFromItsFile) {
  const std::string file = std::string(getenv("CAROBBANK_BIN")) + "/token";
  std::ofstream(file) << "open-sesame\nsecond line\n";
  environment.pages["http://e/status"] = {Parsed(kEntryStatus)};
  CHECK_TRUE(Run("status", {"--entry", "http://e", "--token-file", file}) ==
             ExitCode::kOk);
  STRCMP_EQUAL("open-sesame", environment.last_token.c_str());
  std::remove(file.c_str());
  CHECK_TRUE(Run("status", {"--entry", "http://e", "--token-file", file}) ==
             ExitCode::kInvalid);
}

}  // namespace carobbank
