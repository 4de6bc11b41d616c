// Status requests and the starts that their responses name.

#include "server_start_checks.h"

#include <utility>

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr Milliseconds kReportTimeout{500};
// Pause after a report that failed.
constexpr Milliseconds kFailurePause{200};

}  // namespace

ServerStartChecks::ServerStartChecks(GatewayEnvironment& environment,
                                     std::function<void()> on_report)
    : environment(environment), on_report(std::move(on_report)) {}

ServerStartChecks::~ServerStartChecks() {
  *this->alive = false;
}

void ServerStartChecks::Request(const std::string& server_id,
                                WallMilliseconds started_at,
                                MonotonicTime at) {
  const FleetServer* const server = this->environment.fleet.Find(server_id);
  if (server == nullptr || server->started_at != started_at) {
    return;
  }
  Check& check = this->checks[server_id];
  const MonotonicTime now = this->environment.clock.BootNow();
  const bool failed_recently = check.sent_at != MonotonicTime::min() &&
                               check.started_at == 0 &&
                               now - check.sent_at < kFailurePause;
  if (check.in_flight || failed_recently || now < at) {
    return;
  }
  check.in_flight = true;
  HttpClientRequest request = this->environment.dialect.StatusRequest(*server);
  request.timeout = kReportTimeout;
  this->environment.client.Fetch(std::move(request),
                                 [this, kept = this->alive, server_id,
                                  now](const Outcome<HttpResponse>& outcome) {
                                   if (*kept) {
                                     this->OnResponse(server_id, now, outcome);
                                   }
                                 });
}

WallMilliseconds ServerStartChecks::StartOf(
    const Outcome<HttpResponse>& outcome) const {
  if (!outcome.Ok() || outcome.Value().status != kOk) {
    return 0;
  }
  const Outcome<EngineStatus> status =
      this->environment.dialect.DecodeStatus(outcome.Value().body);
  return status.Ok() ? status.Value().started_at : 0;
}

void ServerStartChecks::OnResponse(const std::string& server_id,
                                   MonotonicTime sent_at,
                                   const Outcome<HttpResponse>& outcome) {
  Check& check = this->checks[server_id];
  check.in_flight = false;
  check.sent_at = sent_at;
  check.started_at = this->StartOf(outcome);
  if (check.started_at != 0) {
    // A restarted server knows nothing of its earlier start, so the start was
    // up when the request was sent.
    this->environment.fleet.ConfirmAlive(server_id, check.started_at, sent_at);
  }
  this->environment.metrics
      .GetCounter(metrics::kServerStartChecks,
                  {{"outcome", check.started_at == 0 ? "failed" : "reported"}})
      .Add();
  this->on_report();
}

std::optional<WallMilliseconds> ServerStartChecks::ReportedStart(
    std::string_view server_id,
    MonotonicTime at) const {
  const auto found = this->checks.find(server_id);
  if (found == this->checks.end() || found->second.sent_at < at) {
    return std::nullopt;
  }
  return found->second.started_at;
}

void ServerStartChecks::RemoveUnknown() {
  std::erase_if(this->checks, [this](const auto& entry) {
    return !entry.second.in_flight &&
           this->environment.fleet.Find(entry.first) == nullptr;
  });
}

}  // namespace carobbank
