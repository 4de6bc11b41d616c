// The position of a trainer within a step's results, as an opaque string.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibLedger/log_position.h"

namespace carobbank {

struct Cursor {
  std::string service;
  std::string request_id;
  // Identifies the step: the position of its first accept.
  LogPosition accepted_at;
  // A reader that folds the stream from this offset rebuilds the step.
  std::uint64_t start_offset = 0;
  // Number of results that earlier pages returned; also the number of the next
  // result.
  std::uint64_t next = 0;

  bool operator==(const Cursor&) const = default;
  // Characters [0-9A-Za-z.] only; includes a checksum.
  std::string Text() const;
  // Fails with kInvalidArgument when the text is no cursor, is damaged or has
  // another version.
  static Result<Cursor> Parse(std::string_view text);
};

}  // namespace carobbank
