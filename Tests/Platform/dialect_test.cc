// Guards against misread platform messages: a field lost or misinterpreted in a
// well-formed message, or a malformed or truncated one accepted.

#include "platform/dialect.h"
#include "platform/newest_records.h"
#include "platform/store_log.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","route_kind":"safe",
   "timeout_ms":2000,"sla_ms":150,"priority":2,"max_attempts":2,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"r2","host":"a.example","path_prefix":"/t/","route_kind":"rollout",
   "service":"s1","due_ms":7500,"retention_s":40,"single_version":true},
  {"name":"r3","host":"a.example","path_prefix":"/u/","route_kind":"unsafe",
   "service":"s2"}],
 "services":[{"name":"s1","max_conns":160,"health_path":"/alive","engine":{"slots":12}},
             {"name":"s2","max_conns":110}],"unknown":{}})";

HttpRequest Request(const std::string& method, const std::string& target) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  return request;
}

}  // namespace

TEST_GROUP(JsonPlatformDialect) {
  JsonPlatformDialect dialect;
};

TEST(JsonPlatformDialect, HeadersOfServersThatLeaveHaveTheirPlatformNames) {
  STRCMP_EQUAL("Server-Leaving",
               std::string(this->dialect.HeaderNames().leaving).c_str());
  STRCMP_EQUAL("X-Instance-Id",
               std::string(this->dialect.HeaderNames().server_id).c_str());
}

TEST(JsonPlatformDialect, AConfigurationIsDecodedIntoRoutesAndServices) {
  const auto decoded = this->dialect.DecodeConfiguration(kConfiguration);
  CHECK_TRUE(decoded.Ok());
  const TrafficConfiguration& configuration = decoded.Value();
  LONGS_EQUAL(7, configuration.version);
  const HostRoute* const plain = configuration.routes.Find("a.example", "/x/1");
  CHECK_TRUE(plain->use == RouteUse::kRepeatable);
  LONGS_EQUAL(2, plain->services.size());
  LONGS_EQUAL(90, plain->services[0].weight);
  LONGS_EQUAL(150, plain->objective.count());
  const HostRoute* const jobs = configuration.routes.Find("a.example", "/t/1");
  CHECK_TRUE(jobs->use == RouteUse::kBatchJobs);
  LONGS_EQUAL(40'000, jobs->abandon_after.count());
  CHECK_TRUE(jobs->single_version);
  CHECK_TRUE(configuration.routes.Find("a.example", "/u/1")->use ==
             RouteUse::kOnce);
  STRCMP_EQUAL("/alive", configuration.services.at("s1").health_path.c_str());
  STRCMP_EQUAL("/", configuration.services.at("s2").health_path.c_str());
  CHECK_TRUE(configuration.services.at("s1").is_engine);
  CHECK_FALSE(configuration.services.at("s2").is_engine);
}

TEST(JsonPlatformDialect, AStreamingRouteMayBeResumable) {
  const auto decoded = this->dialect.DecodeConfiguration(R"({"version":7,
    "routes":[
    {"name":"r1","host":"a.example","path_prefix":"/s/",
     "route_kind":"streaming","service":"s1"},
    {"name":"r2","host":"a.example","path_prefix":"/r/",
     "route_kind":"streaming","resumable":true,"service":"s1"}],
    "services":[{"name":"s1"}]})");
  CHECK_TRUE(decoded.Ok());
  const HostRoutes& routes = decoded.Value().routes;
  const HostRoute& once = *routes.Find("a.example", "/s/1");
  CHECK_TRUE(once.streaming && !once.resumable);
  CHECK_TRUE(once.use == RouteUse::kOnce);
  const HostRoute& resumable = *routes.Find("a.example", "/r/1");
  CHECK_TRUE(resumable.streaming && resumable.resumable);
  CHECK_TRUE(resumable.use == RouteUse::kRepeatable);
}

TEST(JsonPlatformDialect, AMalformedConfigurationIsRejected) {
  for (const char* text : {"", "[]", "{}", "{\"version\":\"7\"}", "{",
                           "{\"version\":7,\"routes\":{}}"}) {
    CHECK_FALSE_TEXT(this->dialect.DecodeConfiguration(text).Ok(), text);
  }
}

