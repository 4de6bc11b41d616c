// Guards against a key that is accepted although no workspace has it, one that
// is refused although a workspace has it, and against ambiguous lists.

#include "LibRouting/workspaces.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

using Fault = WorkspaceFault::Kind;

WorkspaceEntry Entry(const std::string& name,
                     const std::vector<std::string>& keys) {
  WorkspaceEntry entry;
  entry.workspace.name = name;
  for (const std::string& key : keys) {
    entry.key_digests.push_back(DigestOfKey(key));
  }
  return entry;
}

Workspaces MakeWorkspaces(std::vector<WorkspaceEntry> entries) {
  auto created = Workspaces::Create(std::move(entries));
  CHECK_TRUE(std::holds_alternative<Workspaces>(created));
  return std::get<Workspaces>(std::move(created));
}

std::string NameOf(const Workspace* workspace) {
  return workspace == nullptr ? "(none)" : workspace->name;
}

}  // namespace

TEST_GROUP(Workspaces){};

TEST(Workspaces, EveryKeyOfAWorkspaceIsFoundAndNoOther) {
  const Workspaces workspaces = MakeWorkspaces(
      {Entry("a", {"k1", "k2"}), Entry("b", {"k3"}), Entry("c", {})});
  STRCMP_EQUAL("a", NameOf(workspaces.FindByKey("k1")).c_str());
  STRCMP_EQUAL("a", NameOf(workspaces.FindByKey("k2")).c_str());
  STRCMP_EQUAL("b", NameOf(workspaces.FindByKey("k3")).c_str());
  for (const char* unknown : {"k", "k4", "K1", "k1 ", " k1", "a"}) {
    STRCMP_EQUAL("(none)", NameOf(workspaces.FindByKey(unknown)).c_str());
  }
  // The digest of a key is not a key.
  STRCMP_EQUAL("(none)",
               NameOf(workspaces.FindByKey(DigestOfKey("k1"))).c_str());
  STRCMP_EQUAL("c", NameOf(workspaces.FindByName("c")).c_str());
  POINTERS_EQUAL(nullptr, workspaces.FindByName("d"));
}

// These would match if they were looked up like others, because the list has
// them.
TEST(Workspaces, KeysThatNoCallerMayUseAreUnknown) {
  const std::string longest(Workspaces::kMaxKeyBytes, 'x');
  const std::vector<std::string> keys = {
      "",     longest + "x", std::string(1'000'000, 'x'), "a\nb",
      "a\tb", "a\x7f",       std::string("a\0b", 3)};
  const Workspaces workspaces =
      MakeWorkspaces({Entry("a", keys), Entry("b", {longest})});
  for (const std::string& key : keys) {
    POINTERS_EQUAL(nullptr, workspaces.FindByKey(key));
  }
  STRCMP_EQUAL("b", NameOf(workspaces.FindByKey(longest)).c_str());
}

TEST(Workspaces, AnEmptyListKnowsNoKey) {
  POINTERS_EQUAL(nullptr, MakeWorkspaces({}).FindByKey("k1"));
  POINTERS_EQUAL(nullptr, Workspaces().FindByKey("k1"));
}

TEST(Workspaces, TheFirstFaultOfAListIsReportedWithItsPlace) {
  WorkspaceEntry bad_digest = Entry("b", {"k2", "k3"});
  bad_digest.key_digests[1] = "k3";
  const struct {
    std::vector<WorkspaceEntry> entries;
    Fault kind;
    std::size_t workspace;
    std::size_t key;
  } cases[] = {
      {{Entry("a", {}), Entry("", {})}, Fault::kEmptyName, 1, 0},
      {{Entry("a\r\nb", {})}, Fault::kInvalidName, 0, 0},
      {{Entry(" a", {})}, Fault::kInvalidName, 0, 0},
      {{Entry("a", {}), Entry("b", {}), Entry("a", {})},
       Fault::kRepeatedName,
       2,
       0},
      {{Entry("a", {"k1"}), bad_digest}, Fault::kInvalidDigest, 1, 1},
      {{Entry("a", {"k1"}), Entry("b", {"k2", "k1"})}, Fault::kSharedKey, 1, 1},
      {{Entry("a", {"k1", "k2", "k3"}), Entry("b", {}), Entry("c", {"k3"})},
       Fault::kSharedKey,
       2,
       0},
  };
  for (const auto& example : cases) {
    const auto created = Workspaces::Create(example.entries);
    const auto* const fault = std::get_if<WorkspaceFault>(&created);
    CHECK_TRUE(fault != nullptr);
    CHECK_TRUE(fault->kind == example.kind);
    LONGS_EQUAL(example.workspace, fault->workspace);
    LONGS_EQUAL(example.key, fault->key);
  }
}

TEST(Workspaces, AKeyThatOneWorkspaceListsTwiceIsNoFault) {
  const Workspaces workspaces = MakeWorkspaces({Entry("a", {"k1", "k1"})});
  STRCMP_EQUAL("a", NameOf(workspaces.FindByKey("k1")).c_str());
}

// Guards against a list that is checked in quadratic time: 10,000 workspaces
// would take minutes at a small gateway.
TEST(Workspaces, ALargeListIsFoundCompletely) {
  constexpr int kWorkspaces = 10'000;
  std::vector<WorkspaceEntry> entries;
  for (int index = 0; index < kWorkspaces; ++index) {
    const std::string number = std::to_string(index);
    entries.push_back(
        Entry("w" + number, {"first" + number, "second" + number}));
  }
  const Workspaces workspaces = MakeWorkspaces(std::move(entries));
  LONGS_EQUAL(kWorkspaces, workspaces.Size());
  for (int index = 0; index < kWorkspaces; ++index) {
    const std::string number = std::to_string(index);
    CHECK_TRUE(NameOf(workspaces.FindByKey("first" + number)) == "w" + number);
    CHECK_TRUE(NameOf(workspaces.FindByKey("second" + number)) == "w" + number);
  }
}

}  // namespace carobbank
