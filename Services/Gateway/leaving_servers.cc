// Decides which server a response marks as leaving.

#include "leaving_servers.h"

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kMisdirected = 421;

}  // namespace

void ObserveLeavingServer(GatewayEnvironment& environment,
                          const RequestToServer& request,
                          int status,
                          const HttpHeaders& headers) {
  const WireHeaderNames& names = environment.dialect.HeaderNames();
  if (!FindHeader(headers, names.leaving)) {
    return;
  }
  std::optional<std::string_view> sender = FindHeader(headers, names.server_id);
  if (!sender && status != kMisdirected) {
    sender = request.server_id;
  }
  if (sender && environment.fleet.MarkLeaving(*sender, request.sent_at)) {
    ReportLeavingServer(environment, *environment.fleet.Find(*sender),
                        "response");
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
