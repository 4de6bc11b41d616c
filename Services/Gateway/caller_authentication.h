// Authenticates callers' requests by the keys of the configuration's
// workspaces. Without workspaces in the configuration every request is accepted
// and left as it is.

#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "caller.h"
#include "gateway_environment.h"

namespace carobbank {

struct Authentication {
  Caller caller;
  // The response to the caller, unless the request is accepted.
  std::optional<HttpResponse> refusal;
};

// The response to a request that needs a known key: 401, or 503 to a caller
// whose key may be newer than this gateway's configuration.
HttpResponse KeyRequiredResponse(const Caller& caller,
                                 const WireHeaderNames& names);

class CallerAuthentication {
 public:
  // `configuration_is_current`: whether this gateway knows every key that the
  // operator had published a few seconds ago.
  CallerAuthentication(GatewayEnvironment& environment,
                       std::function<bool()> configuration_is_current);

  // Both need a configuration. With workspaces they remove the key, and the
  // workspace that the caller stated, from `headers`.
  Authentication ForRoute(const HostRoute& route, HttpHeaders& headers) const;
  // A job call without a known key is accepted where the configuration has
  // public jobs: the job's owner decides.
  Authentication ForJobCall(HttpHeaders& headers) const;

  // Counts a request that was refused because there is no configuration.
  void CountWithoutConfiguration() const { this->Count("no_configuration"); }

 private:
  Caller Identify(const Workspaces& workspaces, HttpHeaders& headers) const;
  // An accepted caller, or one without a key who may (not) go on.
  Authentication Decide(Caller caller,
                        bool needs_key,
                        std::string_view outcome_without_key) const;
  void Count(std::string_view outcome) const;

  GatewayEnvironment& environment;
  std::function<bool()> configuration_is_current;
};

// The priority of a caller's requests on the route.
std::int64_t PriorityOf(const TrafficConfiguration& configuration,
                        const HostRoute& route,
                        std::string_view workspace);

}  // namespace carobbank
