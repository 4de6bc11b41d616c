// Servers that a piece of work has just been failed or refused by. They are
// passed over, but only as long as others were not tried as well.

#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace carobbank {

class ExcludedServers {
 public:
  void Add(std::string server_id) {
    if (std::find(this->ids.begin(), this->ids.end(), server_id) !=
        this->ids.end()) {
      return;
    }
    if (this->ids.size() == kMost) {
      this->ids.erase(this->ids.begin());
    }
    this->ids.push_back(std::move(server_id));
  }
  // Lets them be tried again; false when there were none, so that no server has
  // room at all.
  bool Clear() {
    const bool any = !this->ids.empty();
    this->ids.clear();
    return any;
  }
  std::span<const std::string> Ids() const { return this->ids; }

 private:
  static constexpr std::size_t kMost = 3;

  // Invariant: at most kMost, the oldest first, each once.
  std::vector<std::string> ids;
};

}  // namespace carobbank
