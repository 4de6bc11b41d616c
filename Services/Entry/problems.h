// The refusals that an entry itself sends; docs/CALLERS.md lists them.

#pragma once

#include <string>

#include "LibHTTP/http.h"

namespace carobbank {

Problem BadRequest(std::string detail, std::string remedy);
Problem Unauthenticated();
Problem UnknownService(std::string_view service);
// This entry has not read the configuration yet.
Problem StartingProblem();
Problem UnknownPath(std::string_view path);
Problem BodyTooLarge(std::uint64_t limit_bytes);
Problem RequestIdReused();
// `execution`: kMayHaveRun once an entry was passed to the log writer.
Problem LogUnavailable(Execution execution);
Problem OverloadedProblem(const Error& error);
Problem RateLimited(Milliseconds retry_after);
Problem DrainingProblem();
// The request crashed too many backend servers.
Problem QuarantinedProblem(Execution execution);
Problem CursorProblem(const Error& error);
Problem InternalProblem(std::string detail);
Problem ConflictProblem(std::string code,
                        std::string detail,
                        std::string remedy,
                        Execution execution);

}  // namespace carobbank
