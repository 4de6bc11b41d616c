// Tests of forwarding with several instances on one log: requests about a job
// get to the owner of its partition from any instance. They guard against a
// wrong "not found" and against instances that read partitions they don't own.

#include "Services/Gateway/job_relay.h"
#include "relaying_instances.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace carobbank {

TEST_GROUP(JobRelay) {
  GatewayFixture fixture;
  std::unique_ptr<ClusterClient> client;
  std::vector<std::unique_ptr<RelayingInstance>> instances;
  ReceivedResponse caller;

  void setup() override {
    this->fixture.settings.job_partitions = kPartitions;
    this->client = std::make_unique<ClusterClient>(this->fixture.runner.loop);
  }
  void teardown() override {
    this->instances.clear();
  }

  static std::string Address(std::size_t index) {
    return "10.0.0." + std::to_string(index) + ":1";
  }
  void Add() {
    const std::string address = Address(this->instances.size());
    this->instances.push_back(std::make_unique<RelayingInstance>(
        this->fixture, *this->client, address));
    this->client->listening[address] = this->instances.back().get();
  }
  // Makes instance `owners[i]` the owner of partition i, and waits until all
  // instances have read the owners.
  void AssignOwners(const std::vector<std::size_t>& owners) {
    this->fixture.log.owners.clear();
    for (std::size_t part = 0; part < owners.size(); ++part) {
      const auto number = static_cast<std::int64_t>(part);
      this->fixture.log.owners.push_back(
          {{std::string(kTopic), number},
           "i@" + Address(owners[part]) + "#100"});
      this->instances[owners[part]]->partitions.SetNeeded({number});
    }
    for (const auto& instance : this->instances) {
      instance->owners.Refresh();
    }
    CHECK_TRUE(
        this->fixture.runner.RunUntil([&] { return this->AllOwnersKnown(); }));
  }
  static bool ListsOwner(const RelayingInstance& instance,
                         const std::string& address, std::int64_t partition) {
    const std::vector<std::int64_t> owned =
        instance.owners.PartitionsOf(address);
    return std::find(owned.begin(), owned.end(), partition) != owned.end();
  }
  bool AllOwnersKnown() const {
    for (const PartitionOwner& owner : this->fixture.log.owners) {
      const std::string address =
          owner.member.substr(2, owner.member.size() - 6);
      for (const auto& instance : this->instances) {
        const bool lists_owner =
            ListsOwner(*instance, address, owner.partition.partition);
        const bool ready =
            instance->settings.peer_listen != address ||
            instance->partitions.Find(owner.partition.partition)->Synced();
        if (!lists_owner || !ready) {
          return false;
        }
      }
    }
    return true;
  }

  int Submit(std::size_t at, const std::string& id, std::int64_t partition) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/train/";
    request.body = id + " " + ModelIn(partition);
    RelayingInstance& instance = *this->instances[at];
    this->caller = ReceivedResponse();
    instance.relay.Submit(request,
                          std::make_shared<FakeResponder>(this->caller));
    return this->WaitForStatus();
  }
  int Read(std::size_t at, const std::string& id) {
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(kJobPath) + id;
    this->caller = ReceivedResponse();
    RelayingInstance& instance = *this->instances[at];
    instance.relay.Handle(request, *instance.dialect.RecognizeJobCall(request),
                          std::make_shared<FakeResponder>(this->caller));
    return this->WaitForStatus();
  }
  int WaitForStatus() {
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->caller.status != 0; }));
    return this->caller.status;
  }
};

TEST(JobRelay, AJobIsSubmittedAndReadAtAnyInstance) {
  for (int count = 0; count < 4; ++count) {
    this->Add();
  }
  this->AssignOwners({0, 1});
  LONGS_EQUAL(202, this->Submit(3, "a", 0));
  LONGS_EQUAL(202, this->Submit(3, "b", 1));
  // Submitted again at another instance: already accepted.
  LONGS_EQUAL(202, this->Submit(2, "a", 0));
  LONGS_EQUAL(1, this->fixture.log.Records({std::string(kTopic), 0}).size() -
                     1);  // besides the no-op record
  for (std::size_t at = 0; at < this->instances.size(); ++at) {
    LONGS_EQUAL(200, this->Read(at, "a"));
    STRCMP_EQUAL("0/2:", this->caller.body.c_str());
    LONGS_EQUAL(200, this->Read(at, "b"));
  }
  for (const std::size_t non_owner : {2, 3}) {
    for (const auto& partition : this->instances[non_owner]->partitions.All()) {
      CHECK_FALSE(partition->Following());
    }
  }
}

