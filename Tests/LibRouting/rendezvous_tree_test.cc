// Rendezvous tree and prefix index, the basis of prefix affinity. Guards
// against uneven or order-dependent assignment of keys, against needless moves
// of keys when a server is removed, and against stale holders in the prefix
// index.

#include "LibRouting/routing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::uint64_t HashOf(std::uint32_t value) {
  return FastHash("server-" + std::to_string(value));
}

RendezvousTree TreeOf(std::uint32_t servers) {
  RendezvousTree tree;
  for (std::uint32_t value = 0; value < servers; ++value) {
    tree.Insert(HashOf(value), value);
  }
  return tree;
}

}  // namespace

TEST_GROUP(RendezvousTree){};

TEST(RendezvousTree, KeysAreSpreadEvenly) {
  const RendezvousTree tree = TreeOf(60);
  std::map<std::uint32_t, int> keys_by_server;
  for (std::uint64_t key = 1; key <= 60000; ++key) {
    ++keys_by_server[tree.Find(FastHash(std::to_string(key)))];
  }
  LONGS_EQUAL(60, keys_by_server.size());
  for (const auto& [server, keys] : keys_by_server) {
    CHECK_TRUE(keys > 800 && keys < 1200);
  }
}

TEST(RendezvousTree, RemovedServerMovesFewOtherKeys) {
  RendezvousTree tree = TreeOf(100);
  std::vector<std::uint32_t> before;
  for (std::uint64_t key = 0; key < 20000; ++key) {
    before.push_back(tree.Find(FastHash(std::to_string(key))));
  }
  tree.Erase(HashOf(17), 17);
  LONGS_EQUAL(99, tree.Size());
  std::size_t moved = 0;
  for (std::uint64_t key = 0; key < 20000; ++key) {
    const std::uint32_t after = tree.Find(FastHash(std::to_string(key)));
    CHECK_TRUE(after != 17);
    moved += after != before[key] && before[key] != 17 ? 1 : 0;
  }
  // Each level above the removed server may move as many keys as one server
  // has.
  CHECK_TRUE(moved < 20000 / 100 * 3);
}

TEST(RendezvousTree, AssignmentDependsOnlyOnTheServers) {
  CHECK_TRUE(rc::check(
      "any history of the same servers gives the same assignment", [] {
        const auto history = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 24));
        RendezvousTree tree;
        std::map<std::uint32_t, bool> present;
        for (std::uint32_t value : history) {
          bool& inserted = present[value];
          inserted ? tree.Erase(HashOf(value), value)
                   : tree.Insert(HashOf(value), value);
          inserted = !inserted;
        }
        RendezvousTree rebuilt;
        std::size_t size = 0;
        for (const auto& [value, inserted] : present) {
          if (inserted) {
            rebuilt.Insert(HashOf(value), value);
            ++size;
          }
        }
        RC_ASSERT(tree.Size() == size);
        for (std::uint64_t key = 0; key < 20; ++key) {
          RC_ASSERT(tree.Find(HashOf(99) * key) ==
                    rebuilt.Find(HashOf(99) * key));
        }
      }));
}

TEST_GROUP(PrefixIndex) {
  PrefixIndex index{3};

  std::string Holders(std::uint64_t prefix) {
    std::string text;
    const PrefixHolders holders = this->index.Holders(prefix);
    for (ServerIndex server : holders.All()) {
      text += std::to_string(server) + " ";
    }
    return text;
  }
};

TEST(PrefixIndex, EventsAndSentRequestsDetermineTheHolders) {
  index.OnSent(4, 10);
  const PrefixEvent stored[] = {{0, true, 10}, {1, true, 11}};
  index.OnEvents(2, 0, stored);
  STRCMP_EQUAL("2 4 ", Holders(10).c_str());
  const PrefixEvent evicted[] = {{1, true, 11}, {2, false, 10}};
  index.OnEvents(2, 0, evicted);
  STRCMP_EQUAL("4 ", Holders(10).c_str());
  STRCMP_EQUAL("2 ", Holders(11).c_str());
  LONGS_EQUAL(3, index.NextSequence(2));
}

TEST(PrefixIndex, EventGapInvalidatesTheHoldersOfThatServer) {
  const PrefixEvent stored[] = {{0, true, 10}};
  index.OnEvents(2, 0, stored);
  index.OnEvents(3, 0, stored);
  const PrefixEvent later[] = {{8, true, 11}};
  index.OnEvents(2, 8, later);
  STRCMP_EQUAL("3 ", Holders(10).c_str());
  STRCMP_EQUAL("2 ", Holders(11).c_str());
  index.Invalidate(3);
  STRCMP_EQUAL("", Holders(10).c_str());
  LONGS_EQUAL(0, index.NextSequence(3));
}

TEST(PrefixIndex, PrefixesAndHoldersAreBounded) {
  for (std::uint64_t prefix = 1; prefix <= 5; ++prefix) {
    index.OnSent(1, prefix);
    index.OnSent(1, 1);
  }
  LONGS_EQUAL(3, index.Size());
  STRCMP_EQUAL("1 ", Holders(1).c_str());
  STRCMP_EQUAL("", Holders(2).c_str());
  for (ServerIndex server = 0; server < 9; ++server) {
    index.OnSent(server, 1);
  }
  STRCMP_EQUAL("8 7 6 5 ", Holders(1).c_str());
}

}  // namespace carobbank
