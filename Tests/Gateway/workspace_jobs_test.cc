// Guards against a job that another workspace reads, ends or submits again, one
// whose samples run under another workspace or none, and keys that reach a
// peer, a server or the log.

#include "Services/Gateway/caller_authentication.h"
#include "Services/Gateway/job_runner.h"
#include "relaying_instances.h"
#include "workspace_configuration.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace carobbank {

namespace {

constexpr std::string_view kPaths[] = {kJobPath, kBodyPath, kEndPath};

bool Contains(const HttpHeaders& headers, std::string_view text) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return header.value.find(text) != std::string::npos;
  });
}

}  // namespace

// Instance 0 owns all partitions; instance 1 relays.
TEST_GROUP(WorkspaceJobs) {
  GatewayFixture fixture;
  bool current = true;
  CallerAuthentication authentication{this->fixture.environment,
                                      [this] { return this->current; }};
  std::unique_ptr<ClusterClient> client;
  std::vector<std::unique_ptr<RelayingInstance>> instances;
  ReceivedResponse caller;

  void setup() override {
    this->fixture.settings.job_partitions = kPartitions;
    this->fixture.configuration = WithWorkspaces(
        *this->fixture.configuration, {{"acme", {"k1"}}, {"beta", {"k2"}}});
    this->client = std::make_unique<ClusterClient>(this->fixture.runner.loop);
    for (const char* const address : {"10.0.0.0:1", "10.0.0.1:1"}) {
      this->instances.push_back(std::make_unique<RelayingInstance>(
          this->fixture, *this->client, address));
      this->client->listening[address] = this->instances.back().get();
    }
    for (std::int64_t number = 0; number < kPartitions; ++number) {
      this->fixture.log.owners.push_back(
          {{std::string(kTopic), number}, "i@10.0.0.0:1#100"});
    }
    RelayingInstance& owner = *this->instances[0];
    owner.partitions.SetNeeded({0, 1});
    for (const auto& instance : this->instances) {
      instance->owners.Refresh();
    }
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      return this->instances[1]->owners.PartitionsOf("10.0.0.0:1").size() ==
                 static_cast<std::size_t>(kPartitions) &&
             owner.partitions.Find(0)->Synced() &&
             owner.partitions.Find(1)->Synced();
    }));
  }
  void teardown() override {
    this->instances.clear();
  }

  static HttpRequest Request(const std::string& target,
                             const std::string& key) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "trainer.example"},
                       {"Party", "stated"},
                       {"Carobbank-Caller", "workspace stated"}};
    if (!key.empty()) {
      request.headers.push_back({"Pass", "Key " + key});
    }
    return request;
  }
  // The route of all jobs.
  const HostRoute& Route() const {
    return *this->fixture.configuration->routes.Find("trainer.example",
                                                     "/train/");
  }
  void MakeJobsPublic() {
    this->fixture.configuration =
        WithPublicRoute(*this->fixture.configuration, "/train/");
  }
  void RemoveWorkspaces() {
    auto traffic =
        std::make_shared<TrafficConfiguration>(*this->fixture.configuration);
    traffic->workspaces.reset();
    this->fixture.configuration = traffic;
  }

  int Submit(std::size_t at, const std::string& id, const std::string& key) {
    HttpRequest request = Request("/train/", key);
    request.body = id + " " + ModelIn(0);
    this->caller = ReceivedResponse();
    auto responder = std::make_shared<FakeResponder>(this->caller);
    Authentication accepted =
        this->authentication.ForRoute(this->Route(), request.headers);
    if (accepted.refusal) {
      return accepted.refusal->status;
    }
    this->instances[at]->relay.Submit(std::move(request), responder,
                                      std::move(accepted.caller));
    return this->WaitForStatus();
  }
  // A call of the kind that the path selects.
  int Call(std::size_t at, std::string_view path, const std::string& id,
           const std::string& key) {
    HttpRequest request = Request(std::string(path) + id, key);
    request.method = "GET";
    RelayingInstance& instance = *this->instances[at];
    this->caller = ReceivedResponse();
    auto responder = std::make_shared<FakeResponder>(this->caller);
    JobCall call = *instance.dialect.RecognizeJobCall(request);
    Authentication accepted = this->authentication.ForJobCall(request.headers);
    if (accepted.refusal) {
      return accepted.refusal->status;
    }
    call.caller = std::move(accepted.caller);
    instance.relay.Handle(std::move(request), std::move(call), responder);
    return this->WaitForStatus();
  }
  int WaitForStatus() {
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->caller.status != 0; }));
    return this->caller.status;
  }

  const JobState* State(const std::string& id) {
    return this->instances[0]->partitions.Find(0)->Fold().Find(id);
  }
};

