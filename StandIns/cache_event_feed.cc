// Retention and paging of cache events.

#include "StandIns/cache_event_feed.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxRetainedEvents = 1'000;

}  // namespace

void CacheEventFeed::Add(const PrefixChange& change,
                         MonotonicTime visible_at,
                         bool lost) {
  const std::uint64_t sequence = this->next_sequence++;
  if (lost) {
    return;
  }
  this->events.push_back({sequence, change, visible_at});
  if (this->events.size() > kMaxRetainedEvents) {
    this->events.pop_front();
    this->first_retained = this->events.front().sequence;
  }
}

Json::Value CacheEventFeed::Page(std::uint64_t from, MonotonicTime now) const {
  Json::Value page;
  page["first"] = Json::UInt64{this->first_retained};
  page["events"] = Json::Value(Json::arrayValue);
  for (const Event& event : this->events) {
    const bool is_included = event.sequence >= from && event.visible_at <= now;
    if (!is_included) {
      continue;
    }
    Json::Value entry;
    entry["sequence"] = Json::UInt64{event.sequence};
    entry["stored"] = event.change.stored;
    entry["prefix"] = std::to_string(event.change.prefix_hash);
    page["events"].append(std::move(entry));
  }
  return page;
}

void CacheEventFeed::Clear() {
  this->events.clear();
  this->next_sequence = 0;
  this->first_retained = 0;
}

}  // namespace carobbank
