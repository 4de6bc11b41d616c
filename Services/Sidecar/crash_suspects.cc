// A set of digests with first-in-first-out eviction.

#include "Sidecar/crash_suspects.h"

namespace carobbank {

void CrashSuspects::Add(std::string_view digest) {
  if (digest.empty() || !this->digests.emplace(digest).second) {
    return;
  }
  this->order.emplace_back(digest);
  if (this->order.size() > kCapacity) {
    this->digests.erase(this->order.front());
    this->order.pop_front();
  }
}

}  // namespace carobbank
