// Tests of running the samples of owned jobs: resumed streams, weight versions,
// reward calls, failed samples, and outputs reused by later jobs and owners.
// They guard against lost, mixed or repeated outputs.

#include "Services/Gateway/job_runner.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

}  // namespace

TEST_GROUP(JobRunner) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::unique_ptr<JobRunner> runner;
  // Outputs transferred from partitions that the runner no longer owns.
  std::vector<SampleOutput> transferred;
  JobRunner::OutputTransferCallback transfer =
      [this](std::int64_t /*partition*/,
             const std::vector<SampleOutput>& outputs) {
        this->transferred.insert(this->transferred.end(), outputs.begin(),
                                 outputs.end());
      };

  void setup() override {
    this->fixture.client.answer_status = [](const HttpClientRequest&) {
      ScriptedResponse response;
      response.ending = ScriptedResponse::Ending::kNotSent;
      return response;
    };
    this->Start();
  }

  void Start() {
    this->partitions.push_back(std::make_unique<JobPartition>(
        this->fixture.runner.loop, this->fixture.clock, this->fixture.log,
        JobsPartition(), 1'000'000, [this] { this->runner->Reconcile(0); }));
    this->runner = std::make_unique<JobRunner>(
        this->fixture.environment, this->partitions, this->transfer);
    this->partitions[0]->Follow();
    this->runner->SetOwned({0});
  }
  void teardown() override {
    this->runner.reset();
    this->partitions.clear();
  }

  void PutJob(const BatchJob& job) {
    std::vector<KeyedRecord> records;
    for (const KeyedRecord& record : EncodeJob(job, 262'144)) {
      records.push_back({record.key, record.value});
    }
    this->fixture.log.Put(JobsPartition(), records);
  }

  BatchJob JobOf(std::size_t samples) {
    BatchJob job = MakeJob("j", samples);
    job.accepted_at = this->fixture.clock.WallNow();
    job.model = "m";
    job.min_version = 3;
    return job;
  }

  const JobState* State() {
    return this->partitions[0]->Fold().Find("j");
  }

  void RunUntilComplete() {
    CHECK_TRUE(this->fixture.runner.RunUntil([this] {
      return this->State() != nullptr && this->State()->Complete();
    }));
  }

  void AddServerWithSoftware(const std::string& id, const std::string& software,
                             WallMilliseconds started_at = 0) {
    this->fixture.AddServer(id, "llm", 3);
    FleetServer server = *this->fixture.fleet.Find(id);
    server.software_version = software;
    server.started_at = started_at;
    this->fixture.fleet.Put(server);
  }
  // The first stream breaks after its first event.
  std::function<ScriptedResponse(const HttpClientRequest&)> BreakingFirst() {
    return [this](const HttpClientRequest& request) {
      ScriptedResponse response = Stream(request);
      if (this->fixture.client.seen.size() == 1) {
        response.body = EventText(1);
        response.ending = ScriptedResponse::Ending::kTruncated;
      }
      return response;
    };
  }
  // The registry shows that this start of the request's server is up, for as
  // long as a test lasts.
  void ConfirmStart(const HttpClientRequest& request, WallMilliseconds start) {
    const std::string id(1, request.url[sizeof("http://") - 1]);
    this->fixture.fleet.ConfirmAlive(
        id, start, this->fixture.clock.BootNow() + std::chrono::hours(1));
  }
  // Servers report this start.
  void ReportStart(WallMilliseconds start) {
    this->fixture.client.answer_status = [start](const HttpClientRequest&) {
      ScriptedResponse response;
      response.body = "3 0 " + std::to_string(start);
      return response;
    };
  }
  // The configuration in force has only these routes, and was confirmed to be
  // the newest one at `confirmed_at`.
  void UseRoutes(std::vector<HostRoute> routes, MonotonicTime confirmed_at) {
    auto traffic =
        std::make_shared<TrafficConfiguration>(*this->fixture.configuration);
    traffic->routes = HostRoutes(std::move(routes));
    this->fixture.configuration = traffic;
    this->fixture.environment.configuration_confirmed_at = [confirmed_at] {
      return confirmed_at;
    };
  }
  HostRoute JobRoute() {
    return *this->fixture.configuration->routes.Find("trainer.example",
                                                     "/train/");
  }
  HostRoute RewardRoute() {
    return *this->fixture.configuration->routes.Find("app.example", "/app/");
  }

  bool LastRequestResumes() {
    return FindHeader(this->fixture.client.seen.back().headers, "After-Event")
        .has_value();
  }

  // Servers stream two events; a resumed stream has only the second.
  static ScriptedResponse Stream(const HttpClientRequest& request) {
    const bool resumed = FindHeader(request.headers, "After-Event").has_value();
    return GatewayFixture::Respond(
        request, 200, resumed ? EventText(2) : EventText(1) + EventText(2));
  }
};

