// Appends reports to spans, and checks samples at commit.

#include "LibVersions/version_spans.h"

namespace carobbank {

std::string_view SpanVerdictName(SpanVerdict verdict) {
  switch (verdict) {
    case SpanVerdict::kCommittable:
      return "committable";
    case SpanVerdict::kGap:
      return "gap";
    case SpanVerdict::kOverlap:
      return "overlap";
    case SpanVerdict::kUnknownVersion:
      return "unknown_version";
    case SpanVerdict::kTooOld:
      return "too_old";
    case SpanVerdict::kTooNew:
      return "too_new";
  }
  return "unknown_version";
}

SpanVerdict VersionSpans::Append(std::uint64_t from,
                                 std::uint64_t to,
                                 std::optional<std::uint64_t> version) {
  const std::uint64_t expected = this->Tokens();
  if (from > expected) {
    return SpanVerdict::kGap;
  }
  if (from < expected || to < from) {
    return SpanVerdict::kOverlap;
  }
  if (from == to) {
    return SpanVerdict::kCommittable;
  }
  if (!this->spans.empty() && this->spans.back().version == version) {
    this->spans.back().to = to;
  } else {
    this->spans.push_back({from, to, version});
  }
  return SpanVerdict::kCommittable;
}

std::uint64_t VersionSpans::Tokens() const {
  return this->spans.empty() ? 0 : this->spans.back().to;
}

SpanVerdict CheckSampleSpans(std::span<const VersionSpan> spans,
                             std::uint64_t tokens,
                             const AllowedVersions& allowed) {
  std::uint64_t covered = 0;
  for (const VersionSpan& span : spans) {
    if (span.from > covered) {
      return SpanVerdict::kGap;
    }
    if (span.from < covered || span.to <= span.from) {
      return SpanVerdict::kOverlap;
    }
    if (!span.version) {
      return SpanVerdict::kUnknownVersion;
    }
    if (*span.version < allowed.oldest) {
      return SpanVerdict::kTooOld;
    }
    if (*span.version > allowed.newest) {
      return SpanVerdict::kTooNew;
    }
    covered = span.to;
  }
  if (covered != tokens) {
    return covered < tokens ? SpanVerdict::kGap : SpanVerdict::kOverlap;
  }
  return SpanVerdict::kCommittable;
}

}  // namespace carobbank