TEST(WorkspaceJobs, AKeyOfTheWorkspaceUsesItsJobsAtAnyInstance) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  LONGS_EQUAL(202, this->Submit(0, "b", "k2"));
  STRCMP_EQUAL("acme", this->State("a")->job.workspace.c_str());
  STRCMP_EQUAL("beta", this->State("b")->job.workspace.c_str());
  for (const std::size_t at : {0, 1}) {
    for (const std::string_view path : kPaths) {
      LONGS_EQUAL(200, this->Call(at, path, "a", "k1"));
      LONGS_EQUAL(200, this->Call(at, path, "b", "k2"));
    }
  }
  CHECK_TRUE(this->State("a")->ended);
}

TEST(WorkspaceJobs, AJobOfAnotherWorkspaceSeemsNotToExist) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  for (const std::size_t at : {0, 1}) {
    for (const std::string_view path : kPaths) {
      LONGS_EQUAL(404, this->Call(at, path, "unknown", "k2"));
      const std::string body = this->caller.body;
      LONGS_EQUAL(404, this->Call(at, path, "a", "k2"));
      STRCMP_EQUAL(body.c_str(), this->caller.body.c_str());
    }
  }
  CHECK_FALSE(this->State("a")->ended);
}

TEST(WorkspaceJobs, ACallWithoutAKnownKeyIsRefusedUnlessTheJobIsPublic) {
  LONGS_EQUAL(401, this->Submit(1, "a", "k9"));
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  for (const std::size_t at : {0, 1}) {
    for (const std::string_view path : kPaths) {
      LONGS_EQUAL(401, this->Call(at, path, "a", ""));
      LONGS_EQUAL(401, this->Call(at, path, "a", "k9"));
    }
  }
  this->MakeJobsPublic();
  LONGS_EQUAL(202, this->Submit(1, "open", "k9"));
  STRCMP_EQUAL("", this->State("open")->job.workspace.c_str());
  for (const std::size_t at : {0, 1}) {
    for (const std::string_view path : kPaths) {
      LONGS_EQUAL(200, this->Call(at, path, "open", ""));
      LONGS_EQUAL(200, this->Call(at, path, "open", "k2"));
      LONGS_EQUAL(401, this->Call(at, path, "a", "k9"));
      LONGS_EQUAL(401, this->Call(at, path, "unknown", ""));
    }
  }
}

TEST(WorkspaceJobs, AnOutdatedInstanceAnswersUnknownKeysWith503) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  this->current = false;
  LONGS_EQUAL(503, this->Submit(1, "b", "k9"));
  LONGS_EQUAL(503, this->Call(1, kJobPath, "a", "k9"));
  LONGS_EQUAL(200, this->Call(1, kJobPath, "a", "k1"));
  this->MakeJobsPublic();
  LONGS_EQUAL(202, this->Submit(1, "open", "k9"));
  for (const std::size_t at : {0, 1}) {
    LONGS_EQUAL(200, this->Call(at, kJobPath, "open", "k9"));
    LONGS_EQUAL(503, this->Call(at, kJobPath, "a", "k9"));
    CHECK_TRUE(FindHeader(this->caller.headers, "Retry-After").has_value());
  }
}

