// The limits that backend servers name in their responses: the requests per
// second that a server takes from all gateways together.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "gateway_environment.h"

namespace carobbank {

struct ServerLimit {
  // Start of the server that named the limit.
  WallMilliseconds server_start = 0;
  double per_second = 0;
  // When a response last named it; suspensions of the machine count.
  MonotonicTime named_at{};
};

// The request that a response belongs to.
struct LimitedRequest {
  std::string_view server_id;
  // Start of the server, as known when the request was sent.
  WallMilliseconds server_start = 0;
  std::string_view request_id;
};

class ServerLimits {
 public:
  explicit ServerLimits(GatewayEnvironment& environment)
      : environment(environment) {}

  // Call with the headers of every response to a request that a server counts.
  // The server's limit is the one that its latest response names, and none when
  // that names none. Ignores responses of other servers, of earlier starts, and
  // to other requests.
  void Observe(const LimitedRequest& request,
               int status,
               const HttpHeaders& headers);
  bool Empty() const { return this->limits.empty(); }
  // Null without a limit. Valid until the next change.
  const ServerLimit* Find(const FleetServer& server) const;
  // Removes the limits of starts of servers that are gone.
  void RemoveEnded();

 private:
  using LimitMap = std::map<std::string, ServerLimit, std::less<>>;

  void Set(const FleetServer& server, double per_second);
  void End(LimitMap::iterator limit, std::string_view reason);
  void UpdateGauge(std::string_view service);

  GatewayEnvironment& environment;
  LimitMap limits;
  // The malformed limit that each server named last, so that one line says so.
  std::map<std::string, std::string, std::less<>> malformed;
};

}  // namespace carobbank
