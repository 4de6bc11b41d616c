// What responses say about the servers that sent them: a server that leaves
// gets no new work from this gateway, whatever its entry in the registry says.

#pragma once

#include <string_view>

#include "gateway_environment.h"

namespace carobbank {

// The server that a response is expected from, as known when the request was
// sent.
struct ExpectedServer {
  std::string_view id;
  WallMilliseconds started_at = 0;
};

// Marks the server that sent the response if it says that it leaves. A response
// with status 421 comes from another server than the expected one.
void ObserveLeavingServer(GatewayEnvironment& environment,
                          const ExpectedServer& expected,
                          int status,
                          const HttpHeaders& headers);

// Logs and counts that a server leaves. `source`: "response" or "entry".
void ReportLeavingServer(GatewayEnvironment& environment,
                         const FleetServer& server,
                         std::string_view source);

}  // namespace carobbank