// Jobs from before there were workspaces, and those of public routes.
TEST(WorkspaceJobs, AJobWithoutAWorkspaceIsOpenToAnyKnownKey) {
  BatchJob job = MakeJob("old", 2);
  job.model = ModelIn(0);
  this->fixture.log.Put({std::string(kTopic), 0}, EncodeJob(job, 100'000));
  for (const std::size_t at : {0, 1}) {
    LONGS_EQUAL(200, this->Call(at, kJobPath, "old", "k1"));
    LONGS_EQUAL(200, this->Call(at, kJobPath, "old", "k2"));
    LONGS_EQUAL(401, this->Call(at, kJobPath, "old", "k9"));
  }
}

TEST(WorkspaceJobs, WithoutWorkspacesInTheConfigurationEveryJobIsOpen) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  this->RemoveWorkspaces();
  for (const std::size_t at : {0, 1}) {
    LONGS_EQUAL(200, this->Call(at, kJobPath, "a", ""));
  }
  LONGS_EQUAL(202, this->Submit(1, "a", ""));
}

TEST(WorkspaceJobs, AJobIsSubmittedAgainOnlyByItsWorkspace) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  LONGS_EQUAL(202, this->Submit(0, "a", "k1"));
  LONGS_EQUAL(409, this->Submit(0, "a", "k2"));
  LONGS_EQUAL(409, this->Submit(1, "a", "k2"));
  STRCMP_EQUAL("acme", this->State("a")->job.workspace.c_str());
  this->MakeJobsPublic();
  LONGS_EQUAL(409, this->Submit(1, "a", ""));
}

// Two submissions of one id whose records are appended at the same time: the
// second workspace must not take the first one's job for its own.
TEST(WorkspaceJobs, OfTwoSubmissionsAtOnceOnlyOneIsAccepted) {
  ReceivedResponse first;
  ReceivedResponse second;
  RelayingInstance& owner = *this->instances[0];
  HttpRequest request = Request("/train/", "");
  request.body = "a " + ModelIn(0);
  owner.relay.Submit(request, std::make_shared<FakeResponder>(first),
                     {Caller::Kind::kWorkspace, "acme"});
  owner.relay.Submit(request, std::make_shared<FakeResponder>(second),
                     {Caller::Kind::kWorkspace, "beta"});
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return first.status != 0 && second.status != 0; }));
  LONGS_EQUAL(202, std::min(first.status, second.status));
  LONGS_EQUAL(409, std::max(first.status, second.status));
}

TEST(WorkspaceJobs, ARelayedRequestCarriesTheWorkspaceInPlaceOfTheKey) {
  LONGS_EQUAL(202, this->Submit(1, "a", "k1"));
  for (const std::string_view path : kPaths) {
    LONGS_EQUAL(200, this->Call(1, path, "a", "k1"));
  }
  CHECK_TRUE(this->client->sent.size() >= 4);
  for (const HttpClientRequest& request : this->client->sent) {
    CHECK_FALSE(Contains(request.headers, "k1"));
    CHECK_FALSE(Contains(request.headers, "stated"));
    CHECK_TRUE(FindHeader(request.headers, kCallerHeader) == "workspace acme");
  }
}

// Guards against a caller who states another caller's workspace in the header
// that peers use.
TEST(WorkspaceJobs, WithoutWorkspacesARelayedRequestStatesNoCaller) {
  this->RemoveWorkspaces();
  LONGS_EQUAL(202, this->Submit(1, "a", ""));
  LONGS_EQUAL(200, this->Call(1, kJobPath, "a", ""));
  for (const HttpClientRequest& request : this->client->sent) {
    CHECK_FALSE(FindHeader(request.headers, kCallerHeader).has_value());
  }
  STRCMP_EQUAL("", this->State("a")->job.workspace.c_str());
}

