// The start of a server that answers an attempt of a stream. A server may be
// back under its id at another version of its software, and its entry shows
// that with a delay, so the start is known only once the entry, or a report, is
// newer than the connection that carries the answer.

#pragma once

#include <string>

#include "gateway_environment.h"

namespace carobbank {

struct StreamServer {
  std::string id;
  // As its entry said when the attempt was sent; zero where each start has an
  // id of its own.
  WallMilliseconds started_at = 0;
  std::string software_version;
  // When the connection of the attempt was established; see Clock::BootNow().
  MonotonicTime connected_at{};
  // When the head of the answer arrived.
  WallMilliseconds answered_at = 0;
};

enum class StreamServerStart {
  // The start that its entry named has answered.
  kConfirmed,
  // The entry may lag behind a restart.
  kUnconfirmed,
  // The entry was removed, or shows a start after the answer; which start has
  // answered can't be found out any more.
  kGone,
  // Another start may have answered, whose entry has arrived since.
  kRefuted,
};

StreamServerStart StartOf(const ServerFleet& fleet, const StreamServer& server);

}  // namespace carobbank
