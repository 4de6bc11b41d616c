// Checks of a list of workspaces, and lookup by a key's digest.

#include "LibRouting/workspaces.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobbank {

namespace {

bool IsControl(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return byte < kFirstPrintable || byte == kDelete;
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), &IsControl);
}

// Receivers of a header field remove spaces around its value (RFC 9110, section
// 5.5).
bool IsFieldValue(std::string_view text) {
  return !HasControl(text) && !text.starts_with(' ') && !text.ends_with(' ');
}

}  // namespace

std::string DigestOfKey(std::string_view key) {
  return Sha256Hex(key);
}

std::variant<Workspaces, WorkspaceFault> Workspaces::Create(
    std::vector<WorkspaceEntry> entries) {
  Workspaces created;
  for (WorkspaceEntry& entry : entries) {
    if (const auto fault = created.AddWorkspace(std::move(entry))) {
      return *fault;
    }
  }
  if (const auto fault = created.SortKeys()) {
    return *fault;
  }
  return created;
}

std::optional<WorkspaceFault> Workspaces::AddWorkspace(WorkspaceEntry entry) {
  const std::size_t index = this->workspaces.size();
  const std::string& name = entry.workspace.name;
  if (name.empty()) {
    return WorkspaceFault{WorkspaceFault::Kind::kEmptyName, index};
  }
  if (!IsFieldValue(name)) {
    return WorkspaceFault{WorkspaceFault::Kind::kInvalidName, index};
  }
  if (!this->index_by_name.try_emplace(name, index).second) {
    return WorkspaceFault{WorkspaceFault::Kind::kRepeatedName, index};
  }
  for (std::size_t position = 0; position < entry.key_digests.size();
       ++position) {
    const std::string& digest = entry.key_digests[position];
    if (digest.size() != kDigestDigits) {
      return WorkspaceFault{WorkspaceFault::Kind::kInvalidDigest, index,
                            position};
    }
    Key key;
    std::copy(digest.begin(), digest.end(), key.digest.begin());
    key.workspace = static_cast<std::uint32_t>(index);
    key.position = static_cast<std::uint32_t>(position);
    this->keys.push_back(key);
  }
  this->workspaces.push_back(std::move(entry.workspace));
  return std::nullopt;
}

std::optional<WorkspaceFault> Workspaces::SortKeys() {
  std::sort(this->keys.begin(), this->keys.end(),
            [](const Key& left, const Key& right) {
              return std::tie(left.digest, left.workspace, left.position) <
                     std::tie(right.digest, right.workspace, right.position);
            });
  const auto same_digest = [](const Key& left, const Key& right) {
    return left.digest == right.digest;
  };
  const auto shared = std::adjacent_find(
      this->keys.begin(), this->keys.end(),
      [&](const Key& left, const Key& right) {
        return same_digest(left, right) && left.workspace != right.workspace;
      });
  if (shared != this->keys.end()) {
    const Key& second = *std::next(shared);
    return WorkspaceFault{WorkspaceFault::Kind::kSharedKey, second.workspace,
                          second.position};
  }
  this->keys.erase(
      std::unique(this->keys.begin(), this->keys.end(), same_digest),
      this->keys.end());
  this->keys.shrink_to_fit();
  return std::nullopt;
}

const Workspace* Workspaces::FindByKey(std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyBytes || HasControl(key)) {
    return nullptr;
  }
  const std::string digest = DigestOfKey(key);
  // The time of the search depends on the digest, from which no key can be
  // derived.
  const auto found =
      std::lower_bound(this->keys.begin(), this->keys.end(), digest,
                       [](const Key& entry, const std::string& wanted) {
                         return entry.Digest() < wanted;
                       });
  if (found == this->keys.end() ||
      !ConstantTimeEqual(found->Digest(), digest)) {
    return nullptr;
  }
  return &this->workspaces[found->workspace];
}

const Workspace* Workspaces::FindByName(std::string_view name) const {
  const auto found = this->index_by_name.find(name);
  return found == this->index_by_name.end() ? nullptr
                                            : &this->workspaces[found->second];
}

}  // namespace carobbank
