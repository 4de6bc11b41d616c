// Digests of requests that were running when the backend server crashed, in
// bounded memory. Until its digest is evicted, such a request runs here only in
// isolation.

#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carobbank {

// The requests that ran when the backend server crashed.
struct CrashEvidence {
  std::vector<std::string> digests;
  // `digests` covers every request that was running.
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

  // Invariant: both hold the same digests; `order` has the oldest first.
  std::set<std::string, std::less<>> digests;
  std::deque<std::string> order;
};

}  // namespace carobbank