TEST(JsonPlatformDialect, AServersEntryIsDecodedWithAllFields) {
  const auto decoded = this->dialect.DecodeServer("i-1", R"({"service":"s1",
    "addr":"10.0.0.9:80","zone":"z","version":"v1","slots":12,"state":"ready",
    "models":[{"name":"m","version":3,"adapters":[]}],"seq":4,
    "born":1790000000123})");
  CHECK_TRUE(decoded.Ok());
  LONGS_EQUAL(12, decoded.Value().slots);
  LONGS_EQUAL(3, decoded.Value().VersionOf("m"));
  CHECK_TRUE(decoded.Value().started_at == 1'790'000'000'123);
  CHECK_FALSE(decoded.Value().draining);
}

TEST(JsonPlatformDialect, AMalformedServersEntryIsRejected) {
  for (const char* text :
       {"", "null", "7", "{}", "\xff\xfe",
        R"({"service":"s","addr":"1.2.3.4:5","slots":"12","state":"ready"})",
        R"({"service":"s","addr":"1.2.3.4:5","slots":0,"state":"ready"})",
        R"({"service":"s","addr":"1.2.3.4:5","slots":2,"state":"odd"})",
        R"({"service":7,"addr":"1.2.3.4:5","slots":2,"state":"ready"})",
        R"({"service":"s","addr":["x"],"slots":2,"state":"ready"})",
        R"({"service":"s","addr":":","slots":2,"state":"ready"})",
        R"({"service":"s","addr":"1.2.3.4:5/x?","slots":2,"state":"ready"})",
        R"({"service":"s","addr":"a@1.2.3.4:5","slots":2,"state":"ready"})",
        R"({"service":"s","addr":"1.2.3.4:5 ","slots":2,"state":"ready"})"}) {
    CHECK_FALSE_TEXT(this->dialect.DecodeServer("i", text).Ok(), text);
  }
}

// Guards against an entry of another writer that ends the process, or names a
// server that nothing can reach.
TEST(JsonPlatformDialect, AnOddServersEntryIsUsed) {
  constexpr std::size_t kDepth = 60'000;
  const std::string lists = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects = "1";
  for (std::size_t depth = 0; depth < kDepth; ++depth) {
    objects.insert(0, "{\"a\":");
  }
  objects += std::string(kDepth, '}');
  const std::string digits(400, '9');
  const std::vector<std::string> values = {lists,
                                           objects,
                                           digits,
                                           "-" + digits,
                                           "1e999",
                                           "18446744073709551616",
                                           "9223372036854775808",
                                           "-1",
                                           "0.5",
                                           "[]",
                                           "{}",
                                           "null",
                                           "true",
                                           "\"\\ud800\""};
  const std::string rest =
      R"("service":"s","addr":"1.2.3.4:5","state":"ready")";
  for (const std::string& value : values) {
    CHECK_FALSE_TEXT(this->dialect.DecodeServer("i", value).Ok(),
                     value.substr(0, 40).c_str());
    CHECK_FALSE_TEXT(
        this->dialect
            .DecodeServer("i", "{" + rest + ",\"slots\":" + value + "}")
            .Ok(),
        value.substr(0, 40).c_str());
    for (const char* const field :
         {"born", "version", "models", "zone", "seq"}) {
      const Outcome<FleetServer> decoded = this->dialect.DecodeServer(
          "i", "{" + rest + ",\"slots\":2,\"" + field + "\":" + value + "}");
      CHECK_TRUE(!decoded.Ok() || decoded.Value().models.empty());
    }
  }
  for (const char* const address :
       {"1.2.3.4:70000", "1.2.3.4:-1", "1.2.3.4:0", "1.2.3.4:00",
        "1.2.3.4:", "1.2.3.4", "1.2.3.4:99999999999999999999", "999.1.1.1:5"}) {
    const std::string entry =
        R"({"service":"s","slots":2,"state":"ready","addr":")" +
        std::string(address) + "\"}";
    CHECK_FALSE_TEXT(this->dialect.DecodeServer("i", entry).Ok(), address);
  }
}

