// Origins of streams. Guards against a proof that overlooks an origin: of an
// earlier route of the path, of another service, or of servers that have left.

#include "LibRouting/routing.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr const char* kHost = "app.example";
constexpr Milliseconds kRetention{120'000};

StreamOrigin Origin(const char* prefix,
                    const char* service,
                    const char* software) {
  return {kHost, prefix, service, software};
}

}  // namespace

TEST_GROUP(StreamOrigins) {
  StreamOriginTable table;
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);

  void Record(const StreamOrigin& origin) {
    this->table.OnRecorded(origin, this->now);
  }
  bool IsOnly(const char* path, const char* service, const char* software)
      const {
    const auto only = this->table.Only(kHost, path);
    return only && only->service == service &&
           only->software_version == software;
  }
};

TEST(StreamOrigins, OneRecordProvesNothing) {
  CHECK_FALSE(this->table.Only(kHost, "/a/1").has_value());
  this->Record(Origin("/a/", "app", "v1"));
  CHECK_TRUE(this->IsOnly("/a/1", "app", "v1"));
  CHECK_FALSE(this->table.Only(kHost, "/b/1").has_value());
  CHECK_FALSE(this->table.Only("other.example", "/a/1").has_value());
}

TEST(StreamOrigins, AnotherVersionOrServiceIsOverlooked) {
  for (const StreamOrigin& other :
       {Origin("/a/", "app", "v2"), Origin("/a/", "other", "v1"),
        Origin("/a/", "app", "")}) {
    this->table.Reset();
    this->Record(Origin("/a/", "app", "v1"));
    this->Record(other);
    CHECK_FALSE(this->table.Only(kHost, "/a/1").has_value());
    this->table.OnRemoved(other);
    CHECK_TRUE(this->IsOnly("/a/1", "app", "v1"));
  }
}

TEST(StreamOrigins, AnEarlierOrNarrowerRouteOfThePathIsOverlooked) {
  this->Record(Origin("/a/", "app", "v1"));
  this->Record(Origin("/a/b/", "other", "v1"));
  CHECK_FALSE(this->table.Only(kHost, "/a/b/1").has_value());
  CHECK_TRUE(this->IsOnly("/a/1", "app", "v1"));
  // A route's own streams may have begun at either.
  CHECK_FALSE(this->table.Only(kHost, "/a/").has_value());
}

TEST(StreamOrigins, TwoRoutesToTheSameServersCountAsTwoOrigins) {
  this->Record(Origin("/a/", "app", "v1"));
  this->Record(Origin("/a/b/", "app", "v1"));
  CHECK_TRUE(this->IsOnly("/a/b/1", "app", "v1"));
}

TEST(StreamOrigins, AnOriginThatIsPresentButNotRecordedIsOverlooked) {
  this->Record(Origin("/a/", "app", "v1"));
  this->table.SetPresent(
      {Origin("/a/", "app", "v1"), Origin("/a/", "app", "v2")}, this->now);
  CHECK_FALSE(this->table.Only(kHost, "/a/1").has_value());
  LONGS_EQUAL(1, this->table.Unrecorded().size());
  STRCMP_EQUAL("v2", this->table.Unrecorded()[0].software_version.c_str());
}

TEST(StreamOrigins, ServersWithoutAVersionProveOne) {
  this->Record(Origin("/a/", "app", ""));
  CHECK_FALSE(this->table.Only(kHost, "/a/1").has_value());
}

TEST(StreamOrigins, RecordsAreRemovedWhileStreamsOfThemCanBeResumed) {
  const StreamOrigin v1 = Origin("/a/", "app", "v1");
  this->Record(v1);
  this->table.SetPresent({v1}, this->now);
  // It may have been present until then.
  const MonotonicTime gone = this->now + Milliseconds(500);
  this->table.SetPresent({}, gone);
  CHECK_TRUE(this->table.Unused(gone + kRetention - Milliseconds(1), kRetention)
                 .empty());
  LONGS_EQUAL(1, this->table.Unused(gone + kRetention, kRetention).size());
  this->table.SetPresent({v1}, this->now + kRetention);
  CHECK_TRUE(
      this->table.Unused(this->now + 2 * kRetention, kRetention).empty());
}

TEST(StreamOrigins, OnlyRoutesOfStreamsAndTheirServicesHaveNoOrigins) {
  HostRoute stream;
  stream.host = kHost;
  stream.path_prefix = "/a/";
  stream.streaming = true;
  stream.services = {{"app", 1}, {"other", 1}};
  HostRoute plain = stream;
  plain.path_prefix = "/p/";
  plain.streaming = false;
  FleetServer first;
  first.service = "app";
  first.software_version = "v1";
  FleetServer second = first;
  second.software_version = "v2";
  second.draining = true;
  FleetServer unrelated = first;
  unrelated.service = "llm";
  const FleetServer* const servers[] = {&first, &second, &unrelated};
  const std::set<StreamOrigin> origins =
      OriginsOf(HostRoutes({stream, plain}), servers);
  CHECK_TRUE(origins == (std::set<StreamOrigin>{Origin("/a/", "app", "v1"),
                                                Origin("/a/", "app", "v2")}));
}

}  // namespace carobbank
