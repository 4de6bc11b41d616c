// Shared by the handlers of callers' requests. Traffic thread only.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "LibContract/contract.h"
#include "LibTimeline/timeline.h"
#include "entry_control_snapshot.h"
#include "generation.h"
#include "idempotency_key_service.h"
#include "routed_pools.h"
#include "service_limiter.h"
#include "step_service.h"

namespace carobbank {

struct CallEnvironment {
  EventLoop& loop;
  const Clock& clock;
  Random& random;
  const EntrySettings& settings;
  EventTimeline& timeline;
  MetricRegistry& metrics;
  AttemptSender& sender;
  RoutedPools& pools;
  GenerationEnvironment& generation;
  ServiceLimiters& limiters;
  IdempotencyKeyService& keys;
  LogWriter& versions;
  // Returns the service's steps; the first use of a service starts to follow
  // its stream.
  std::function<StepService&(std::string_view service)> steps;
  // Replaced by each new snapshot of the control thread; never null.
  std::shared_ptr<const EntryControlSnapshot>& control;
};

// A service and its authenticated caller.
struct AuthenticatedCall {
  std::shared_ptr<const ServiceInForce> service;
  // Name of the matching row of the document's callers.
  std::string caller;
};

// Checks the bearer token against the service's document, in constant time.
std::variant<AuthenticatedCall, Problem> AuthenticateCall(
    const EntryControlSnapshot& control,
    std::string_view service,
    const HttpHeaders& headers);

// Parses the request's body as a JSON object.
std::variant<Json::Value, Problem> ParseJsonBody(const HttpRequest& request);

// Authenticates, and checks that the service is of the kind that the endpoint
// serves and that the body is within the document's limit. Counts the refusal
// if the service exists and the caller is authenticated.
std::variant<AuthenticatedCall, Problem> ValidateCall(
    CallEnvironment& environment,
    std::string_view service,
    ServiceKind kind,
    const HttpRequest& request);

// The weight versions that may generate the output of a live or background
// call.
VersionRange VersionsOf(const ServiceDocument& document);

RouteClass RouteClassOf(ServiceClass service_class);

// The caller's `X-Request-Id`, or a new id.
std::string RequestIdOf(const HttpRequest& request, Random& random);

// The request's deadline: the caller's `X-Deadline-Ms` from now, at most the
// document's limit.
WallMilliseconds DeadlineOf(const HttpRequest& request,
                            const ServiceDocument& document,
                            WallMilliseconds now_ms);

}  // namespace carobbank
