// The problem responses of a sidecar. Their codes are stable.

#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibVersions/versions.h"

namespace carobbank {

// Refusals: no byte of the request was sent to the backend server.
Problem BadRequestProblem(std::string detail);
Problem UnauthenticatedProblem(std::string detail);
Problem UnknownServiceProblem(std::string_view service);
// The entry routed by a configuration that has not arrived at this server yet.
Problem ConfigurationBehindProblem(std::string_view service);
Problem DrainingProblem();
Problem QueueFullProblem(Milliseconds retry_after);
Problem ShedProblem(Milliseconds retry_after);
Problem DeadlineProblem();
Problem NoVersionProblem(const AllowedVersions& allowed);
Problem QuarantinedProblem();
Problem NotIdleProblem(Milliseconds retry_after);
Problem BackendUnreachableProblem(std::string detail);

// Failures: the request may have run.
Problem PreemptedProblem(Milliseconds retry_after);
Problem VersionOutOfBoundProblem(std::uint64_t version,
                                 const AllowedVersions& allowed);
Problem CrossedAnswerProblem(std::string_view attempt_id);
Problem BackendFailedProblem(std::string detail);
Problem BackendCrashedProblem();
Problem DrainDeadlineProblem();

}  // namespace carobbank