TEST(JobRelay, AJobIsNotFoundOnlyAfterEveryOwnerHasReadTheLog) {
  this->Add();
  this->Add();
  this->Add();
  this->AssignOwners({0, 1});
  LONGS_EQUAL(404, this->Read(2, "unknown"));
  this->fixture.log.faults.outage = true;
  LONGS_EQUAL(503, this->Read(2, "unknown"));
}

TEST(JobRelay, TheNewOwnerAnswersWhenTheOldOneIsUnreachable) {
  this->Add();
  this->Add();
  this->Add();
  this->AssignOwners({0, 1});
  LONGS_EQUAL(202, this->Submit(2, "a", 0));
  LONGS_EQUAL(200, this->Read(2, "a"));
  this->client->listening.erase(Address(0));
  // The log assigns partition 0 to instance 1; instance 2 finds out by reading
  // the owners again.
  this->fixture.log.owners[0].member = "i@" + Address(1) + "#100";
  this->instances[1]->partitions.SetNeeded({0, 1});
  LONGS_EQUAL(200, this->Read(2, "a"));
  LONGS_EQUAL(202, this->Submit(2, "b", 0));
}

TEST(JobRelay, ASubmissionSentToAnInstanceThatIsNotTheOwnerIsRetried) {
  this->Add();
  this->Add();
  this->Add();
  this->AssignOwners({0, 1});
  // The directory of instance 2 is stale: it names instance 1 as the owner of
  // both partitions.
  this->fixture.log.owners[0].member = "i@" + Address(1) + "#100";
  this->instances[2]->owners.Refresh();
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return ListsOwner(*this->instances[2], Address(1), 0); }));
  this->fixture.log.owners[0].member = "i@" + Address(0) + "#100";
  LONGS_EQUAL(202, this->Submit(2, "a", 0));
  LONGS_EQUAL(0, this->instances[1]->answered);
}

TEST(JobRelay, ASubmissionWithoutAResponseReportsAnUnknownOutcome) {
  this->Add();
  this->Add();
  this->AssignOwners({0, 0});
  this->client->unanswered = Address(0);
  LONGS_EQUAL(504, this->Submit(1, "a", 0));
  this->client->unanswered.clear();
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->instances[0]->partitions.FindByJob("a") != nullptr;
  }));
  LONGS_EQUAL(200, this->Read(1, "a"));
}

TEST(JobRelay, AMalformedSubmissionIsRejectedByAnyInstance) {
  this->Add();
  this->Add();
  this->AssignOwners({0, 0});
  LONGS_EQUAL(400, this->Submit(1, "", 0));
  LONGS_EQUAL(0, this->instances[0]->answered);
}

// All instances start at once, as after a power failure, while callers read and
// submit at every instance. Guards against each instance reading every
// partition: only the owners may read theirs, once.
TEST(JobRelay, EachPartitionIsReadOnceAfterAllInstancesRestart) {
  constexpr std::size_t kInstances = 28;
  constexpr std::size_t kJobs = 20;
  const TopicPartition parts[] = {{std::string(kTopic), 0},
                                  {std::string(kTopic), 1}};
  std::size_t records = 0;
  for (std::size_t index = 0; index < kJobs; ++index) {
    BatchJob job = MakeJob("old-" + std::to_string(index), 2);
    const std::size_t part = index % kPartitions;
    job.model = ModelIn(static_cast<std::int64_t>(part));
    this->fixture.log.Put(parts[part], EncodeJob(job, 100'000));
    ++records;
  }
  for (std::size_t count = 0; count < kInstances; ++count) {
    this->Add();
  }
  this->AssignOwners({5, 9});
  for (std::size_t index = 0; index < kJobs; ++index) {
    LONGS_EQUAL(200, this->Read(index, "old-" + std::to_string(index)));
    LONGS_EQUAL(202, this->Submit(index, "new-" + std::to_string(index),
                                  static_cast<std::int64_t>(index) % 2));
  }
  const std::size_t read = this->fixture.log.records_read[parts[0]] +
                           this->fixture.log.records_read[parts[1]];
  // No record is read twice, and an instance does not read back its own
  // records.
  CHECK_TRUE(read <= records + kJobs);
}

}  // namespace carobbank
