// An in-memory list of instances with switchable faults, behind
// InstanceListClient.

#pragma once

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "LibPlatform/platform.h"

namespace carobbank {

class FakeInstanceList final : public InstanceListClient {
 public:
  // Fetches end in kUnavailable.
  bool outage = false;
  // Fetches see the list as it was at the last CatchUp().
  bool lagging = false;

  void Fetch(Callback callback) override {
    if (this->outage) {
      callback(Error{ErrorKind::kUnavailable, "the fake list is down",
                     "fetch again later"});
      return;
    }
    if (!this->lagging) {
      this->CatchUp();
    }
    callback(this->visible);
  }

  // Adds the instance, or replaces the one with its id.
  void Set(ListedInstance instance) {
    this->Remove(instance.id);
    this->truth.instances.push_back(std::move(instance));
  }

  void Remove(std::string_view id) {
    std::erase_if(this->truth.instances, [id](const ListedInstance& instance) {
      return instance.id == id;
    });
    ++this->truth.version;
  }

  void SetState(std::string_view id, InstanceState state) {
    for (ListedInstance& instance : this->truth.instances) {
      if (instance.id == id) {
        instance.state = state;
      }
    }
    ++this->truth.version;
  }

  // Lets fetches see every change made so far.
  void CatchUp() { this->visible = this->truth; }

 private:
  InstanceListing truth;
  InstanceListing visible;
};

}  // namespace carobbank
