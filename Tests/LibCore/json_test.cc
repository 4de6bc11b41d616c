// Tests of JSON parsing: malformed external text ends in a typed error, and
// mistyped members in the fallback.

#include "LibCore/core.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace carobbank {

TEST_GROUP(Json){};

TEST(Json, WrittenValuesParseBack) {
  Json::Value value;
  value["name"] = "sea-state";
  value["tokens"] = 17;
  const auto parsed = Capture([&] { return ParseJson(WriteJson(value)); });
  CHECK_TRUE(parsed.Ok());
  CHECK_TRUE(parsed.Value() == value);
}

TEST(Json, MalformedTextIsATypedError) {
  const std::string deep(1000, '[');
  for (const std::string& text :
       {std::string("{"), std::string("{} x"), std::string("{\"a\":1,\"a\":2}"),
        std::string(""), deep}) {
    const auto parsed = Capture([&] { return ParseJson(text); });
    CHECK_FALSE(parsed.Ok());
    CHECK_TRUE(parsed.GetError().kind == ErrorKind::kInvalidArgument);
  }
}

TEST(Json, MistypedMembersFallBack) {
  Json::Value value;
  value["count"] = "seven";
  LONGS_EQUAL(3, JsonInteger(value, "count", 3));
  STRCMP_EQUAL("x", JsonString(Json::Value(4), "name", "x").c_str());
}

TEST(Json, ParseJsonObjectRejectsOtherValues) {
  CHECK_TRUE((*ParseJsonObject(R"({"a":[1]})"))["a"].isArray());
  for (const char* text : {"", "[1]", "7", "null", "{", "\"x\""}) {
    CHECK_FALSE(ParseJsonObject(text).has_value());
  }
}

TEST(Json, IntegersKeepTheirOrder) {
  STRCMP_EQUAL(
      "[7,-1,3]",
      WriteJson(IntegersToJson(std::vector<std::int64_t>{7, -1, 3})).c_str());
  STRCMP_EQUAL("[]",
               WriteJson(IntegersToJson(std::vector<std::int64_t>())).c_str());
}

}  // namespace carobbank
