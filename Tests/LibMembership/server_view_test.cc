// Tests of the join between the lagging list and direct evidence, as a table
// of histories.

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

TEST(ServerView, EvidenceDecidesTheStatus) {
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
      {"draining refusal, list still says live",
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
      {"replacement met before the list says so",
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
      {"unreachable, then answers",
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
      {"sidecar answers, backend server does not",
       [](ServerView& v) {
         v.OnHeartbeat("a", {1, false, false});
       },
       MemberStatus::kCrashed},
      {"unlisted though it answers",
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

TEST(ServerView, OnlyThoseThatTakeWorkAreEligible) {
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

TEST(ServerView, GenerationMovesOnlyWithChanges) {
  const std::uint64_t before = view.ChangeCount();
  List(view, 11, {Server("a"), Server("b")});
  view.OnHeartbeat("a", {1, false, true});
  CHECK_TRUE(view.ChangeCount() == before);
  view.OnUnreachable("a");
  CHECK_TRUE(view.ChangeCount() > before);
}

TEST(ServerView, RegionCutOffKeepsItsServersUntilTheyAnswerAgain) {
  // The other region's servers fall silent while the list is not to be had:
  // the last listing stays, only the unreachable ones are out.
  view.OnUnreachable("a");
  LONGS_EQUAL(1, view.Eligible("policy-llm").size());
  // The list's side of the cut still lists all of them.
  List(view, 11, {Server("a"), Server("b")});
  LONGS_EQUAL(1, view.Eligible("policy-llm").size());
  // After the cut one answers, the other was replaced meanwhile.
  view.OnHeartbeat("a", {1, false, true});
  List(view, 12, {Server("a"), Server("b", 2)});
  view.OnHeartbeat("b", {1, true, true});
  LONGS_EQUAL(2, view.Eligible("policy-llm").size());
}

TEST(ServerView, UnlistedServersAreForgottenInTheEnd) {
  for (std::uint64_t version = 11; version <= 111; ++version) {
    List(view, version, {Server("b")});
  }
  CHECK_TRUE(view.Find("a") == nullptr);
  LONGS_EQUAL(1, view.All().size());
}

}  // namespace carobbank
