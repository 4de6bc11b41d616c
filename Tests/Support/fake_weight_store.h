// An in-memory weight store with switchable faults, behind WeightStoreClient.

#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "LibPlatform/platform.h"

namespace carobbank {

class FakeWeightStore final : public WeightStoreClient {
 public:
  // Calls end in kUnavailable.
  bool outage = false;
  // Calls end in kOverloaded, as over the store's rate limit.
  bool overloaded = false;

  void ReadVersions(std::string_view model, Callback callback) override {
    callback(this->Find(model));
  }

  void Store(std::string_view model, std::uint64_t version) {
    this->models[std::string(model)].insert(version);
  }

 private:
  Outcome<ModelVersions> Find(std::string_view model) const {
    if (this->outage) {
      return Error{ErrorKind::kUnavailable, "the fake store is down",
                   "ask again later"};
    }
    if (this->overloaded) {
      return Error{ErrorKind::kOverloaded, "over the store's rate limit",
                   "ask again later"};
    }
    const auto found = this->models.find(model);
    if (found == this->models.end()) {
      return Error{ErrorKind::kNotFound, "no such model",
                   "store a version of it first"};
    }
    return ModelVersions{found->first,
                         {found->second.begin(), found->second.end()}};
  }

  std::map<std::string, std::set<std::uint64_t>, std::less<>> models;
};

}  // namespace carobbank
