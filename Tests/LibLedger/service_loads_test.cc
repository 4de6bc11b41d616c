// Guards against loads that are misread, and against loads of lost gateways
// that count forever.

#include "LibLedger/ledger.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

MonotonicTime At(Milliseconds time) {
  return MonotonicTime(std::chrono::hours(1)) + time;
}

}  // namespace

TEST_GROUP(ServiceLoads) {
  ServiceLoadFold fold;
  ServiceLocation location{"s", "z"};
};

TEST(ServiceLoads, TheLoadsOfAllGatewaysAddUp) {
  this->fold.Apply(EncodeServiceLoads("a", {{this->location, 3}}), At({}));
  this->fold.Apply(EncodeServiceLoads("b", {{this->location, 4}}), At({}));
  this->fold.Apply(EncodeServiceLoads("a", {{this->location, 5}}), At({}));
  CHECK_EQUAL(9, this->fold.Sum(At({})).at(this->location));
}

TEST(ServiceLoads, AGatewayThatAppendsNoMoreIsForgotten) {
  this->fold.Apply(EncodeServiceLoads("a", {{this->location, 3}}), At({}));
  CHECK_EQUAL(1, this->fold.Sum(At(ServiceLoadFold::kValid)).size());
  LONGS_EQUAL(
      0, this->fold.Sum(At(ServiceLoadFold::kValid + Milliseconds(1))).size());
  LONGS_EQUAL(0, this->fold.Deletions(At(ServiceLoadFold::kKept)).size());
  const auto deletions =
      this->fold.Deletions(At(ServiceLoadFold::kKept + Milliseconds(1)));
  LONGS_EQUAL(1, deletions.size());
  this->fold.Apply(deletions[0], At({}));
  LONGS_EQUAL(0, this->fold.Deletions(At(2 * ServiceLoadFold::kKept)).size());
}

TEST(ServiceLoads, MalformedRecordsAreIgnored) {
  for (const char* const value :
       {"", "x", "{}", R"({"loads":[1]})", R"({"loads":[["s","z"]]})",
        R"({"loads":[["s","z","3"]]})"}) {
    this->fold.Apply({"l/a", value}, At({}));
  }
  this->fold.Apply({"x", R"({"loads":[["s","z",3]]})"}, At({}));
  LONGS_EQUAL(0, this->fold.Sum(At({})).size());
}

}  // namespace carobbank
