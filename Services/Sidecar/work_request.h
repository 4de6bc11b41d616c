// One piece of work as an entry sent it: its labels, and the request that the
// backend server shall see.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibHTTP/http.h"
#include "LibVersions/versions.h"

namespace carobbank {

struct WorkRequest {
  std::string service;
  std::string request_id;
  std::string attempt_id;
  std::string sample_id;
  std::string digest;
  AllowedVersions versions;
  // Receipt, and when the budget that came with the work is used up. Pauses of
  // this process count: the monotonic clock goes on.
  MonotonicTime received;
  MonotonicTime deadline = MonotonicTime::max();
  // The caller's own deadline, for work that was late before it arrived; 0
  // means none.
  WallMilliseconds wall_deadline_ms = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t expected_tokens = 0;
  std::optional<Milliseconds> slack;
  // Runs with nothing else at risk.
  bool exclusive = false;
  // Starts only where a place is free at once.
  bool duplicate = false;
  std::int64_t configuration_offset = -1;
  // The answer is a stream of server-sent events from a model engine.
  bool streamed = false;
  // Tokens of a partial answer that the engine goes on from.
  std::uint64_t resumed_tokens = 0;
  // Without the headers that were meant for the sidecar.
  HttpRequest forward;

  bool ExpiredAt(MonotonicTime now, WallMilliseconds wall_now) const {
    const bool late =
        this->wall_deadline_ms != 0 && wall_now >= this->wall_deadline_ms;
    return late || now >= this->deadline;
  }
};

// Fails with kInvalidArgument that names the header. `is_engine`: the body of a
// completion is read for its length and shape.
Result<WorkRequest> ParseWorkRequest(HttpRequest request,
                                     const Clock& clock,
                                     bool is_engine);

}  // namespace carobbank