TEST(JobRunner, EverySampleGetsAResultWithItsOutputAndVersions) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("b", "llm", 3);
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(20));
  this->RunUntilComplete();
  for (const JobResult& result : this->State()->results) {
    CHECK_TRUE(result.completed);
    STRCMP_EQUAL("e1\ne2", result.output.c_str());
    LONGS_EQUAL(1, result.versions.size());
    LONGS_EQUAL(3, result.versions[0]);
  }
  LONGS_EQUAL(20, this->fixture.client.seen.size());
}

TEST(JobRunner, ABrokenStreamResumesAfterItsLastEvent) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("b", "llm", 3);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      // Half of the second event arrives before the response is truncated.
      response.body = EventText(1) + "id: 2\ndata: e";
      response.ending = ScriptedResponse::Ending::kTruncated;
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
  const auto& second = this->fixture.client.seen[1];
  CHECK_TRUE(FindHeader(second.headers, "After-Event") == "1");
  CHECK_FALSE(second.url == this->fixture.client.seen[0].url);
}

TEST(JobRunner, AnOutputWithoutEventIdsIsKeptThoughItsSampleStartsAnew) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("b", "llm", 3);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      response.body = "data: x\n\ndata: y\n\n";
      response.ending = ScriptedResponse::Ending::kTruncated;
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
  CHECK_FALSE(FindHeader(this->fixture.client.seen[1].headers, "After-Event")
                  .has_value());
}

TEST(JobRunner, HeadersOfASampleChangeWhereItsRequestEnds) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = &Stream;
  BatchJob job = this->JobOf(1);
  job.samples[0].headers = {
      {"content-length", "3"}, {"Transfer-Encoding", "chunked"},
      {"Connection", "Hop"},   {"Hop", "1"},
      {"Time-Left", "1"},      {"X-Kept", "1"}};
  this->PutJob(job);
  this->RunUntilComplete();
  const HttpHeaders& sent = this->fixture.client.seen[0].headers;
  for (const char* name :
       {"Content-Length", "Transfer-Encoding", "Connection", "Hop"}) {
    CHECK_FALSE_TEXT(FindHeader(sent, name).has_value(), name);
  }
  CHECK_FALSE(FindHeader(sent, "Time-Left") == "1");
  CHECK_TRUE(FindHeader(sent, "X-Kept") == "1");
}

TEST(JobRunner, AChangeOfVersionWithinAnOutputIsRecorded) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(
        request, 200, EventText(1) + "version: 4\n" + EventText(2));
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->State()->results[0].versions.size());
  LONGS_EQUAL(4, this->State()->results[0].versions[1]);
  LONGS_EQUAL(4, this->fixture.fleet.Find("a")->VersionOf("m"));
}

TEST(JobRunner, AServerWithATooOldVersionGetsNoSample) {
  this->fixture.AddServer("old", "llm", 2);
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(1));
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->fixture.AddServer("new", "llm", 3);
  this->RunUntilComplete();
  STRCMP_EQUAL("http://new:1/train/j-0",
               this->fixture.client.seen[0].url.c_str());
}

TEST(JobRunner, AnOutputOfATooOldVersionIsDiscarded) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      response.headers[2].value = "2";
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(1, this->State()->results[0].versions.size());
  LONGS_EQUAL(3, this->State()->results[0].versions[0]);
  CHECK_FALSE(FindHeader(this->fixture.client.seen[1].headers, "After-Event")
                  .has_value());
}

