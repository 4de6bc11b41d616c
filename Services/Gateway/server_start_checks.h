// Checks by status reports whether servers are still at the start that their
// registry entries name. Entries show a restart under the same id only with the
// next heartbeat; a report shows it at once.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_environment.h"

namespace carobbank {

class ServerStartChecks {
 public:
  // `on_report` is called after each report that arrived or failed.
  ServerStartChecks(GatewayEnvironment& environment,
                    std::function<void()> on_report);
  ~ServerStartChecks();
  ServerStartChecks(const ServerStartChecks&) = delete;
  ServerStartChecks& operator=(const ServerStartChecks&) = delete;

  // Requests a report that shows whether the server is at the start
  // `started_at` at `at` or later. A report of that start confirms it in the
  // fleet. No effect while a request is in flight or soon after a failure.
  void Request(const std::string& server_id,
               WallMilliseconds started_at,
               MonotonicTime at);
  // The start that the latest report named which was requested at `at` or
  // later: 0 if that report failed, nothing without one.
  std::optional<WallMilliseconds> ReportedStart(std::string_view server_id,
                                                MonotonicTime at) const;
  // Forgets servers that the fleet no longer has.
  void RemoveUnknown();

 private:
  struct Check {
    bool in_flight = false;
    // When the latest ended request was sent, and the start that its response
    // named; 0 without a usable response.
    MonotonicTime sent_at = MonotonicTime::min();
    WallMilliseconds started_at = 0;
  };

  void OnResponse(const std::string& server_id,
                  MonotonicTime sent_at,
                  const Outcome<HttpResponse>& outcome);
  WallMilliseconds StartOf(const Outcome<HttpResponse>& outcome) const;

  GatewayEnvironment& environment;
  std::function<void()> on_report;
  std::map<std::string, Check, std::less<>> checks;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
