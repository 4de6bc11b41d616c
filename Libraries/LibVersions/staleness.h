// The staleness bound: which weight versions may generate the tokens of a
// sample.
//
// A step requests version N and its service sets a bound B. Every version from
// N - B on is allowed: the bound limits age, and a newer version is not older
// than the requested one. A service that needs exactly the versions [N - B, N]
// sets NewerVersions::kRefuse; its samples then restart at every weight update.
// The range depends only on the step, so a valid sample stays valid.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

enum class NewerVersions { kAllow, kRefuse };

struct StalenessRule {
  // Number of versions before the requested one that are still allowed.
  std::uint64_t max_age_versions = 1;
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
  // Whether the version is too new, so that an engine whose version only
  // increases can no longer reach the range.
  bool IsTooNew(std::uint64_t version) const { return version > this->newest; }

  // "<oldest>-<newest>"; an open side is empty.
  std::string Text() const;
  // An empty text allows every version. Fails with kInvalidArgument.
  static Result<AllowedVersions> Parse(std::string_view text);
};

AllowedVersions AllowedFor(std::uint64_t named_version, StalenessRule rule);

}  // namespace carobbank
