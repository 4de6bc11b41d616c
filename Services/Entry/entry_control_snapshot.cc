// Lookups in a control snapshot.

#include "entry_control_snapshot.h"

#include <algorithm>

namespace carobbank {

std::uint64_t EntryControlSnapshot::NewestVersion(
    std::string_view model) const {
  const auto found =
      std::ranges::find(this->versions, model, &ModelVersion::model);
  return found == this->versions.end() ? 0 : found->newest;
}

const KnownEntry* EntryControlSnapshot::FindEntry(
    std::string_view instance) const {
  const auto found =
      std::ranges::find(this->entries, instance, &KnownEntry::instance);
  return found == this->entries.end() ? nullptr : &*found;
}

}  // namespace carobbank
