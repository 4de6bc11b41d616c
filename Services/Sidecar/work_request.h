// A request as an entry sent it: its metadata, and the HTTP request to forward
// to the backend server.

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
  // Time of receipt, and when the request's time budget runs out. Time during
  // which this process is suspended counts, because the monotonic clock
  // continues.
  MonotonicTime received;
  MonotonicTime deadline = MonotonicTime::max();
  // The caller's deadline, which detects a request that expired before it
  // arrived; 0 means none.
  WallMilliseconds wall_deadline_ms = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t expected_tokens = 0;
  std::optional<Milliseconds> slack;
  // Runs only with no other request on the server.
  bool exclusive = false;
  // Starts only if a concurrency slot is free on receipt.
  bool duplicate = false;
  std::int64_t configuration_offset = -1;
  // The response is a stream of server-sent events from a model engine.
  bool streamed = false;
  // Number of tokens of a partial response that the engine resumes after.
  std::uint64_t resumed_tokens = 0;
  // The HTTP request without the headers for the sidecar.
  HttpRequest forward;

  bool ExpiredAt(MonotonicTime now, WallMilliseconds wall_now) const {
    const bool late =
        this->wall_deadline_ms != 0 && wall_now >= this->wall_deadline_ms;
    return late || now >= this->deadline;
  }
};

// Fails with kInvalidArgument that names the header. `is_engine`: also reads
// the length and form of a completion from the body.
Result<WorkRequest> ParseWorkRequest(HttpRequest request,
                                     const Clock& clock,
                                     bool is_engine);

}  // namespace carobbank
