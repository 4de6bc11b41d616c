// A complete request as a gateway sends it to backend servers.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibHTTP/http.h"

namespace carobbank {

struct BackendRequest {
  std::string method;
  // Path and query.
  std::string target;
  // End-to-end fields, with the caller's host and request id.
  HttpHeaders headers;
  std::string body;
  std::string request_id;
  // Sent to the server; empty without a workspace.
  std::string workspace;
  // Equal for all repetitions of the request; see DigestOfRequest() and
  // DigestOfOwedWork().
  std::string digest;
  // A sample or a reward call.
  bool owed = false;
  // Number of the request's trial; zero for none. See RequestQuarantine.
  std::int64_t trial = 0;
  // The request must not run twice, so it needs a connection that the server
  // doesn't close as idle meanwhile.
  bool fresh_connection = false;
  // Time that the server has to run the request. Repetitions of the request
  // must not extend it.
  Milliseconds time_left{0};
  // Limit of this attempt; without one, `time_left`.
  std::optional<Milliseconds> attempt_timeout;
};

}  // namespace carobbank
