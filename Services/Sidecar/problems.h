// The refusals and failures that a sidecar gives, by their stable codes.

#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibVersions/versions.h"

namespace carobbank {

// Refusals: no byte of the work went to the backend server.
Problem BadRequestProblem(std::string detail);
Problem UnauthenticatedProblem(std::string detail);
Problem UnknownServiceProblem(std::string_view service);
// The entry goes by a configuration that has not arrived here yet.
Problem ConfigurationBehindProblem(std::string_view service);
Problem DrainingProblem();
Problem QueueFullProblem(Milliseconds retry_after);
Problem ShedProblem(Milliseconds retry_after);
Problem DeadlineProblem();
Problem NoVersionProblem(const AllowedVersions& allowed);
Problem QuarantinedProblem();
Problem NotIdleProblem(Milliseconds retry_after);
Problem BackendUnreachableProblem(std::string detail);

// Failures: the work may have run.
Problem PreemptedProblem(Milliseconds retry_after);
Problem VersionOutOfBoundProblem(std::uint64_t version,
                                 const AllowedVersions& allowed);
Problem CrossedAnswerProblem(std::string_view attempt_id);
Problem BackendFailedProblem(std::string detail);
Problem BackendCrashedProblem();
Problem DrainDeadlineProblem();

}  // namespace carobbank
