// Decides which server a response marks as leaving.

#include "leaving_servers.h"

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kMisdirected = 421;

}  // namespace

void ObserveLeavingServer(GatewayEnvironment& environment,
                          const ExpectedServer& expected,
                          int status,
                          const HttpHeaders& headers) {
  const WireHeaderNames& names = environment.dialect.HeaderNames();
  if (!FindHeader(headers, names.leaving)) {
    return;
  }
  const auto sender = FindHeader(headers, names.server_id);
  const bool is_expected =
      sender ? *sender == expected.id : status != kMisdirected;
  if (!is_expected && !sender) {
    return;
  }
  const FleetServer* const server =
      environment.fleet.Find(is_expected ? expected.id : *sender);
  if (server == nullptr) {
    return;
  }
  const WallMilliseconds started_at =
      is_expected ? expected.started_at : server->started_at;
  if (environment.fleet.MarkLeaving(server->id, started_at)) {
    ReportLeavingServer(environment, *server, "response");
  }
}

void ReportLeavingServer(GatewayEnvironment& environment,
                         const FleetServer& server,
                         std::string_view source) {
  WriteLog(LogLevel::kInfo, "backend server leaves; it gets no new work",
           {{"server", server.id},
            {"service", server.service},
            {"server_started_at", std::to_string(server.started_at)},
            {"source", std::string(source)}});
  environment.metrics
      .GetCounter(metrics::kLeavingServers, {{"service", server.service},
                                             {"source", std::string(source)}})
      .Add();
}

}  // namespace carobbank
