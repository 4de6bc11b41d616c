// Tests of EventTimeline: order, bounds, dropped counts and the JSON form.

#include "LibTimeline/timeline.h"
#include "Support/manual_clock.h"

#include <thread>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

Event Numbered(std::int64_t number) {
  Event event;
  event.kind = EventKind::kSend;
  event.number = number;
  return event;
}

}  // namespace

TEST_GROUP(EventTimeline) {
  ManualClock clock;
  EventTimeline timeline{clock, {"entry-1", "mvd-a", 4}};
};

TEST(EventTimeline, SetsInstanceDataCenterAndIncreasingTime) {
  timeline.Observe({clock.WallNow() + 1000, 7});
  const HybridTime first = timeline.Record(Numbered(1));
  CHECK_TRUE(timeline.Record(Numbered(2)) > first);
  CHECK_TRUE(first > (HybridTime{clock.WallNow() + 1000, 7}));
  const TimelinePage page = timeline.Read(0, 10);
  LONGS_EQUAL(2, page.events.size());
  STRCMP_EQUAL("entry-1", page.events[0].instance.c_str());
  STRCMP_EQUAL("mvd-a", page.events[1].data_center.c_str());
}

TEST(EventTimeline, RetainsTheNewestAndCountsTheDropped) {
  for (std::int64_t number = 0; number < 10; ++number) {
    timeline.Record(Numbered(number));
  }
  const TimelinePage page = timeline.Read(2, 3);
  LONGS_EQUAL(6, page.first);
  LONGS_EQUAL(9, page.next);
  LONGS_EQUAL(6, page.dropped);
  LONGS_EQUAL(6, page.events.front().number);
  LONGS_EQUAL(9, timeline.Read(page.next, 3).events.front().number);
  CHECK_TRUE(timeline.Read(99, 3).events.empty());
  LONGS_EQUAL(10, timeline.Read(99, 3).next);
}

TEST(EventTimeline, ThreadsRecordWithoutLosingEvents) {
  EventTimeline large(clock, {"entry-1", "mvd-a", 10'000});
  const auto record = [&large] {
    for (std::int64_t number = 0; number < 1'000; ++number) {
      large.Record(Numbered(number));
    }
  };
  std::thread other(record);
  record();
  other.join();
  const TimelinePage page = large.Read(0, 10'000);
  LONGS_EQUAL(2'000, page.events.size());
  for (std::size_t index = 1; index < page.events.size(); ++index) {
    CHECK_TRUE(page.events[index - 1].time < page.events[index].time);
  }
}

TEST(EventTimeline, EveryKindReadsBackFromJson) {
  for (const EventKind kind : AllEventKinds()) {
    Event event{{12, 3}, kind,        "r", "s",   "s/0/1", "a",
                "entry", "canelones", "x", "srv", "why",   -4};
    TimelinePage page{5, 6, 5, {event}};
    const auto read =
        Capture([&] { return TimelinePageFromJson(TimelinePageToJson(page)); });
    CHECK_TRUE(read.Ok());
    LONGS_EQUAL(5, read.Value().first);
    CHECK_TRUE(read.Value().events.front() == event);
  }
}

TEST(EventTimeline, MalformedPagesAreTypedErrors) {
  for (const char* text :
       {"[]", "{}", R"({"events": 3})", R"({"events": [4]})",
        R"({"events": [{"kind": "nap", "time": "1.0"}]})",
        R"({"events": [{"kind": "send", "time": "soon"}]})"}) {
    const auto value = Capture([&] { return ParseJson(text); });
    const auto read =
        Capture([&] { return TimelinePageFromJson(value.Value()); });
    CHECK_FALSE(read.Ok());
  }
}

}  // namespace carobbank
