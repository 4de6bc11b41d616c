// Contract of WeightStoreClient, run against the fake and against the HTTP
// adapter with the store's stand-in.

#include <optional>

#include "Contracts/contract_case.h"
#include "LibPlatform/platform.h"
#include "Support/fake_weight_store.h"
#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

class WeightStoreSubject {
 public:
  virtual ~WeightStoreSubject() = default;
  virtual Outcome<ModelVersions> ReadVersions(std::string_view model) = 0;
  virtual void Store(std::string model, std::uint64_t version) = 0;
  virtual void BeginOutage() = 0;
  // Exceeds the store's rate limit.
  virtual void Overload() = 0;
};

class FakeWeightStoreSubject final : public WeightStoreSubject {
 public:
  Outcome<ModelVersions> ReadVersions(std::string_view model) override {
    std::optional<Outcome<ModelVersions>> result;
    this->store.ReadVersions(
        model, [&](auto outcome) { result = std::move(outcome); });
    return *result;
  }
  void Store(std::string model, std::uint64_t version) override {
    this->store.Store(model, version);
  }
  void BeginOutage() override { this->store.outage = true; }
  void Overload() override { this->store.overloaded = true; }

 private:
  FakeWeightStore store;
};

class HttpWeightStoreSubject final : public WeightStoreSubject {
 public:
  HttpWeightStoreSubject()
      : store(CreateHttpWeightStoreClient(this->host.Client(),
                                          this->host.Url())) {}

  Outcome<ModelVersions> ReadVersions(std::string_view model) override {
    return this->host.Thread().Await<Outcome<ModelVersions>>(
        [&](auto done) { this->store->ReadVersions(model, done); });
  }
  void Store(std::string model, std::uint64_t version) override {
    Json::Value control;
    control["put"]["model"] = std::move(model);
    control["put"]["version"] = Json::UInt64{version};
    this->host.ControlDirectly(WriteJson(control));
  }
  void BeginOutage() override {
    this->host.ControlDirectly(R"({"outage": true})");
  }
  void Overload() override {
    this->host.ControlDirectly(R"({"bytes_per_second": 1})");
    this->Store("overload", 1);
    // The transfer takes days. The loop below waits until the store has
    // accepted it, since one event loop with two connections doesn't guarantee
    // that the store accepts it before the next call.
    this->host.Thread().Run([this] {
      HttpClientRequest request;
      request.url = this->host.Url() + "/models/overload/versions/1";
      this->host.Client().Fetch(std::move(request), [](const auto&) {});
    });
    while (this->host.Record()["transfers"].asUInt64() == 0) {
    }
  }

 private:
  StandInHost host{"weights"};
  std::unique_ptr<WeightStoreClient> store;
};

// Cases.

void VersionsAreAscending(WeightStoreSubject& subject) {
  subject.Store("team/policy lm", 10);
  subject.Store("team/policy lm", 9);
  subject.Store("other", 1);
  const ModelVersions versions = subject.ReadVersions("team/policy lm").Value();
  STRCMP_EQUAL("team/policy lm", versions.model.c_str());
  CHECK_EQUAL(2U, versions.versions.size());
  CHECK_EQUAL(9U, versions.versions[0]);
  CHECK_EQUAL(10U, versions.versions[1]);
}

void UnknownModelIsNotFound(WeightStoreSubject& subject) {
  CheckError(ErrorKind::kNotFound, subject.ReadVersions("unknown"));
}

void OutageIsUnavailable(WeightStoreSubject& subject) {
  subject.Store("model", 1);
  subject.BeginOutage();
  CheckError(ErrorKind::kUnavailable, subject.ReadVersions("model"));
}

void RateLimitIsOverloaded(WeightStoreSubject& subject) {
  subject.Store("model", 1);
  subject.Overload();
  CheckError(ErrorKind::kOverloaded, subject.ReadVersions("model"));
}

constexpr ContractCase<WeightStoreSubject> kWeightStoreCases[] = {
    {"versions are ascending", VersionsAreAscending},
    {"an unknown model is not found", UnknownModelIsNotFound},
    {"an outage is unavailable", OutageIsUnavailable},
    {"the rate limit is overloaded", RateLimitIsOverloaded},
};

}  // namespace

TEST_GROUP(WeightStoreContract){};

TEST(WeightStoreContract, Fake) {
  RunContract<WeightStoreSubject>(kWeightStoreCases, [] {
    return std::make_unique<FakeWeightStoreSubject>();
  });
}

TEST(WeightStoreContract, HttpAdapterWithStandIn) {
  RunContract<WeightStoreSubject>(kWeightStoreCases, [] {
    return std::make_unique<HttpWeightStoreSubject>();
  });
}

}  // namespace carobbank
