// The ring buffer of events, and the JSON form of its pages.

#include "LibTimeline/event_timeline.h"

#include <algorithm>

namespace carobbank {

EventTimeline::EventTimeline(const Clock& clock, TimelineOptions options)
    : options(std::move(options)), clock(clock) {
  this->ring.resize(std::max<std::size_t>(1, this->options.capacity));
}

HybridTime EventTimeline::Record(Event event) {
  event.instance = this->options.instance;
  event.data_center = this->options.data_center;
  const std::lock_guard lock(this->mutex);
  event.time = this->clock.Tick();
  const HybridTime timestamp = event.time;
  this->ring[this->next % this->ring.size()] = std::move(event);
  ++this->next;
  return timestamp;
}

HybridTime EventTimeline::Stamp() {
  const std::lock_guard lock(this->mutex);
  return this->clock.Tick();
}

void EventTimeline::Observe(HybridTime remote) {
  const std::lock_guard lock(this->mutex);
  this->clock.Observe(remote);
}

TimelinePage EventTimeline::Read(std::uint64_t from,
                                 std::size_t max_events) const {
  const std::lock_guard lock(this->mutex);
  TimelinePage page;
  page.dropped = this->FirstRetained();
  page.first = std::clamp(from, this->FirstRetained(), this->next);
  const std::uint64_t available = this->next - page.first;
  page.next = page.first + std::min<std::uint64_t>(available, max_events);
  page.events.reserve(page.next - page.first);
  for (std::uint64_t sequence = page.first; sequence < page.next; ++sequence) {
    page.events.push_back(this->ring[sequence % this->ring.size()]);
  }
  return page;
}

std::uint64_t EventTimeline::Dropped() const {
  const std::lock_guard lock(this->mutex);
  return this->FirstRetained();
}

std::uint64_t EventTimeline::FirstRetained() const {
  const std::uint64_t capacity = this->ring.size();
  return this->next > capacity ? this->next - capacity : 0;
}

Json::Value TimelinePageToJson(const TimelinePage& page) {
  Json::Value value;
  value["first"] = Json::UInt64(page.first);
  value["next"] = Json::UInt64(page.next);
  value["dropped"] = Json::UInt64(page.dropped);
  Json::Value& events = value["events"] = Json::Value(Json::arrayValue);
  for (const Event& event : page.events) {
    events.append(EventToJson(event));
  }
  return value;
}

Result<TimelinePage> TimelinePageFromJson(const Json::Value& value) {
  if (!value.isObject() || !value["events"].isArray()) {
    return Fail(ErrorKind::kCorrupt, "not a timeline page",
                "send GET /timeline to a carobbank process");
  }
  TimelinePage page;
  page.first = static_cast<std::uint64_t>(JsonInteger(value, "first"));
  page.next = static_cast<std::uint64_t>(JsonInteger(value, "next"));
  page.dropped = static_cast<std::uint64_t>(JsonInteger(value, "dropped"));
  for (const Json::Value& member : value["events"]) {
    BOOST_LEAF_AUTO(event, EventFromJson(member));
    page.events.push_back(std::move(event));
  }
  return page;
}

}  // namespace carobbank
