// Compares a server's new entry with the one before.

#include "server_restarts.h"

#include "LibProcess/process.h"

namespace carobbank {

void ObserveRestart(GatewayEnvironment& environment,
                    const FleetServer& server) {
  const FleetServer* const before = environment.fleet.Find(server.id);
  if (before == nullptr || before->started_at == server.started_at) {
    return;
  }
  WriteLog(LogLevel::kInfo, "backend server restarted",
           {{"server", server.id},
            {"service", server.service},
            {"started_at_before", std::to_string(before->started_at)},
            {"started_at", std::to_string(server.started_at)}});
  environment.loads.OnRestarted(server.id);
}

}  // namespace carobbank