TEST(JobRunner, ASampleFailsAfterOneResponse422OrRepeatedResponses500) {
  const struct {
    const char* name;
    int status;
    std::size_t attempts;
  } cases[] = {{"unprocessable", 422, 1}, {"fails each time", 500, 3}};
  this->fixture.AddServer("a", "llm", 3);
  for (const auto& example : cases) {
    this->fixture.client.seen.clear();
    BatchJob job = this->JobOf(1);
    job.id = std::to_string(example.status);
    this->fixture.client.answer = [&](const HttpClientRequest& request) {
      return GatewayFixture::Respond(request, example.status, "");
    };
    this->PutJob(job);
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      const JobState* const state = this->partitions[0]->Fold().Find(job.id);
      return state != nullptr && state->Complete();
    }));
    const JobState& state = *this->partitions[0]->Fold().Find(job.id);
    CHECK_FALSE_TEXT(state.results[0].completed, example.name);
    LONGS_EQUAL_TEXT(example.attempts, this->fixture.client.seen.size(),
                     example.name);
  }
}

TEST(JobRunner, ASampleIsLostThroughTheResponseToAnotherRequest) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      response = GatewayFixture::Respond(request, 422, "");
      response.headers[0].value = "another";
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  CHECK_TRUE(this->State()->results[0].completed);
}

TEST(JobRunner, ASampleIsCompleteOnlyWithTheSignatureOfItsReward) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("s", "app");
  BatchJob job = this->JobOf(1);
  job.samples[0].reward =
      RewardCall{"reward-1", "app.example", "/app/score", "c2NvcmU="};
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    if (!request.url.starts_with("http://s:1")) {
      return Stream(request);
    }
    ScriptedResponse response = GatewayFixture::Respond(request, 200, "ok");
    if (this->fixture.client.seen.size() == 2) {
      response.status = 500;
    }
    return response;
  };
  this->PutJob(job);
  this->RunUntilComplete();
  LONGS_EQUAL(3, this->fixture.client.seen.size());
  const HttpClientRequest& reward = this->fixture.client.seen[2];
  STRCMP_EQUAL("score", reward.body.c_str());
  CHECK_TRUE(FindHeader(reward.headers, "Id") == "reward-1");
  CHECK_TRUE(this->State()->results[0].completed);
  STRCMP_EQUAL("signature", this->State()->results[0].score.c_str());
}

TEST(JobRunner, AnEndedJobRunsNoFurtherSample) {
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(4));
  const KeyedRecord end = EncodeEnd("j");
  this->fixture.log.Put(JobsPartition(), {{end.key, end.value}});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->State() != nullptr && this->State()->ended; }));
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(JobRunner, APartialOutputResumesInALaterJobIfItsVersionsAreAllowed) {
  const struct {
    const char* name;
    std::int64_t min_version;
    bool resumes;
  } cases[] = {{"fits", 3, true}, {"too old", 4, false}};
  for (const auto& example : cases) {
    this->fixture.fleet = ServerFleet();
    this->fixture.AddServer("a", "llm", 3);
    this->fixture.client.seen.clear();
    // The first attempt receives one event; then no server is available until
    // the first job has ended.
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      ScriptedResponse response = Stream(request);
      if (this->fixture.client.seen.size() == 1) {
        response.body = EventText(1);
        response.ending = ScriptedResponse::Ending::kTruncated;
        this->fixture.fleet = ServerFleet();
      } else {
        response.headers[2].value = "4";
      }
      return response;
    };
    BatchJob job = this->JobOf(1);
    job.id = std::string("first-") + std::to_string(example.min_version);
    this->PutJob(job);
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->fixture.client.seen.size() == 1; }));
    this->fixture.runner.RunFor(Milliseconds(20));
    const KeyedRecord end = EncodeEnd(job.id);
    this->fixture.log.Put(JobsPartition(), {{end.key, end.value}});
    this->fixture.runner.RunFor(Milliseconds(20));
    this->fixture.AddServer("b", "llm", 4);
    job.id = std::string("later-") + std::to_string(example.min_version);
    job.min_version = example.min_version;
    this->PutJob(job);
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      const JobState* const state = this->partitions[0]->Fold().Find(job.id);
      return state != nullptr && state->Complete();
    }));
    const JobState& state = *this->partitions[0]->Fold().Find(job.id);
    STRCMP_EQUAL_TEXT("e1\ne2", state.results[0].output.c_str(), example.name);
    CHECK_EQUAL_TEXT(
        example.resumes,
        FindHeader(this->fixture.client.seen[1].headers, "After-Event")
            .has_value(),
        example.name);
  }
}

