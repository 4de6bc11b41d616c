// The plain service and the log stand-in over HTTP, and POST /control. Guards
// against a fault that executes a request which it should drop (or the
// reverse), and against records that miss executions or expired log records.

#include <string>

#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

HttpHeaders KeyHeaders(std::string key, std::string attempt) {
  return {{"Idempotency-Key", std::move(key)},
          {"X-Carobbank-Attempt", std::move(attempt)}};
}

std::int64_t ExecutionsOf(StandInHost& host, const std::string& key) {
  return host.Record()["by_key"][key].asInt64();
}

}  // namespace

TEST_GROUP(ServiceStandIns){};

TEST(ServiceStandIns, PlainServiceCountsExecutionsByKeyAndAttempt) {
  StandInHost host("plain");
  host.Fetch("POST", "/slots", "{}", KeyHeaders("k", "a1"));
  host.Fetch("POST", "/slots", "{}", KeyHeaders("k", "a2"));
  const Json::Value record = host.Record();
  CHECK_EQUAL(2, record["by_key"]["k"].asInt64());
  CHECK_EQUAL(1, record["by_attempt"]["a2"].asInt64());
  STRCMP_EQUAL("answered", record["executions"][0]["ended"].asString().c_str());
}

TEST(ServiceStandIns, PlainServiceFaultsDecideWhetherTheRequestRuns) {
  struct Fault {
    const char* control;
    std::int64_t executions;
  };
  constexpr Fault kFaults[] = {
      {R"({"lose_answers": 1})", 1},
      {R"({"lose_requests": 1})", 0},
      {R"({"fail_requests": 1})", 1},
      {R"({"refuse_requests": 1})", 0},
      {R"({"crash_marker": "x", "crash_down_ms": 1})", 1},
  };
  for (const Fault& fault : kFaults) {
    StandInHost host("plain");
    host.Fetch("GET", "/warm-up");
    host.ControlDirectly(fault.control);
    const auto response =
        host.Fetch("POST", "/slots", "x", KeyHeaders("k", "a"));
    CHECK_FALSE(response.Ok() && response.Value().status == 200);
    while (!host.Fetch("GET", "/control").Ok()) {
    }
    CHECK_EQUAL_TEXT(fault.executions, ExecutionsOf(host, "k"), fault.control);
  }
}

TEST(ServiceStandIns, LogRecordHoldsExpiredRecords) {
  StandInHost host("log", R"({"retention_records": 1})");
  host.Fetch("POST", "/streams/s/records", R"({"payload": "a"})");
  host.Fetch("POST", "/streams/s/records", R"({"payload": "b"})");
  const auto page = host.Fetch("GET", "/streams/s/records?from=0");
  CHECK_EQUAL(410, page.Value().status);
  CHECK_EQUAL(2U, host.Record()["streams"]["s"].size());
}

TEST(ServiceStandIns, InvalidControlIsRejected) {
  StandInHost host("log");
  for (const char* body :
       {"[]", "{", R"({"outage": 1})", R"({"no_such_fault": true})",
        R"({"lose_answers": -1})"}) {
    const auto response = host.Fetch("POST", "/control", body);
    CHECK_EQUAL_TEXT(400, response.Value().status, body);
  }
}

TEST(ServiceStandIns, ControlReturnsTheSettingsInForce) {
  StandInHost host("log");
  const auto response =
      host.Fetch("POST", "/control", R"({"outage": true, "delay_ms": 0})");
  CHECK_EQUAL(200, response.Value().status);
  CHECK_TRUE(host.FetchJson("/control")["outage"].asBool());
}

TEST(ServiceStandIns, SilentServiceRespondsOnlyToControlAndRecord) {
  StandInHost host("plain", R"({"silent": true})");
  auto silenced = host.BeginFetch("GET", "/");
  CHECK_TRUE(host.FetchJson("/control")["silent"].asBool());
  CHECK_EQUAL(0U, host.Record()["executions"].size());
  const auto state = silenced.wait_for(std::chrono::seconds(0));
  CHECK_TRUE(state == std::future_status::timeout);
}

}  // namespace carobbank