TEST(JsonPlatformDialect, AServerWhoseIdNoHeaderCanCarryIsRejected) {
  constexpr const char* kEntry =
      R"({"service":"s","addr":"1.2.3.4:5","slots":2,"state":"ready"})";
  for (const char* id : {"", "a b", "a\r\nX: y", "a\t", "\xc3\xbc"}) {
    CHECK_FALSE_TEXT(this->dialect.DecodeServer(id, kEntry).Ok(), id);
  }
  CHECK_TRUE(this->dialect.DecodeServer("a&+#%41", kEntry).Ok());
}

TEST(JsonPlatformDialect, AHealthRequestNamesTheServerItIsMeantFor) {
  const HttpClientRequest request =
      this->dialect.HealthRequest("10.1.0.13:8165", "i-1", "/alive");
  STRCMP_EQUAL("GET", request.method.c_str());
  STRCMP_EQUAL("http://10.1.0.13:8165/alive", request.url.c_str());
  CHECK_TRUE(FindHeader(request.headers, "X-Expect-Instance") == "i-1");
  // Without an id the server can't take it for a caller's request.
  CHECK_FALSE(FindHeader(request.headers, "X-Request-Id").has_value());
}

TEST(JsonPlatformDialect, CallsAboutJobsAreRecognized) {
  auto read = Request("GET", "/v1/lots/7c41?after=12");
  read.headers = {{"X-Wait-Ms", "1000"}};
  const auto results = this->dialect.RecognizeJobCall(read);
  CHECK_TRUE(results->kind == JobCallKind::kReadResults);
  STRCMP_EQUAL("7c41", results->job_id.c_str());
  LONGS_EQUAL(12, results->position);
  LONGS_EQUAL(1'000, results->wait.count());
  const auto body =
      this->dialect.RecognizeJobCall(Request("GET", "/v1/items/7c41?id=e5"));
  CHECK_TRUE(body->kind == JobCallKind::kReadBody);
  STRCMP_EQUAL("e5", body->sample_id.c_str());
  const auto end =
      this->dialect.RecognizeJobCall(Request("DELETE", "/v1/lots/7c41"));
  CHECK_TRUE(end->kind == JobCallKind::kEnd);
  CHECK_FALSE(
      this->dialect.RecognizeJobCall(Request("POST", "/t/7c41")).has_value());
}

TEST(JsonPlatformDialect, ASubmissionIsDecodedIntoAJob) {
  HttpRequest request = Request("POST", "/t/7c41");
  request.headers = {{"X-Request-Id", "7c41"}, {"Host", "a.example"}};
  request.body = R"({"step":7,"model":"m","min_version":6,"target_groups":1,
    "items":[{"id":"e5","path":"/t/3","headers":{"X-Model":"m"},
    "body":"q83v","tokens":940,"group":"g","scorer":{"id":"s1",
    "host":"a.example","path":"/x/5","body":"3q2+7w=="}}]})";
  const auto decoded = this->dialect.DecodeSubmission(request);
  CHECK_TRUE(decoded.Ok());
  const BatchJob& job = decoded.Value();
  STRCMP_EQUAL("7c41", job.id.c_str());
  LONGS_EQUAL(6, job.min_version);
  STRCMP_EQUAL("X-Model", job.samples[0].headers[0].name.c_str());
  STRCMP_EQUAL("s1", job.samples[0].reward->id.c_str());
}

TEST(JsonPlatformDialect, AMalformedSubmissionIsRejected) {
  HttpRequest request = Request("POST", "/t/7c41");
  request.headers = {{"X-Request-Id", "7c41"}};
  for (const char* body :
       {"", "[]", "{}", R"({"items":[]})", R"({"items":[7]})",
        R"({"items":[{"id":"a"}]})", R"({"items":[{"id":"a/b","path":"/x"}]})",
        R"({"items":[{"id":"a","path":"x"}]})",
        R"({"items":[{"id":"a","path":"/x","headers":{"h":[1]}}]})",
        R"({"items":[{"id":"a","path":"/x","headers":{"h":{}}}]})",
        R"({"items":[{"id":"a","path":"/x y"}]})",
        R"({"items":[{"id":"a","path":"/x\u0000"}]})",
        R"({"items":[{"id":"a","path":"/x","headers":{"h":"a\r\nb:c"}}]})",
        R"({"items":[{"id":"a","path":"/x","headers":{"h:i":"a"}}]})",
        R"({"items":[{"id":"a","path":"/x","headers":{"":"a"}}]})",
        R"({"items":[{"id":"a","path":"/x","scorer":{"id":"s\r\nX:y",
           "host":"h","path":"/x"}}]})",
        R"({"items":[{"id":"a","path":"/x","scorer":{"id":"s","host":"h",
           "path":"/x y"}}]})"}) {
    request.body = body;
    CHECK_FALSE_TEXT(this->dialect.DecodeSubmission(request).Ok(), body);
  }
}