TEST(JobRunner, ACompleteOutputOfAnIncompleteGroupIsOnlyScoredAgain) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("s", "app");
  BatchJob job = this->JobOf(2);
  for (JobSample& sample : job.samples) {
    sample.reward = RewardCall{"reward-" + sample.id, "app.example",
                               "/app/score", "c2NvcmU="};
  }
  // Servers refuse the second sample of the group.
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    if (request.url.starts_with("http://s:1")) {
      return GatewayFixture::Respond(request, 200, "ok");
    }
    return request.url.ends_with("-1") ? GatewayFixture::NotRun(request)
                                       : Stream(request);
  };
  this->PutJob(job);
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->State() != nullptr && this->State()->results.size() == 1;
  }));
  const KeyedRecord end = EncodeEnd("j");
  this->fixture.log.Put(JobsPartition(), {{end.key, end.value}});
  this->fixture.runner.RunFor(Milliseconds(20));
  this->fixture.client.seen.clear();
  job.id = "later";
  this->PutJob(job);
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    const JobState* const state = this->partitions[0]->Fold().Find("later");
    return state != nullptr && state->results.size() == 1;
  }));
  const JobState& state = *this->partitions[0]->Fold().Find("later");
  STRCMP_EQUAL("j-0", state.results[0].sample_id.c_str());
  STRCMP_EQUAL("e1\ne2", state.results[0].output.c_str());
  for (const HttpClientRequest& request : this->fixture.client.seen) {
    CHECK_FALSE(request.url.ends_with("/train/j-0"));
  }
}

TEST(JobRunner, TheLongestSamplesStartFirst) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = &Stream;
  BatchJob job = this->JobOf(6);
  for (std::size_t i = 0; i < job.samples.size(); ++i) {
    job.samples[i].expected_output_tokens = static_cast<std::int64_t>(i);
  }
  this->PutJob(job);
  this->RunUntilComplete();
  CHECK_TRUE(this->fixture.client.seen[0].url.ends_with("j-5"));
  CHECK_TRUE(this->fixture.client.seen[5].url.ends_with("j-0"));
}

// Guards against a strategy that isn't wired to what the gateway observes.
TEST(JobRunner, SamplesGoToFastServersOnceLengthsAndPacesAreKnown) {
  const auto seen_at = [this](char server, std::size_t from) {
    const auto& seen = this->fixture.client.seen;
    return std::count_if(seen.begin() + static_cast<std::ptrdiff_t>(from),
                         seen.end(), [server](const auto& request) {
                           return request.url[sizeof("http://") - 1] == server;
                         });
  };
  for (const char* id : {"a", "b", "c", "d"}) {
    this->fixture.AddServer(id, "llm", 3);
    FleetServer server = *this->fixture.fleet.Find(id);
    server.slots = 8;
    this->fixture.fleet.Put(server);
    for (int event = 0; event < 10; ++event) {
      this->fixture.loads.RecordEventGap(id, Milliseconds(*id < 'c' ? 30 : 60),
                                         this->fixture.clock.Now());
    }
  }
  this->fixture.client.answer = &Stream;
  BatchJob job = this->JobOf(30);
  for (JobSample& sample : job.samples) {
    sample.expected_output_tokens = 120;
    sample.group.clear();
  }
  this->PutJob(job);
  this->RunUntilComplete();
  CHECK_TRUE(seen_at('c', 0) > 0);
  CHECK_TRUE(seen_at('d', 0) > 0);
  const std::size_t before = this->fixture.client.seen.size();
  BatchJob next = MakeJob("k", 8);
  next.accepted_at = this->fixture.clock.WallNow();
  next.model = "m";
  next.min_version = 3;
  for (JobSample& sample : next.samples) {
    sample.expected_output_tokens = 120;
    sample.group.clear();
  }
  this->PutJob(next);
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    const JobState* const state = this->partitions[0]->Fold().Find("k");
    return state != nullptr && state->Complete();
  }));
  LONGS_EQUAL(8, seen_at('a', before) + seen_at('b', before));
}