TEST(WorkspaceJobs, AMalformedCallerFromAPeerIsNotAccepted) {
  LONGS_EQUAL(202, this->Submit(0, "a", "k1"));
  for (const char* const text : {"", "acme", "workspace", "workspace "}) {
    HttpRequest request = Request(std::string(kJobPath) + "a", "");
    SetHeader(request.headers, kCallerHeader, text);
    request.headers.push_back({"Carobbank-Partition", "any"});
    this->caller = ReceivedResponse();
    this->instances[0]->relay.HandleRelayed(
        request, std::make_shared<FakeResponder>(this->caller));
    LONGS_EQUAL(421, this->WaitForStatus());
  }
}

TEST_GROUP(WorkspaceSamples) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::unique_ptr<JobRunner> runner;

  void setup() override {
    this->fixture.AddServer("a", "llm", 3);
    this->fixture.AddServer("b", "app");
    this->fixture.client.answer = [](const HttpClientRequest& request) {
      return GatewayFixture::Respond(request, 200,
                                     "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
    };
    this->Start();
  }
  void teardown() override {
    this->runner.reset();
    this->partitions.clear();
  }
  void Start() {
    this->partitions.push_back(std::make_unique<JobPartition>(
        this->fixture.runner.loop, this->fixture.clock, this->fixture.log,
        JobsPartition(), 1'000'000, [this] { this->runner->Reconcile(0); }));
    this->runner =
        std::make_unique<JobRunner>(this->fixture.environment, this->partitions,
                                    JobRunner::OutputTransferCallback());
    this->partitions[0]->Follow();
    this->runner->SetOwned({0});
  }
  // Runs a job of one sample with a reward call to its end.
  void Run(const std::string& workspace) {
    BatchJob job = MakeJob("j", 1);
    job.accepted_at = this->fixture.clock.WallNow();
    job.workspace = workspace;
    job.samples[0].headers = {
        {"pass", "Key k1"}, {"Party", "stated"}, {"X-Kept", "1"}};
    job.samples[0].reward =
        RewardCall{"r1", "app.example", "/app/score", EncodeBase64("score")};
    this->fixture.log.Put(JobsPartition(), EncodeJob(job, 262'144));
    CHECK_TRUE(this->fixture.runner.RunUntil([this] {
      const JobState* const state = this->partitions[0]->Fold().Find("j");
      return state != nullptr && state->Complete();
    }));
    LONGS_EQUAL(2, this->fixture.client.seen.size());
  }
  // A job of the workspace ends with one event of its sample's output. Then
  // another workspace, or the same, submits the sample in a new job.
  void SubmitUnfinishedSampleAgain(const std::string& first,
                                   const std::string& second) {
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      const bool resumed =
          FindHeader(request.headers, "After-Event").has_value();
      ScriptedResponse response = GatewayFixture::Respond(
          request, 200,
          resumed ? "id: 2\ndata: e2\n\n"
                  : "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
      if (this->fixture.client.seen.size() == 1) {
        response.body = "id: 1\ndata: e1\n\n";
        response.ending = ScriptedResponse::Ending::kTruncated;
      }
      return response;
    };
    BatchJob job = MakeJob("j", 1);
    job.accepted_at = this->fixture.clock.WallNow();
    job.workspace = first;
    this->fixture.log.Put(JobsPartition(), EncodeJob(job, 262'144));
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->fixture.client.seen.size() == 1; }));
    this->fixture.runner.RunFor(Milliseconds(5));
    this->fixture.log.Put(JobsPartition(), {EncodeEnd("j")});
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->partitions[0]->Fold().Find("j")->ended; }));
    job.id = "k";
    job.workspace = second;
    this->fixture.log.Put(JobsPartition(), EncodeJob(job, 262'144));
    CHECK_TRUE(this->fixture.runner.RunUntil([this] {
      const JobState* const state = this->partitions[0]->Fold().Find("k");
      return state != nullptr && state->Complete();
    }));
  }
  std::string Sent(std::size_t request, std::string_view name) const {
    const auto value =
        FindHeader(this->fixture.client.seen[request].headers, name);
    return std::string(value.value_or("(none)"));
  }
};

