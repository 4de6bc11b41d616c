// Parsing and writing of server-sent events. Guards against events that are
// lost, changed or reported early when the stream is fragmented.

#include "LibHTTP/http.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::vector<ServerSentEvent> FeedAll(ServerSentEventReader& reader,
                                     std::string_view bytes) {
  auto outcome = Capture([&] { return reader.Feed(bytes); });
  return outcome.Ok() ? outcome.Value() : std::vector<ServerSentEvent>();
}

}  // namespace

TEST_GROUP(ServerSentEvents){};

TEST(ServerSentEvents, LinesFollowTheSpecification) {
  struct Case {
    const char* text;
    const char* event;
    const char* data;
  };
  const std::vector<Case> cases = {
      {"data: a\n\n", "", "a"},
      {"data:a\r\rrest", "", "a"},
      {"data:  a\r\n\r\n", "", " a"},
      {"event: error\ndata: x\ndata: y\n\n", "error", "x\ny"},
      {": comment\nid: 4\nretry: 1\ndata\n\n", "", ""},
      {"event: lost\n\ndata: kept\n\n", "", "kept"},
  };
  for (const Case& each : cases) {
    ServerSentEventReader reader;
    const auto events = FeedAll(reader, each.text);
    CHECK_EQUAL_TEXT(1U, events.size(), each.text);
    STRCMP_EQUAL(each.event, events[0].event.c_str());
    STRCMP_EQUAL(each.data, events[0].data.c_str());
  }
}

TEST(ServerSentEvents, IncompleteEventIsNotReturned) {
  ServerSentEventReader reader;
  CHECK_TRUE(reader.AtEventBoundary());
  CHECK_TRUE(FeedAll(reader, "data: [DONE]\n").empty());
  CHECK_FALSE(reader.AtEventBoundary());
  CHECK_EQUAL(1U, FeedAll(reader, "\n").size());
  CHECK_TRUE(reader.AtEventBoundary());
}

TEST(ServerSentEvents, OversizeEventIsRefused) {
  ServerSentEventReader reader(100);
  const std::string line = "data: " + std::string(60, 'x') + "\n";
  CHECK_TRUE(Capture([&] { return reader.Feed(line); }).Ok());
  const auto outcome = Capture([&] { return reader.Feed(line); });
  CHECK_FALSE(outcome.Ok());
  CHECK_TRUE(outcome.GetError().kind == ErrorKind::kCorrupt);
}

TEST(ServerSentEvents, AnEventWithoutDataGrowsWithoutEnd) {
  for (const char* const line : {"x: aaaa\n", "id: aaaa\n", "event: aa\n"}) {
    ServerSentEventReader reader(100);
    bool refused = false;
    for (int count = 0; count < 20 && !refused; ++count) {
      refused = !Capture([&] { return reader.Feed(line); }).Ok();
    }
    CHECK_TEXT(refused, line);
  }
  ServerSentEventReader reader(100);
  for (int count = 0; count < 100; ++count) {
    CHECK_TRUE(Capture([&] { return reader.Feed(": comment\n"); }).Ok());
  }
}

TEST(ServerSentEvents, WrittenEventsAreReadBackFromAnyFragments) {
  CHECK_TRUE(rc::check("events survive cutting", [] {
    const auto data = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::element('a', ' ', ':', '\n')));
    const auto fragment_bytes = *rc::gen::inRange<std::size_t>(1, 7);
    std::string stream;
    for (const std::string& text : data) {
      stream += WriteServerSentEvent({"e", text});
    }
    ServerSentEventReader reader;
    std::vector<std::string> read;
    for (std::size_t position = 0; position < stream.size();
         position += fragment_bytes) {
      for (const auto& event :
           FeedAll(reader, stream.substr(position, fragment_bytes))) {
        read.push_back(event.data);
      }
    }
    RC_ASSERT(read == data);
    RC_ASSERT(reader.AtEventBoundary());
  }));
}

}  // namespace carobbank