TEST(JobRunner, NoSampleRunsBeforeAllRecordsAreRead) {
  this->teardown();
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(1));
  const KeyedRecord end = EncodeEnd("j");
  this->fixture.log.Put(JobsPartition(), {{end.key, end.value}});
  // The end of the job follows on another page.
  this->fixture.log.faults.most_records_a_page = 1;
  this->Start();
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->State() != nullptr && this->State()->ended; }));
  this->fixture.runner.RunFor(Milliseconds(50));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(JobRunner, OnlyOwnedPartitionsAreRun) {
  this->runner->SetOwned({});
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(2));
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->runner->SetOwned({0});
  this->RunUntilComplete();
}

TEST(JobRunner, ASampleFailsWhenItsJobIsAbandoned) {
  BatchJob job = this->JobOf(1);
  job.accepted_at -= job.abandon_after.count() + 1;
  this->PutJob(job);
  this->RunUntilComplete();
  CHECK_FALSE(this->State()->results[0].completed);
}

TEST(JobRunner, PartialOutputsAreTransferredAndResumed) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      response.body = EventText(1);
      response.ending = ScriptedResponse::Ending::kTruncated;
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->fixture.client.seen.size() == 1; }));
  this->fixture.runner.RunFor(Milliseconds(5));
  this->runner->SetOwned({});
  LONGS_EQUAL(1, this->transferred.size());
  STRCMP_EQUAL("e1", this->transferred[0].text.c_str());
  STRCMP_EQUAL("1", this->transferred[0].last_event_id.c_str());

  this->runner->SetOwned({0});
  const auto outputs =
      DecodeSampleOutputs(EncodeSampleOutputs(this->transferred));
  this->runner->ReceiveOutputs(*outputs);
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
  CHECK_TRUE(FindHeader(this->fixture.client.seen.back().headers,
                        "After-Event") == "1");
}

TEST(JobRunner, ATransferredOutputOfATooOldVersionIsNotUsed) {
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(1));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->State() != nullptr; }));
  SampleOutput output;
  output.sample_id = "j-0";
  output.text = "old";
  output.events = 1;
  output.last_event_id = "1";
  output.versions = {2};
  this->runner->ReceiveOutputs({output});
  this->fixture.AddServer("a", "llm", 3);
  this->runner->ScheduleDispatch();
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
}

TEST(JobRunner, ABrokenOutputGoesOnAtAnotherSoftwareVersion) {
  this->fixture.AddServer("a", "llm", 3);
  this->AddServerWithSoftware("b", "v2");
  const auto answer = this->BreakingFirst();
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    if (this->fixture.client.seen.size() == 1) {
      const std::string id(1, request.url[sizeof("http://") - 1]);
      this->fixture.fleet.OnEntryRemoved(id, this->fixture.clock.BootNow());
    }
    return answer(request);
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
  CHECK_FALSE(this->LastRequestResumes());
}

