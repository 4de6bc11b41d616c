// Tests of the merge of the delayed instance list with direct observations.
// They guard against servers that get work again after they started to leave,
// servers without work although they are available, and updates of an earlier
// incarnation that change a replacement's state.

#include "LibMembership/membership.h"

#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

Instance Server(std::string id,
                std::uint64_t incarnation = 1,
                ListedState state = ListedState::kLive) {
  return {std::move(id), MemberRole::kBackendServer, state,      "gulfport-dc",
          "policy-llm",  "127.0.0.1:9001",           incarnation};
}

void List(ServerView& view, std::uint64_t version, std::vector<Instance> rows) {
  view.ApplyListing(version, rows);
}

MemberStatus StatusOf(const ServerView& view, std::string_view id) {
  return view.Find(id)->status;
}

}  // namespace

TEST_GROUP(ServerView) {
  ServerView view;

  void setup() override {
    List(this->view, 10, {Server("a"), Server("b")});
  }
};

TEST(ServerView, ListingsAndObservationsDecideTheStatus) {
  struct Case {
    const char* what;
    std::function<void(ServerView&)> history;
    MemberStatus status;
  };
  const Case cases[] = {
      {"listed", [](ServerView&) {}, MemberStatus::kLive},
      {"listed leaving",
       [](ServerView& v) {
         List(v, 11, {Server("a", 1, ListedState::kLeaving)});
       },
       MemberStatus::kLeaving},
      {"draining refusal, still listed as live",
       [](ServerView& v) {
         v.OnDraining("a", 1);
         List(v, 11, {Server("a")});
         v.OnHeartbeat("a", {1, false, true});
         v.OnReachable("a");
       },
       MemberStatus::kLeaving},
      {"draining of the predecessor",
       [](ServerView& v) {
         List(v, 11, {Server("a", 2)});
         v.OnDraining("a", 1);
       },
       MemberStatus::kLive},
      {"replaced after leaving",
       [](ServerView& v) {
         v.OnDraining("a", 1);
         List(v, 11, {Server("a", 2)});
       },
       MemberStatus::kLive},
      {"replacement observed before the listing shows it",
       [](ServerView& v) {
         v.OnDraining("a", 1);
         v.OnHeartbeat("a", {2, false, true});
         List(v, 11, {Server("a", 1, ListedState::kLeaving)});
       },
       MemberStatus::kLive},
      {"unreachable",
       [](ServerView& v) {
         v.OnUnreachable("a");
         List(v, 11, {Server("a")});
       },
       MemberStatus::kUnreachable},
      {"unreachable, then responds",
       [](ServerView& v) {
         v.OnUnreachable("a");
         v.OnHeartbeat("a", {1, false, true});
       },
       MemberStatus::kLive},
      {"crashed",
       [](ServerView& v) {
         v.OnCrash("a", 1);
         v.OnReachable("a");
       },
       MemberStatus::kCrashed},
      {"crashed, then serves again",
       [](ServerView& v) {
         v.OnCrash("a", 1);
         v.OnHeartbeat("a", {1, false, true});
       },
       MemberStatus::kLive},
      {"sidecar responds, backend server does not",
       [](ServerView& v) {
         v.OnHeartbeat("a", {1, false, false});
       },
       MemberStatus::kCrashed},
      {"unlisted but responds to heartbeats",
       [](ServerView& v) {
         List(v, 11, {Server("b")});
         v.OnHeartbeat("a", {1, false, true});
       },
       MemberStatus::kUnlisted},
      {"listed again",
       [](ServerView& v) {
         List(v, 11, {Server("b")});
         List(v, 12, {Server("a"), Server("b")});
       },
       MemberStatus::kLive},
      {"listed again after leaving",
       [](ServerView& v) {
         List(v, 11, {Server("a", 1, ListedState::kLeaving)});
         List(v, 12, {Server("b")});
         List(v, 13, {Server("a"), Server("b")});
       },
       MemberStatus::kLeaving},
      {"an older listing arrives late",
       [](ServerView& v) {
         List(v, 11, {Server("a"), Server("b")});
         List(v, 9, {});
       },
       MemberStatus::kLive},
  };
  for (const Case& item : cases) {
    ServerView fresh;
    List(fresh, 10, {Server("a"), Server("b")});
    item.history(fresh);
    CHECK_TRUE_TEXT(StatusOf(fresh, "a") == item.status, item.what);
    CHECK_TRUE_TEXT(StatusOf(fresh, "b") == MemberStatus::kLive ||
                        fresh.Find("b")->status == MemberStatus::kUnlisted,
                    item.what);
  }
}

TEST(ServerView, OnlyServersThatTakeNewWorkAreEligible) {
  Instance entry = Server("entry-1");
  entry.role = MemberRole::kEntry;
  Instance other_pool = Server("c");
  other_pool.pool = "dispatch-app";
  List(view, 11, {Server("a"), Server("b"), entry, other_pool});
  view.OnDraining("a", 1);
  const auto eligible = view.Eligible("policy-llm");
  LONGS_EQUAL(1, eligible.size());
  STRCMP_EQUAL("b", eligible[0]->instance.id.c_str());
  CHECK_TRUE(view.Find("entry-1") == nullptr);
}

TEST(ServerView, ChangeCountGrowsOnlyWithChanges) {
  const std::uint64_t before = view.ChangeCount();
  List(view, 11, {Server("a"), Server("b")});
  view.OnHeartbeat("a", {1, false, true});
  CHECK_TRUE(view.ChangeCount() == before);
  view.OnUnreachable("a");
  CHECK_TRUE(view.ChangeCount() > before);
}

TEST(ServerView, UnreachableRegionKeepsItsServersUntilTheyRespondAgain) {
  // The other region's servers become unresponsive while the list can't be
  // fetched: the last listing stays in use, without the unreachable servers.
  view.OnUnreachable("a");
  LONGS_EQUAL(1, view.Eligible("policy-llm").size());
  // The list, fetched from its side of the network partition, still contains
  // both servers.
  List(view, 11, {Server("a"), Server("b")});
  LONGS_EQUAL(1, view.Eligible("policy-llm").size());
  // After the network partition one server responds; the other one was
  // replaced.
  view.OnHeartbeat("a", {1, false, true});
  List(view, 12, {Server("a"), Server("b", 2)});
  view.OnHeartbeat("b", {1, true, true});
  LONGS_EQUAL(2, view.Eligible("policy-llm").size());
}

TEST(ServerView, UnlistedServersAreRemovedAfterManyListings) {
  for (std::uint64_t version = 11; version <= 111; ++version) {
    List(view, version, {Server("b")});
  }
  CHECK_TRUE(view.Find("a") == nullptr);
  LONGS_EQUAL(1, view.All().size());
}

}  // namespace carobbank
