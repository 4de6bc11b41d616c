// An in-memory InstanceListClient with switchable faults.

#pragma once

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "LibPlatform/platform.h"

namespace carobbank {

class FakeInstanceList final : public InstanceListClient {
 public:
  // Fetches fail with kUnavailable.
  bool outage = false;
  // Fetches return the list as of the last CatchUp().
  bool lagging = false;

  void Fetch(Callback callback) override {
    if (this->outage) {
      callback(Error{ErrorKind::kUnavailable, "the fake instance list is down",
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

  // Makes all changes so far visible to fetches.
  void CatchUp() { this->visible = this->truth; }

 private:
  InstanceListing truth;
  InstanceListing visible;
};

}  // namespace carobbank