TEST(JobRunner,
     ABrokenOutputStartsAnewThoughAServerOfItsSoftwareVersionIsFree) {
  this->fixture.AddServer("a", "llm", 3);
  this->AddServerWithSoftware("b", "v2");
  this->fixture.AddServer("c", "llm", 3);
  this->AddServerWithSoftware("d", "v2");
  constexpr std::size_t kSamples = 12;
  std::map<std::string, std::string, std::less<>> first_server;
  std::size_t broken = 0;
  std::size_t crossed = 0;
  std::size_t resumed = 0;
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    const std::string id(FindHeader(request.headers, "Id").value_or(""));
    const std::string server(1, request.url[sizeof("http://") - 1]);
    ScriptedResponse response = Stream(request);
    const auto [first, is_first] = first_server.try_emplace(id, server);
    if (is_first && (server == "a" || server == "b")) {
      ++broken;
      response.body = EventText(1);
      response.ending = ScriptedResponse::Ending::kTruncated;
    } else if (FindHeader(request.headers, "After-Event")) {
      ++resumed;
      const bool first_is_v1 = first->second == "a" || first->second == "c";
      crossed += first_is_v1 != (server == "a" || server == "c") ? 1 : 0;
    }
    return response;
  };
  this->PutJob(this->JobOf(kSamples));
  this->RunUntilComplete();
  LONGS_EQUAL(0, crossed);
  CHECK_TRUE(broken > 0);
  LONGS_EQUAL(broken, resumed);
}

TEST(JobRunner, ATransferredOutputGoesOnAtAnotherOrAnUnknownSoftwareVersion) {
  for (const char* const software : {"v2", ""}) {
    this->fixture.client.seen.clear();
    this->fixture.client.answer = &Stream;
    BatchJob job = this->JobOf(1);
    job.id = "j" + std::string(software);
    job.samples[0].id = job.id + "-0";
    this->PutJob(job);
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&] { return this->partitions[0]->Fold().Find(job.id) != nullptr; }));
    SampleOutput output;
    output.sample_id = job.samples[0].id;
    output.text = "e1";
    output.events = 1;
    output.last_event_id = "1";
    output.versions = {3};
    output.software_version = software;
    this->runner->ReceiveOutputs(
        *DecodeSampleOutputs(EncodeSampleOutputs({output})));
    this->fixture.AddServer("a", "llm", 3);
    this->runner->ScheduleDispatch();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&] { return this->partitions[0]->Fold().Find(job.id)->Complete(); }));
    CHECK_FALSE(this->LastRequestResumes());
  }
}

TEST(JobRunner, AnOutputGoesOnAfterItsServerMayHaveRestartedUnderItsId) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  this->fixture.client.answer = this->BreakingFirst();
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  CHECK_FALSE(this->LastRequestResumes());
}

TEST(JobRunner, AnOutputIsKeptThoughAServerWasBackUnderItsIdAtAnotherVersion) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  const auto answer = this->BreakingFirst();
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    if (this->fixture.client.seen.size() == 1) {
      this->ConfirmStart(request, 7);
    }
    return answer(request);
  };
  this->PutJob(this->JobOf(1));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return this->fixture.client.seen.size() == 2; }));
  this->fixture.runner.RunFor(Milliseconds(100));
  // The second server's next entry shows a start that the gateway did not know.
  this->AddServerWithSoftware("a", "v2", 9);
  this->AddServerWithSoftware("b", "v2", 9);
  this->RunUntilComplete();
  LONGS_EQUAL(3, this->fixture.client.seen.size());
  CHECK_FALSE(this->LastRequestResumes());
}

TEST(JobRunner, AnOutputIsLostThoughBothOfItsServersWereUpAtOneVersion) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  const auto answer = this->BreakingFirst();
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    this->ConfirmStart(request, 7);
    return answer(request);
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  CHECK_TRUE(this->LastRequestResumes());
}

TEST(JobRunner, AnOutputWaitsForEntriesThoughItsServersReportTheirStart) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  this->ReportStart(7);
  this->fixture.client.answer = this->BreakingFirst();
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  CHECK_TRUE(this->LastRequestResumes());
}

TEST(JobRunner, AnOutputGoesOnAfterAReportNamesAnotherStartOfItsServer) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  this->ReportStart(9);
  this->fixture.client.answer = this->BreakingFirst();
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  CHECK_FALSE(this->LastRequestResumes());
}

TEST(JobRunner, AnOutputIsKeptThoughItsSecondServerReportsAnotherStart) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  this->ReportStart(7);
  const auto answer = this->BreakingFirst();
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    if (this->fixture.client.seen.size() == 2) {
      // Back under its id, before its entry says so.
      this->ReportStart(9);
    }
    return answer(request);
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  LONGS_EQUAL(3, this->fixture.client.seen.size());
  CHECK_FALSE(this->LastRequestResumes());
}

