// Tests of the watched subsets. They guard against servers with too few
// watchers or none in their own data center, entries that watch far too many
// servers, and a new entry or server that changes many assignments.

#include "LibMembership/membership.h"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kDataCenters = 9;

// Instances spread evenly over the data centers.
struct Fleet {
  std::vector<std::string> ids;
  std::vector<std::string> data_centers;
  std::vector<InstanceLocation> locations;

  Fleet(const std::string& prefix, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->ids.push_back(prefix + std::to_string(index));
      this->data_centers.push_back("dc-" +
                                   std::to_string(index % kDataCenters));
    }
    for (std::size_t index = 0; index < count; ++index) {
      this->locations.push_back({this->ids[index], this->data_centers[index]});
    }
  }
};

using Watched = std::set<std::string_view>;

Watched WatchedBy(std::string_view self,
                  std::span<const InstanceLocation> entries,
                  std::span<const InstanceLocation> servers) {
  Watched ids;
  for (std::size_t index : ChooseWatched({}, self, entries, servers)) {
    ids.insert(servers[index].id);
  }
  return ids;
}

std::size_t Differing(const Watched& left, const Watched& right) {
  std::vector<std::string_view> difference;
  std::set_symmetric_difference(left.begin(), left.end(), right.begin(),
                                right.end(), std::back_inserter(difference));
  return difference.size();
}

}  // namespace

TEST_GROUP(WatchedSubset){};

TEST(WatchedSubset, EveryServerHasItsWatchersAndHalfAreLocal) {
  const Fleet entries("entry-", 45);
  const Fleet servers("server-", 900);
  std::vector<std::size_t> watchers(servers.ids.size());
  std::vector<std::size_t> local_watchers(servers.ids.size());
  std::size_t largest = 0;
  for (const InstanceLocation& entry : entries.locations) {
    const auto watched =
        ChooseWatched({}, entry.id, entries.locations, servers.locations);
    largest = std::max(largest, watched.size());
    for (std::size_t index : watched) {
      ++watchers[index];
      local_watchers[index] +=
          servers.data_centers[index] == entry.data_center ? 1 : 0;
    }
  }
  const std::size_t expected = WatchersPerServer({}, 45, 900);
  LONGS_EQUAL(4, expected);
  for (std::size_t index = 0; index < watchers.size(); ++index) {
    LONGS_EQUAL(expected, watchers[index]);
    CHECK_TRUE(local_watchers[index] >= 2);
  }
  // The mean is 80 per entry.
  CHECK_TRUE(largest <= 120);
}

TEST(WatchedSubset, FewEntriesWatchAllServers) {
  const Fleet entries("entry-", 3);
  const Fleet servers("server-", 20);
  for (const InstanceLocation& entry : entries.locations) {
    LONGS_EQUAL(
        20, ChooseWatched({}, entry.id, entries.locations, servers.locations)
                .size());
  }
  LONGS_EQUAL(
      0, ChooseWatched({}, "unlisted", entries.locations, servers.locations)
             .size());
}

TEST(WatchedSubset, DataCenterWithoutEntriesIsWatchedFromOthers) {
  const Fleet entries("entry-", 6);
  const Fleet servers("server-", 180);
  std::vector<std::size_t> watchers(servers.ids.size());
  for (const InstanceLocation& entry : entries.locations) {
    for (std::size_t index :
         ChooseWatched({}, entry.id, entries.locations, servers.locations)) {
      ++watchers[index];
    }
  }
  for (std::size_t count : watchers) {
    LONGS_EQUAL(WatchersPerServer({}, 6, 180), count);
  }
}

TEST(WatchedSubset, OneMoreEntryOrServerChangesFewAssignments) {
  const Fleet entries("entry-", 45);
  const Fleet servers("server-", 900);
  const std::span<const InstanceLocation> all_entries = entries.locations;
  const std::span<const InstanceLocation> all_servers = servers.locations;
  std::size_t total = 0;
  std::size_t moved_by_entry = 0;
  std::size_t moved_by_server = 0;
  for (const InstanceLocation& entry : all_entries.first(44)) {
    const Watched now = WatchedBy(entry.id, all_entries, all_servers);
    total += now.size();
    moved_by_entry +=
        Differing(now, WatchedBy(entry.id, all_entries.first(44), all_servers));
    moved_by_server += Differing(
        now, WatchedBy(entry.id, all_entries, all_servers.first(899)));
  }
  // The new entry takes over one part in 45 of the links from the others, and a
  // server's watchers change only by the one that the new entry displaced.
  CHECK_TRUE(moved_by_entry <= total / 45 * 3 / 2);
  CHECK_TRUE(moved_by_server <= WatchersPerServer({}, 45, 900));
}

TEST(WatchedSubset, RendezvousTopMovesOnlyNamesOfTheRemovedCandidate) {
  const std::vector<std::string_view> four = {"e1", "e2", "e3", "e4"};
  const std::vector<std::string_view> three = {"e1", "e2", "e4"};
  std::size_t from_e3 = 0;
  for (int name = 0; name < 200; ++name) {
    const std::string text = "stream-" + std::to_string(name);
    const auto before = RendezvousTop(text, four, 1);
    const auto after = RendezvousTop(text, three, 1);
    from_e3 += before[0] == "e3" ? 1 : 0;
    CHECK_TRUE(before[0] == "e3" || before == after);
  }
  CHECK_TRUE(from_e3 > 25 && from_e3 < 80);
  LONGS_EQUAL(4, RendezvousTop("x", four, 9).size());
}

}  // namespace carobbank
