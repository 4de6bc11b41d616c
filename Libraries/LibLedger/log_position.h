// The position of an entry in its stream. Folds use it to decide which entry is
// first.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct LogPosition {
  // Offset of the record within the stream.
  std::uint64_t offset = 0;
  // Index of the entry within the record's `entries`.
  std::uint32_t index = 0;

  auto operator<=>(const LogPosition&) const = default;
  // "<offset>.<index>"
  std::string Text() const;
  // Fails with kInvalidArgument on any other form.
  static Result<LogPosition> Parse(std::string_view text);
};

// One record as the log service returns it.
struct StreamRecord {
  std::uint64_t offset = 0;
  // When the log service appended the record; folds assume that the time never
  // decreases along a stream.
  WallMilliseconds time_ms = 0;
  std::string_view payload;
};

template <typename Entry>
struct PositionedEntry {
  LogPosition position;
  WallMilliseconds time_ms = 0;
  Entry entry;
};

// The entries of one record. A malformed payload has no entries and `skipped`
// 1. A malformed entry is skipped; the indexes of the others don't change.
template <typename Entry>
struct DecodedRecord {
  std::vector<PositionedEntry<Entry>> entries;
  std::size_t skipped = 0;
};

}  // namespace carobbank