TEST(JobRunner, AFailedReportDiscardsACompleteOutputThatAnEntryConfirms) {
  this->AddServerWithSoftware("a", "v1", 7);
  this->AddServerWithSoftware("b", "v1", 7);
  const auto answer = this->BreakingFirst();
  this->fixture.client.answer = [&](const HttpClientRequest& request) {
    if (this->fixture.client.seen.size() == 1) {
      this->ConfirmStart(request, 7);
    }
    return answer(request);
  };
  this->PutJob(this->JobOf(1));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return this->fixture.client.status_requests.size() == 1; }));
  this->ConfirmStart(this->fixture.client.seen.back(), 7);
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  CHECK_TRUE(this->LastRequestResumes());
}

TEST(JobRunner, ASampleIsSentToAServerThatLoadsItsModel) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("b", "llm", 3);
  const MonotonicTime later =
      this->fixture.clock.BootNow() + std::chrono::hours(1);
  this->fixture.fleet.SetLoad("a", {"m", 4, later});
  // A load of another model does not matter.
  this->fixture.fleet.SetLoad("b", {"other", 4, later});
  this->fixture.client.answer = &Stream;
  this->PutJob(this->JobOf(6));
  this->RunUntilComplete();
  for (const HttpClientRequest& request : this->fixture.client.seen) {
    STRCMP_CONTAINS("//b:", request.url.c_str());
  }
}

TEST(JobRunner, AnOutputIsDiscardedWhileTheServersOfItsVersionLoad) {
  this->AddServerWithSoftware("a", "v1");
  this->fixture.client.answer = this->BreakingFirst();
  this->PutJob(this->JobOf(1));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return this->fixture.client.seen.size() == 1; }));
  this->AddServerWithSoftware("b", "v2");
  this->fixture.fleet.SetLoad(
      "a", {"m", 4, this->fixture.clock.BootNow() + Milliseconds(300)});
  this->RunUntilComplete();
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  CHECK_TRUE(this->LastRequestResumes());
  STRCMP_CONTAINS("//a:", this->fixture.client.seen.back().url.c_str());
}

TEST(JobRunner, SamplesWaitForAServiceThatTheyDontUse) {
  auto traffic =
      std::make_shared<TrafficConfiguration>(*this->fixture.configuration);
  HostRoute jobs = *traffic->routes.Find("trainer.example", "/train/");
  jobs.services = {{"llm", 1}, {"llm without servers", 1}};
  traffic->routes = HostRoutes({jobs});
  this->fixture.configuration = traffic;
  this->fixture.AddServer("s1", "llm", 3);
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    return Stream(request);
  };
  constexpr std::size_t kSamples = 16;
  BatchJob job = this->JobOf(kSamples);
  std::size_t served = 0;
  for (std::size_t index = 0; index < kSamples; ++index) {
    job.samples[index].group = "g" + std::to_string(index);
    served += ChooseService(jobs, FastHash(job.samples[index].group)) == "llm";
  }
  this->PutJob(job);
  CHECK_TRUE(served > 0 && served < kSamples);
  CHECK_TRUE(this->fixture.runner.RunUntil([this, served] {
    return this->State() != nullptr && this->State()->results.size() == served;
  }));
}

// Guards against accepted samples that are recorded as lost because this
// gateway has not read the configuration that adds their route.
TEST(JobRunner, SamplesAreLostBecauseTheirRouteHasNotBeenReadYet) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.client.answer = &Stream;
  const HostRoute jobs = this->JobRoute();
  const MonotonicTime before_the_job = this->fixture.clock.BootNow();
  this->UseRoutes({}, before_the_job);
  this->PutJob(this->JobOf(4));
  this->fixture.runner.RunFor(Milliseconds(500));
  LONGS_EQUAL(0, this->State()->results.size());
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  this->UseRoutes({jobs}, this->fixture.clock.BootNow());
  this->RunUntilComplete();
  for (const JobResult& result : this->State()->results) {
    CHECK_TRUE(result.completed);
  }
}

