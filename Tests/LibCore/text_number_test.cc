// Tests of ParseInteger and Base64: each rejects text that is not completely of
// its form.

#include "LibCore/core.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(TextNumber){};

TEST(TextNumber, ParsesOnlyCompleteNumbersInRange) {
  CHECK_TRUE(ParseInteger<int>("42") == 42);
  CHECK_TRUE(ParseInteger<int>("-7") == -7);
  CHECK_TRUE(ParseInteger<std::uint16_t>("65535") == 65'535);
  for (const char* text : {"", " 4", "4 ", "4x", "x", "+4", "4.0", "65536"}) {
    CHECK_FALSE(ParseInteger<std::uint16_t>(text).has_value());
  }
  CHECK_FALSE(ParseInteger<std::uint16_t>("-1").has_value());
}

TEST_GROUP(Base64){};

TEST(Base64, EncodedBytesDecodeToTheSameBytes) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\0", 3)}) {
    CHECK_TRUE(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
}

TEST(Base64, RejectsTextThatIsNotPaddedBase64) {
  for (const char* text : {"a", "abc", "a===b", "ab!d"}) {
    CHECK_FALSE(DecodeBase64(text).has_value());
  }
}

}  // namespace carobbank
