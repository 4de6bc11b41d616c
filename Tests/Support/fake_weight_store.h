// An in-memory WeightStoreClient with switchable faults.

#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "LibPlatform/platform.h"

namespace carobbank {

class FakeWeightStore final : public WeightStoreClient {
 public:
  // Calls fail with kUnavailable.
  bool outage = false;
  // Calls fail with kOverloaded, as if over the store's rate limit.
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
      return Error{ErrorKind::kUnavailable, "the fake weight store is down",
                   "call it again later"};
    }
    if (this->overloaded) {
      return Error{ErrorKind::kOverloaded, "over the store's rate limit",
                   "call it again later"};
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