// Guards against the same for the route of a sample's reward call.
TEST(JobRunner, OutputsAreLostBecauseTheRouteOfTheirRewardHasNotBeenReadYet) {
  this->fixture.AddServer("a", "llm", 3);
  this->fixture.AddServer("b", "app");
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    return request.url.find("/app/") == std::string::npos
               ? Stream(request)
               : GatewayFixture::Respond(request, 200, "fine");
  };
  const HostRoute jobs = this->JobRoute();
  const HostRoute rewards = this->RewardRoute();
  const MonotonicTime before_the_job = this->fixture.clock.BootNow();
  this->UseRoutes({jobs}, before_the_job);
  BatchJob job = this->JobOf(1);
  job.samples[0].reward =
      RewardCall{"reward-1", "app.example", "/app/score", "c2NvcmU="};
  this->PutJob(job);
  this->fixture.runner.RunFor(Milliseconds(500));
  LONGS_EQUAL(1, this->fixture.client.seen.size());
  LONGS_EQUAL(0, this->State()->results.size());
  this->UseRoutes({jobs, rewards}, this->fixture.clock.BootNow());
  this->RunUntilComplete();
  CHECK_TRUE(this->State()->results[0].completed);
}

// Guards against an output that counts as complete because the server that was
// to go on with it answered with something else.
TEST(JobRunner, AnOutputIsCompletedByAResponseThatIsNoStream) {
  struct Answer {
    const char* content_type;
    bool is_signed;
  };
  for (const Answer& answer :
       {Answer{"text/plain", true}, Answer{"text/event-stream", false}}) {
    GatewayFixture& fixture = this->fixture;
    fixture.client.seen.clear();
    for (const char* id : {"a", "b", "c"}) {
      fixture.AddServer(id, "llm", 3);
    }
    fixture.client.answer = [&](const HttpClientRequest& request) {
      ScriptedResponse response = Stream(request);
      if (fixture.client.seen.size() == 1) {
        response.body = EventText(1);
        response.ending = ScriptedResponse::Ending::kTruncated;
      } else if (fixture.client.seen.size() == 2) {
        response.body.clear();
        response.headers = {
            {"Id", std::string(FindHeader(request.headers, "Id").value_or(""))},
            {"Version", "3"},
            {"Content-Type", answer.content_type}};
        if (answer.is_signed) {
          response.headers.push_back({"Signed", "signature"});
        }
      }
      return response;
    };
    BatchJob job = MakeJob(answer.is_signed ? "j" : "k", 1);
    job.accepted_at = fixture.clock.WallNow();
    job.model = "m";
    job.min_version = 3;
    this->PutJob(job);
    const auto state = [&] { return this->partitions[0]->Fold().Find(job.id); };
    CHECK_TRUE(fixture.runner.RunUntil(
        [&] { return state() != nullptr && state()->Complete(); }));
    STRCMP_EQUAL("e1\ne2", state()->results[0].output.c_str());
    LONGS_EQUAL(3, fixture.client.seen.size());
  }
}

// Guards against events that stand twice in an output, because a server sent
// them again instead of going on.
TEST(JobRunner, AResumedOutputRepeatsEvents) {
  for (const char* id : {"a", "b", "c"}) {
    this->fixture.AddServer(id, "llm", 3);
  }
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response = Stream(request);
    if (this->fixture.client.seen.size() == 1) {
      response.body = EventText(1);
      response.ending = ScriptedResponse::Ending::kTruncated;
    } else if (this->fixture.client.seen.size() == 2) {
      response.body = EventText(1) + EventText(2);
    }
    return response;
  };
  this->PutJob(this->JobOf(1));
  this->RunUntilComplete();
  STRCMP_EQUAL("e1\ne2", this->State()->results[0].output.c_str());
  LONGS_EQUAL(3, this->fixture.client.seen.size());
}

TEST(JobRunner, SamplesOfARemovedRouteWaitForIt) {
  this->fixture.AddServer("a", "llm", 3);
  this->UseRoutes({}, MonotonicTime::max());
  this->PutJob(this->JobOf(2));
  this->RunUntilComplete();
  CHECK_FALSE(this->State()->results[0].completed);
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

}  // namespace carobbank
