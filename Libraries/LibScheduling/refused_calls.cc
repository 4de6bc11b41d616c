// A map of digests with a queue in order of refusal for the bounds.

#include "LibScheduling/refused_calls.h"

#include <algorithm>

namespace carobbank {

void RefusedCalls::Remember(std::string_view digest,
                            MonotonicTime arrived,
                            MonotonicTime now) {
  while (!this->order.empty() &&
         (this->order.size() >= kMaxCalls ||
          now - this->order.front().refused_at > kKept)) {
    this->RemoveOldest();
  }
  const auto [entry, added] =
      this->calls.try_emplace(std::string(digest), Refused{arrived, now});
  if (!added) {
    entry->second.arrived = std::min(entry->second.arrived, arrived);
    entry->second.refused_at = now;
  }
  this->order.push_back({std::string(digest), now});
}

std::optional<MonotonicTime> RefusedCalls::Take(std::string_view digest,
                                                MonotonicTime now) {
  const auto found = this->calls.find(std::string(digest));
  if (found == this->calls.end()) {
    return std::nullopt;
  }
  const Refused refused = found->second;
  this->calls.erase(found);
  if (now - refused.refused_at > kKept) {
    return std::nullopt;
  }
  return refused.arrived;
}

void RefusedCalls::RemoveOldest() {
  const Order& oldest = this->order.front();
  const auto found = this->calls.find(oldest.digest);
  if (found != this->calls.end() &&
      found->second.refused_at == oldest.refused_at) {
    this->calls.erase(found);
  }
  this->order.pop_front();
}

}  // namespace carobbank
