// The staleness rule, and the text form of a range of versions.

#include "LibVersions/staleness.h"

#include <charconv>

namespace carobbank {

namespace {

// An empty text leaves `value` unchanged.
bool ParseBound(std::string_view text, std::uint64_t& value) {
  if (text.empty()) {
    return true;
  }
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string AllowedVersions::Text() const {
  std::string text;
  if (this->oldest != 0) {
    text += std::to_string(this->oldest);
  }
  text += '-';
  if (this->newest != UINT64_MAX) {
    text += std::to_string(this->newest);
  }
  return text;
}

Result<AllowedVersions> AllowedVersions::Parse(std::string_view text) {
  AllowedVersions range;
  if (text.empty()) {
    return range;
  }
  const std::size_t dash = text.find('-');
  const bool well_formed = dash != std::string_view::npos &&
                           ParseBound(text.substr(0, dash), range.oldest) &&
                           ParseBound(text.substr(dash + 1), range.newest);
  if (!well_formed || range.oldest > range.newest) {
    return Fail(ErrorKind::kInvalidArgument,
                "not a range of versions: " + std::string(text),
                "send <oldest>-<newest>, either side may be empty");
  }
  return range;
}

AllowedVersions AllowedFor(std::uint64_t named_version, StalenessRule rule) {
  AllowedVersions range;
  range.oldest = named_version > rule.max_age_versions
                     ? named_version - rule.max_age_versions
                     : 0;
  if (rule.newer == NewerVersions::kRefuse) {
    range.newest = named_version;
  }
  return range;
}

}  // namespace carobbank
