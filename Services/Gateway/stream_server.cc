// Compares what answered with what is registered.

#include "stream_server.h"

namespace carobbank {

namespace {

// The start of a server is a time of its machine's clock.
constexpr Milliseconds kClockTolerance{1'000};

}  // namespace

StreamServerStart StartOf(const ServerFleet& fleet,
                          const StreamServer& server) {
  if (fleet.IsCertain(server.id, server.started_at, server.connected_at)) {
    return StreamServerStart::kConfirmed;
  }
  const FleetServer* const registered = fleet.Find(server.id);
  if (registered == nullptr) {
    return StreamServerStart::kGone;
  }
  if (registered->started_at == server.started_at) {
    return StreamServerStart::kUnconfirmed;
  }
  return registered->started_at <= server.answered_at + kClockTolerance.count()
             ? StreamServerStart::kRefuted
             : StreamServerStart::kGone;
}

}  // namespace carobbank
