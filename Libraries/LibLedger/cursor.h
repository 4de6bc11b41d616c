// The place of a trainer within a step's samples, as opaque text.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibLedger/log_position.h"

namespace carobbank {

struct Cursor {
  std::string service;
  std::string request_id;
  // Names the step: the position of its first accept.
  LogPosition accepted_at;
  // A reader that folds the stream from this offset rebuilds the step.
  std::uint64_t start_offset = 0;
  // How many results were handed out before; the next has this number.
  std::uint64_t next = 0;

  bool operator==(const Cursor&) const = default;
  // Characters [0-9A-Za-z.] only; carries a checksum.
  std::string Text() const;
  // Fails with kInvalidArgument: not a cursor, damaged, or of another version.
  static Result<Cursor> Parse(std::string_view text);
};

}  // namespace carobbank
