// Contract of InstanceListClient, run against the fake and against the HTTP
// adapter with the list's stand-in.

#include <optional>

#include "Contracts/contract_case.h"
#include "LibPlatform/platform.h"
#include "Support/fake_instance_list.h"
#include "Support/stand_in_host.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

class InstanceListSubject {
 public:
  virtual ~InstanceListSubject() = default;
  virtual Outcome<InstanceListing> Fetch() = 0;
  virtual void Set(const ListedInstance& instance) = 0;
  virtual void Remove(std::string id) = 0;
  virtual void Leave(std::string id) = 0;
  // Fetches no longer show later changes.
  virtual void Lag() = 0;
  virtual void BeginOutage() = 0;
};

class FakeInstanceListSubject final : public InstanceListSubject {
 public:
  Outcome<InstanceListing> Fetch() override {
    std::optional<Outcome<InstanceListing>> result;
    this->list.Fetch([&](auto outcome) { result = std::move(outcome); });
    return *result;
  }
  void Set(const ListedInstance& instance) override {
    this->list.Set(instance);
  }
  void Remove(std::string id) override { this->list.Remove(id); }
  void Leave(std::string id) override {
    this->list.SetState(id, InstanceState::kLeaving);
  }
  void Lag() override { this->list.lagging = true; }
  void BeginOutage() override { this->list.outage = true; }

 private:
  FakeInstanceList list;
};

class HttpInstanceListSubject final : public InstanceListSubject {
 public:
  HttpInstanceListSubject()
      : list(CreateHttpInstanceListClient(this->host.Client(),
                                          this->host.Url())) {}

  Outcome<InstanceListing> Fetch() override {
    return this->host.Thread().Await<Outcome<InstanceListing>>(
        [&](auto done) { this->list->Fetch(done); });
  }
  void Set(const ListedInstance& instance) override {
    Json::Value control;
    Json::Value& row = control["upsert"];
    row["id"] = instance.id;
    row["role"] =
        instance.role == InstanceRole::kEntry ? "entry" : "backend_server";
    row["state"] = instance.state == InstanceState::kLive ? "live" : "leaving";
    row["data_center"] = instance.data_center;
    row["pool"] = instance.pool;
    row["address"] = instance.address;
    row["incarnation"] = Json::UInt64{instance.incarnation};
    this->host.ControlDirectly(WriteJson(control));
  }
  void Remove(std::string id) override {
    this->host.ControlDirectly(R"({"remove": ")" + id + R"("})");
  }
  void Leave(std::string id) override {
    this->host.ControlDirectly(R"({"state": {"id": ")" + id +
                               R"(", "state": "leaving"}})");
  }
  void Lag() override { this->host.ControlDirectly(R"({"lag_ms": 3600000})"); }
  void BeginOutage() override {
    this->host.ControlDirectly(R"({"outage": true})");
  }

 private:
  StandInHost host{"instances"};
  std::unique_ptr<InstanceListClient> list;
};

ListedInstance ExampleInstance(std::string id) {
  ListedInstance instance;
  instance.id = std::move(id);
  instance.data_center = "mvd-a";
  instance.pool = "scorer-lm";
  instance.address = "127.0.0.1:9001";
  instance.incarnation = 3;
  return instance;
}

// Cases.

void ListShowsWhatWasSet(InstanceListSubject& subject) {
  subject.Set(ExampleInstance("scorer-1"));
  const InstanceListing listing = subject.Fetch().Value();
  CHECK_EQUAL(1U, listing.instances.size());
  const ListedInstance& shown = listing.instances[0];
  STRCMP_EQUAL("scorer-1", shown.id.c_str());
  CHECK_TRUE(shown.role == InstanceRole::kBackendServer);
  CHECK_TRUE(shown.state == InstanceState::kLive);
  STRCMP_EQUAL("mvd-a", shown.data_center.c_str());
  STRCMP_EQUAL("scorer-lm", shown.pool.c_str());
  STRCMP_EQUAL("127.0.0.1:9001", shown.address.c_str());
  CHECK_EQUAL(3U, shown.incarnation);
}

void ChangesRaiseTheVersion(InstanceListSubject& subject) {
  subject.Set(ExampleInstance("scorer-1"));
  subject.Set(ExampleInstance("scorer-2"));
  const std::uint64_t before = subject.Fetch().Value().version;
  subject.Leave("scorer-1");
  subject.Remove("scorer-2");
  const InstanceListing listing = subject.Fetch().Value();
  CHECK_TRUE(listing.version > before);
  CHECK_EQUAL(1U, listing.instances.size());
  CHECK_TRUE(listing.instances[0].state == InstanceState::kLeaving);
}

void LaggingListHidesChanges(InstanceListSubject& subject) {
  subject.Lag();
  subject.Set(ExampleInstance("scorer-1"));
  CHECK_EQUAL(0U, subject.Fetch().Value().instances.size());
}

void OutageIsUnavailable(InstanceListSubject& subject) {
  subject.BeginOutage();
  const auto outcome = subject.Fetch();
  CHECK_FALSE(outcome.Ok());
  CHECK_TRUE(outcome.GetError().kind == ErrorKind::kUnavailable);
}

constexpr ContractCase<InstanceListSubject> kInstanceListCases[] = {
    {"the list shows what was set", ListShowsWhatWasSet},
    {"changes raise the version", ChangesRaiseTheVersion},
    {"a lagging list hides changes", LaggingListHidesChanges},
    {"an outage is unavailable", OutageIsUnavailable},
};

}  // namespace

TEST_GROUP(InstanceListContract){};

TEST(InstanceListContract, Fake) {
  RunContract<InstanceListSubject>(kInstanceListCases, [] {
    return std::make_unique<FakeInstanceListSubject>();
  });
}

TEST(InstanceListContract, HttpAdapterWithStandIn) {
  RunContract<InstanceListSubject>(kInstanceListCases, [] {
    return std::make_unique<HttpInstanceListSubject>();
  });
}

}  // namespace carobbank
