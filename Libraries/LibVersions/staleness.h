// The staleness bound: which versions may contribute to a sample.
//
// A step names version N and its service states a bound B. Allowed is every
// version from N - B on: the bound limits age, and a newer version is not older
// than the named one. A service that wants exactly the versions [N - B, N] says
// so with NewerVersions::kRefuse; its samples then restart at every weight
// change. The range depends on the step alone, so that a sample once valid
// stays valid.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

enum class NewerVersions { kAllow, kRefuse };

struct StalenessRule {
  // Versions before the named one that are still fresh enough.
  std::uint64_t bound = 1;
  NewerVersions newer = NewerVersions::kAllow;
};

// Both ends inclusive.
struct AllowedVersions {
  std::uint64_t oldest = 0;
  std::uint64_t newest = UINT64_MAX;

  bool operator==(const AllowedVersions&) const = default;

  bool Contains(std::uint64_t version) const {
    return version >= this->oldest && version <= this->newest;
  }
  // Whether an engine that never goes back can still come into the range.
  bool IsPast(std::uint64_t version) const { return version > this->newest; }

  // "<oldest>-<newest>"; an open side is empty.
  std::string Text() const;
  // An empty text allows everything. Fails with kInvalidArgument.
  static Result<AllowedVersions> Parse(std::string_view text);
};

AllowedVersions AllowedFor(std::uint64_t named_version, StalenessRule rule);

}  // namespace carobbank
