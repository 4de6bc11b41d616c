// Digests of work that was running when the backend server crashed, in bounded
// memory. Until cleared of it by time, such work runs here only alone.

#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carobbank {

// What ran when the backend server crashed.
struct CrashEvidence {
  std::vector<std::string> digests;
  // Nothing else ran there.
  bool lists_all_work = false;
};

class CrashSuspects {
 public:
  void Add(std::string_view digest);
  bool Contains(std::string_view digest) const {
    return this->digests.contains(digest);
  }

 private:
  static constexpr std::size_t kCapacity = 1'024;

  // Invariant: both hold the same digests, `order` by age.
  std::set<std::string, std::less<>> digests;
  std::deque<std::string> order;
};

}  // namespace carobbank
