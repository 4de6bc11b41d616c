// Servers that have just failed or refused a request. Server selection excludes
// them until no other server is left to try.

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
    if (this->ids.size() == kMaxServers) {
      this->ids.erase(this->ids.begin());
    }
    this->ids.push_back(std::move(server_id));
  }
  // Makes the excluded servers eligible again. False when none was excluded, so
  // that no server at all has free capacity.
  bool Clear() {
    const bool any = !this->ids.empty();
    this->ids.clear();
    return any;
  }
  std::span<const std::string> Ids() const { return this->ids; }

 private:
  static constexpr std::size_t kMaxServers = 3;

  // Oldest first. Invariant: at most kMaxServers, no duplicates.
  std::vector<std::string> ids;
};

}  // namespace carobbank
