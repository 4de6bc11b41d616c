// Tests that the parsers of the platform's responses return a value or kCorrupt
// for any input.

#include <rapidcheck.h>

#include <array>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// The outcome of parsing one text.
enum class ParseOutcome { kValue, kCorrupt, kOtherError };

template <typename Value>
ParseOutcome Classify(Result<Value> (*parse)(std::string_view),
                      std::string_view text) {
  const auto outcome = Capture([&] { return parse(text); });
  if (outcome.Ok()) {
    return ParseOutcome::kValue;
  }
  return outcome.GetError().kind == ErrorKind::kCorrupt
             ? ParseOutcome::kCorrupt
             : ParseOutcome::kOtherError;
}

struct ParserUnderTest {
  const char* name;
  ParseOutcome (*classify)(std::string_view text);
  // A text that the parser accepts, with every required member.
  const char* valid;
};

constexpr std::array<ParserUnderTest, 7> kParsers{{
    {"append response",
     [](std::string_view t) { return Classify(ParseAppendResponse, t); },
     R"({"offset": 7})"},
    {"log page", [](std::string_view t) { return Classify(ParseLogPage, t); },
     R"({"first_retained": 3, "end": 6, "records": [
         {"offset": 4, "time_ms": 12, "payload": "a"},
         {"offset": 5, "time_ms": 12, "payload": ""}]})"},
    {"instance listing",
     [](std::string_view t) { return Classify(ParseInstanceListing, t); },
     R"({"version": 2, "instances": [{"id": "scorer-1",
         "role": "backend_server", "state": "live", "data_center": "mvd-a",
         "pool": "scorer-lm", "address": "127.0.0.1:1", "incarnation": 1}]})"},
    {"model versions",
     [](std::string_view t) { return Classify(ParseModelVersions, t); },
     R"({"model": "scorer", "versions": [2, 1]})"},
    {"engine state",
     [](std::string_view t) { return Classify(ParseEngineState, t); },
     R"({"model": "scorer", "version": 1, "loading": false,
         "last_order_id": "", "last_order_failed": false, "fencing": 0,
         "incarnation": 18446744073709551615})"},
    {"engine load",
     [](std::string_view t) { return Classify(ParseEngineLoad, t); },
     R"({"as_of_ms": 5, "running": 1, "waiting": 0, "max_batch": 16,
         "cache_tokens_used": 1, "cache_tokens_total": 2,
         "token_interval_us": 20000})"},
    {"cache events",
     [](std::string_view t) { return Classify(ParseCacheEvents, t); },
     R"({"first": 0, "events": [{"sequence": 4, "stored": true,
         "prefix": "18446744073709551615"}]})"},
}};

Json::Value Parsed(std::string_view text) {
  return Capture([&] { return ParseJson(text); }).Value();
}

// A value that often has another type than the expected one.
Json::Value ArbitraryValue() {
  const std::vector<std::string> texts = {"null",
                                          "true",
                                          "-1",
                                          "0",
                                          "1.5",
                                          "1e300",
                                          "18446744073709551616",
                                          "\"\"",
                                          "\"-1\"",
                                          "[]",
                                          "{}",
                                          "[[]]",
                                          "[null]",
                                          "[1, \"x\", {}]",
                                          R"({"offset": 1})",
                                          "-9223372036854775808"};
  return Parsed(texts[*rc::gen::inRange<std::size_t>(0, texts.size())]);
}

// Replaces or removes one value at an arbitrary depth.
void Mutate(Json::Value& value) {
  const bool descends = (value.isObject() || value.isArray()) &&
                        !value.empty() && *rc::gen::inRange(0, 4) > 0;
  if (!descends) {
    value = ArbitraryValue();
    return;
  }
  const auto size = static_cast<std::size_t>(value.size());
  const std::size_t chosen = *rc::gen::inRange<std::size_t>(0, size);
  if (value.isArray()) {
    Mutate(value[static_cast<Json::ArrayIndex>(chosen)]);
    return;
  }
  const std::string name = value.getMemberNames()[chosen];
  if (*rc::gen::arbitrary<bool>()) {
    value.removeMember(name);
    return;
  }
  Mutate(value[name]);
}

}  // namespace

TEST_GROUP(PlatformParsers){};

TEST(PlatformParsers, AcceptValidResponses) {
  for (const ParserUnderTest& parser : kParsers) {
    CHECK_TRUE_TEXT(parser.classify(parser.valid) == ParseOutcome::kValue,
                    parser.name);
  }
}

TEST(PlatformParsers, MissingMembersAreCorrupt) {
  for (const ParserUnderTest& parser : kParsers) {
    const Json::Value valid = Parsed(parser.valid);
    for (const std::string& name : valid.getMemberNames()) {
      Json::Value lacking = valid;
      lacking.removeMember(name);
      CHECK_TRUE_TEXT(
          parser.classify(WriteJson(lacking)) == ParseOutcome::kCorrupt,
          parser.name);
    }
  }
}

TEST(PlatformParsers, LogOffsetsOutOfRangeOrWithGapsAreCorrupt) {
  const char* const texts[] = {
      // Below first_retained.
      R"({"first_retained": 3, "end": 6, "records": [
          {"offset": 2, "time_ms": 1, "payload": ""}]})",
      // At the end.
      R"({"first_retained": 0, "end": 2, "records": [
          {"offset": 2, "time_ms": 1, "payload": ""}]})",
      // With a gap.
      R"({"first_retained": 0, "end": 9, "records": [
          {"offset": 1, "time_ms": 1, "payload": ""},
          {"offset": 3, "time_ms": 1, "payload": ""}]})",
  };
  for (const char* text : texts) {
    CHECK_TRUE_TEXT(Classify(ParseLogPage, text) == ParseOutcome::kCorrupt,
                    text);
  }
}

TEST(PlatformParsers, MutatedResponsesNeverThrow) {
  CHECK_TRUE(rc::check("a mutated response is a value or kCorrupt", [] {
    const auto chosen = *rc::gen::inRange<std::size_t>(0, kParsers.size());
    const ParserUnderTest& parser = kParsers[chosen];
    Json::Value value = Parsed(parser.valid);
    const int mutations = *rc::gen::inRange(1, 4);
    for (int count = 0; count < mutations; ++count) {
      Mutate(value);
    }
    RC_ASSERT(parser.classify(WriteJson(value)) != ParseOutcome::kOtherError);
  }));
}

TEST(PlatformParsers, ArbitraryTextNeverThrows) {
  CHECK_TRUE(rc::check("any text is a value or kCorrupt", [] {
    const auto chosen = *rc::gen::inRange<std::size_t>(0, kParsers.size());
    const ParserUnderTest& parser = kParsers[chosen];
    std::string text = parser.valid;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto inserted = *rc::gen::arbitrary<std::string>();
    if (*rc::gen::arbitrary<bool>()) {
      text.resize(at);
    }
    text.insert(at, inserted);
    RC_ASSERT(parser.classify(text) != ParseOutcome::kOtherError);
    RC_ASSERT(parser.classify(inserted) != ParseOutcome::kOtherError);
  }));
}

}  // namespace carobbank
