// The labels of one sample: which weight version generated which tokens.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "LibVersions/staleness.h"

namespace carobbank {

// Tokens [from, to) came from `version`; nothing when the engine did not vouch
// for them.
struct VersionSpan {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::optional<std::uint64_t> version;

  bool operator==(const VersionSpan&) const = default;
};

enum class SpanVerdict {
  kCommittable,
  // A token without a span, or with two.
  kGap,
  kOverlap,
  kUnknownVersion,
  kTooOld,
  kTooNew,
};

std::string_view SpanVerdictName(SpanVerdict verdict);

class VersionSpans {
 public:
  // Takes the next report of a stream. Anything but kCommittable leaves the
  // spans unchanged, and the sample can't become committable any more. An
  // unknown version is recorded as such.
  SpanVerdict Append(std::uint64_t from,
                     std::uint64_t to,
                     std::optional<std::uint64_t> version);

  // Tokens covered: the spans cover [0, Tokens()).
  std::uint64_t Tokens() const;
  std::span<const VersionSpan> Spans() const { return this->spans; }

 private:
  // Invariant: adjoining, not empty, and neighbours differ in version.
  std::vector<VersionSpan> spans;
};

// The decision at commit: spans in order cover [0, tokens) exactly once, each
// with a known version within `allowed`.
SpanVerdict JudgeSample(std::span<const VersionSpan> spans,
                        std::uint64_t tokens,
                        const AllowedVersions& allowed);

}  // namespace carobbank
