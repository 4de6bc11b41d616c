// Workspaces, the parties whose keys callers use, and the lookup of a caller's
// key. Keys are kept as digests only. Pure.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct Workspace {
  std::string name;
  // 0 is the most urgent. Takes precedence over the priority of a route.
  std::optional<std::int64_t> priority;
};

// A workspace as the configuration lists it.
struct WorkspaceEntry {
  Workspace workspace;
  // See DigestOfKey().
  std::vector<std::string> key_digests;
};

// The first fault of a list of workspaces.
struct WorkspaceFault {
  enum class Kind {
    kEmptyName,
    // The name can't be the value of a header field.
    kInvalidName,
    kRepeatedName,
    kInvalidDigest,
    // Another workspace has the key, too.
    kSharedKey,
  };
  Kind kind = Kind::kEmptyName;
  // Index of the workspace in the list, and for faults of a key the index of
  // its digest.
  std::size_t workspace = 0;
  std::size_t key = 0;
};

// 64 hexadecimal digits.
std::string DigestOfKey(std::string_view key);

class Workspaces {
 public:
  // Without workspaces: no key is known.
  Workspaces() = default;
  // A digest that one workspace lists twice is kept once.
  static std::variant<Workspaces, WorkspaceFault> Create(
      std::vector<WorkspaceEntry> entries);

  // The workspace of a key that a caller presented, or null. Keys that are
  // empty, have a control character or are longer than kMaxKeyBytes are
  // unknown.
  const Workspace* FindByKey(std::string_view key) const;
  const Workspace* FindByName(std::string_view name) const;
  std::size_t Size() const { return this->workspaces.size(); }

  static constexpr std::size_t kMaxKeyBytes = 4'096;

 private:
  static constexpr std::size_t kDigestDigits = 64;
  // Without the overhead of a string: a site may have tens of thousands of
  // keys.
  struct Key {
    std::array<char, kDigestDigits> digest;
    std::uint32_t workspace = 0;
    std::uint32_t position = 0;

    std::string_view Digest() const {
      return {this->digest.data(), this->digest.size()};
    }
  };

  std::optional<WorkspaceFault> AddWorkspace(WorkspaceEntry entry);
  std::optional<WorkspaceFault> SortKeys();

  std::vector<Workspace> workspaces;
  std::map<std::string, std::size_t, std::less<>> index_by_name;
  // Ascending by digest, each digest once.
  std::vector<Key> keys;
};

}  // namespace carobbank