TEST(WorkspaceSamples, SamplesAndRewardCallsCarryTheJobsWorkspace) {
  this->fixture.configuration =
      WithWorkspaces(*this->fixture.configuration, {{"acme", {"k1"}}});
  this->Run("acme");
  for (const std::size_t request : {0, 1}) {
    STRCMP_EQUAL("acme", this->Sent(request, "Party").c_str());
    STRCMP_EQUAL("(none)", this->Sent(request, "Pass").c_str());
  }
  STRCMP_EQUAL("1", this->Sent(0, "X-Kept").c_str());
}

TEST(WorkspaceSamples, TheWorkspaceRemainsAfterItsKeysWereRemoved) {
  this->fixture.configuration =
      WithWorkspaces(*this->fixture.configuration, {{"acme", {}}});
  this->Run("acme");
  STRCMP_EQUAL("acme", this->Sent(0, "Party").c_str());
  STRCMP_EQUAL("acme", this->Sent(1, "Party").c_str());
}

TEST(WorkspaceSamples, TheWorkspaceRemainsAfterItLeftTheConfiguration) {
  this->fixture.configuration =
      WithWorkspaces(*this->fixture.configuration, {});
  this->Run("acme");
  STRCMP_EQUAL("acme", this->Sent(0, "Party").c_str());
  STRCMP_EQUAL("acme", this->Sent(1, "Party").c_str());
}

// No workspaces are configured any more.
TEST(WorkspaceSamples, TheWorkspaceRemainsWithoutAnyInTheConfiguration) {
  this->Run("acme");
  for (const std::size_t request : {0, 1}) {
    STRCMP_EQUAL("acme", this->Sent(request, "Party").c_str());
    STRCMP_EQUAL("(none)", this->Sent(request, "Pass").c_str());
  }
}

// Outputs of ended jobs are reused by the sample's id, which a caller chooses.
TEST(WorkspaceSamples, AnOutputIsNotReusedForAnotherWorkspace) {
  this->SubmitUnfinishedSampleAgain("acme", "beta");
  STRCMP_EQUAL(
      "(none)",
      this->Sent(this->fixture.client.seen.size() - 1, "After-Event").c_str());
}

TEST(WorkspaceSamples, AnOutputIsReusedForItsWorkspace) {
  this->SubmitUnfinishedSampleAgain("acme", "acme");
  STRCMP_EQUAL(
      "1",
      this->Sent(this->fixture.client.seen.size() - 1, "After-Event").c_str());
}

TEST(WorkspaceSamples, ATransferredOutputKeepsItsWorkspace) {
  SampleOutput output;
  output.sample_id = "j-0";
  output.workspace = "acme";
  const auto received = DecodeSampleOutputs(EncodeSampleOutputs({output}));
  STRCMP_EQUAL("acme", received->front().workspace.c_str());
  output.workspace.clear();
  CHECK_TRUE(EncodeSampleOutputs({output}).find("workspace") ==
             std::string::npos);
  CHECK_TRUE(OutputKey("acme", "j-0") != OutputKey("beta", "j-0"));
  STRCMP_EQUAL("j-0", OutputKey("", "j-0").c_str());
}

TEST(WorkspaceSamples, AJobWithoutAWorkspaceHasNone) {
  this->fixture.configuration =
      WithWorkspaces(*this->fixture.configuration, {{"acme", {"k1"}}});
  this->Run("");
  for (const std::size_t request : {0, 1}) {
    STRCMP_EQUAL("(none)", this->Sent(request, "Party").c_str());
    STRCMP_EQUAL("(none)", this->Sent(request, "Pass").c_str());
  }
}

TEST(WorkspaceSamples, WithoutWorkspacesTheHeadersAreSentAsBefore) {
  this->Run("");
  STRCMP_EQUAL("stated", this->Sent(0, "Party").c_str());
  STRCMP_EQUAL("Key k1", this->Sent(0, "Pass").c_str());
  STRCMP_EQUAL("(none)", this->Sent(1, "Party").c_str());
}

}  // namespace carobbank