TEST(JsonPlatformDialect, ResultsAreEncodedAsCompletedOrLost) {
  JobResult done;
  done.sample_id = "a";
  done.completed = true;
  done.output = "x\ny";
  done.versions = {6, 7};
  done.score = "s";
  JobResult lost;
  lost.sample_id = "b";
  const std::vector<JobResult> results = {done, lost};
  ResultPage page;
  page.total = 4;
  page.next_position = 2;
  page.results = results;
  STRCMP_EQUAL(R"({"next_token":2,"results":[{"id":"a","output":"x\ny",)"
               R"("score":"s","state":"completed","versions":[6,7]},)"
               R"({"id":"b","state":"lost"}],"total":4})",
               this->dialect.EncodeResults(page).c_str());
}

TEST(JsonPlatformDialect, LimitsOfAServicesNumberOfServersAreDecoded) {
  const auto configuration = this->dialect.DecodeConfiguration(
      R"({"version":1,"routes":[],"services":[{"name":"a"},{"name":"b",)"
      R"("scale":{"min":2,"max":9,"boot_s":1.5}}]})");
  CHECK_TRUE(configuration.Ok());
  CHECK_FALSE(configuration.Value().services.at("a").scale.has_value());
  const auto& scale = configuration.Value().services.at("b").scale;
  CHECK_TRUE(scale.has_value());
  CHECK_EQUAL(2, scale->min);
  CHECK_EQUAL(9, scale->max);
  CHECK_EQUAL(1'500, scale->boot.count());
}

TEST(JsonPlatformDialect, ContradictingLimitsOfServersNameServiceAndField) {
  for (const char* const scale :
       {"7", R"({"min":1})", R"({"min":3,"max":2})", R"({"min":-1,"max":2})",
        R"({"min":1,"max":2,"boot_s":"x"})",
        R"({"min":1,"max":2,"boot_s":-1})"}) {
    const auto configuration = this->dialect.DecodeConfiguration(
        R"({"version":1,"routes":[],"services":[{"name":"b","scale":)" +
        std::string(scale) + "}]}");
    CHECK_FALSE(configuration.Ok());
    STRCMP_CONTAINS("service b: scale",
                    configuration.GetError().message.c_str());
  }
}

TEST(JsonPlatformDialect, DutyCallsNameHolderTokenAndContent) {
  const DutyCaller caller = {"10.0.0.9:80", "gateway-1", 17};
  const HttpClientRequest usage =
      this->dialect.UsageReportRequest({356, {{"a", 3}, {"b", 0}}}, caller);
  STRCMP_EQUAL("POST", usage.method.c_str());
  STRCMP_EQUAL("http://10.0.0.9:80/usage", usage.url.c_str());
  STRCMP_EQUAL(R"({"counts":{"a":3,"b":0},"window":356})", usage.body.c_str());
  STRCMP_EQUAL(
      "gateway-1",
      std::string(*FindHeader(usage.headers, "X-Duty-Holder")).c_str());
  STRCMP_EQUAL(
      "17", std::string(*FindHeader(usage.headers, "X-Fence-Token")).c_str());
  STRCMP_EQUAL(R"({"counts":{},"window":1})",
               this->dialect.UsageReportRequest({1, {}}, caller).body.c_str());
  const HttpClientRequest scale =
      this->dialect.ServerCountRequest({"s1", "z1", 12}, caller);
  STRCMP_EQUAL("http://10.0.0.9:80/scale", scale.url.c_str());
  STRCMP_EQUAL(R"({"service":"s1","target_groups":12,"zone":"z1"})",
               scale.body.c_str());
}

TEST_GROUP(StoreCodecs){};

TEST(StoreCodecs, EncodedRecordsDecodeToTheSameRecords) {
  const std::vector<KeyedRecord> records = {{"k1", "v1"}, {"k2", ""}};
  const std::string offsets = std::string("\0\0\0\0\0\0\0\x09", 8) +
                              std::string("\0\0\0\0\0\0\0\x02", 8);
  const auto page = DecodeLogPage(offsets + EncodeLogRecords(records), 7);
  CHECK_TRUE(page.Ok());
  LONGS_EQUAL(9, page.Value().end);
  LONGS_EQUAL(9, page.Value().next);
  LONGS_EQUAL(2, page.Value().records.size());
  LONGS_EQUAL(8, page.Value().records[1].offset);
  STRCMP_EQUAL("k2", page.Value().records[1].record.key.c_str());
  STRCMP_EQUAL("v1", page.Value().records[0].record.value.c_str());
}

TEST(StoreCodecs, TruncatedPagesAreCorrupt) {
  const std::string offsets(16, '\0');
  for (const std::string& bytes :
       {std::string(), std::string(15, '\0'), offsets + std::string(2, '\0'),
        offsets + std::string("\0\0\0\x05"
                              "ab",
                              6)}) {
    CHECK_FALSE(DecodeLogPage(bytes, 0).Ok());
  }
}

TEST(StoreCodecs, ARecordWithoutAKeyTakesAnOffset) {
  const std::string offsets =
      std::string("\0\0\0\0\0\0\0\x02", 8) + std::string(8, '\0');
  const std::string empty(4, '\0');
  const auto page =
      DecodeLogPage(offsets + empty + EncodeLogRecords({{"k", "v"}}), 0);
  LONGS_EQUAL(1, page.Value().records.size());
  LONGS_EQUAL(1, page.Value().records[0].offset);
}

TEST(StoreCodecs, APageThatEndsWithinARecordHasTheRecordsBefore) {
  const std::string bytes = std::string(16, '\0') +
                            EncodeLogRecords({{"k1", "v1"}, {"k2", "v2"}}) +
                            std::string(
                                "\0\0\0\x05"
                                "ab",
                                6);
  const auto page = DecodeLogPage(bytes, 7);
  CHECK_TRUE(page.Ok());
  LONGS_EQUAL(2, page.Value().records.size());
  LONGS_EQUAL(9, page.Value().next);
}

TEST(StoreCodecs, ANewestPageHasItsRecordsItsEndAndWhetherOthersFollow) {
  const auto page = DecodeNewestPage(
      R"({"items":[{"key":"a","value":"eA==","offset":4},)"
      R"({"key":"b","value":"eQ==","offset":12}],"has_more":true,"end":10})");
  CHECK_TRUE(page.Ok());
  CHECK_TRUE(page.Value().has_more);
  LONGS_EQUAL(10, page.Value().end);
  LONGS_EQUAL(2, page.Value().records.size());
  STRCMP_EQUAL("b", page.Value().keys.back().c_str());
  STRCMP_EQUAL("x", page.Value().records[0].record.value.c_str());
  CHECK_FALSE(DecodeNewestPage("[]").Ok());
}

TEST(StoreCodecs, MalformedItemsOfANewestPageAreSkipped) {
  const auto page = DecodeNewestPage(
      R"({"items":[7,"x",[],{"key":"a","value":"eA==","offset":4}],"end":10})");
  CHECK_TRUE(page.Ok());
  LONGS_EQUAL(1, page.Value().records.size());
  LONGS_EQUAL(3, page.Value().unreadable_items);
}

TEST(StoreCodecs, OwnersAreDecodedAndMalformedRowsSkipped) {
  const auto owners = DecodeOwners(
      R"({"generation":6,"parts":[["jobs",3,"a@10.0.0.1:1",0],["jobs",4,7,0],)"
      R"("jobs",["jobs","x","b",0]]})");
  CHECK_TRUE(owners.Ok());
  LONGS_EQUAL(1, owners.Value().size());
  CHECK_TRUE(owners.Value()[0].partition == (TopicPartition{"jobs", 3}));
  STRCMP_EQUAL("a@10.0.0.1:1", owners.Value()[0].member.c_str());
  CHECK_FALSE(DecodeOwners("[]").Ok());
  CHECK_FALSE(DecodeOwners("{").Ok());
}

}  // namespace carobbank
