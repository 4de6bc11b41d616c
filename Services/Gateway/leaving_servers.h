// What responses say about the servers that sent them: a server that leaves
// gets no new work from this gateway, whatever its entry in the registry says.

#pragma once

#include <string_view>

#include "gateway_environment.h"

namespace carobbank {

// A request to a server.
struct RequestToServer {
  std::string_view server_id;
  WallMilliseconds sent_at = 0;
};

// Marks the server that sent the response if it says that it leaves. A response
// with status 421 comes from another server than the one of the request.
void ObserveLeavingServer(GatewayEnvironment& environment,
                          const RequestToServer& request,
                          int status,
                          const HttpHeaders& headers);

// Logs and counts that a server leaves. `source`: "response" or "entry".
void ReportLeavingServer(GatewayEnvironment& environment,
                         const FleetServer& server,
                         std::string_view source);

}  // namespace carobbank
