// Which jobs a caller may use, and what callers learn about the others: a job
// of another workspace seems not to exist.

#pragma once

#include "caller_authentication.h"
#include "gateway_environment.h"

namespace carobbank {

// Makes the job one of the caller's workspace. Removes keys and workspaces from
// the samples' headers, unless the caller is unrestricted; returns their
// number.
std::size_t AssignToCaller(BatchJob& job,
                           const Caller& caller,
                           const WireHeaderNames& names);

// Whether the caller may use the job. `configuration` may be null.
bool MayUse(const Caller& caller,
            const BatchJob& job,
            const TrafficConfiguration* configuration);

// Whether the new job is the accepted one, submitted again, as far as their
// workspaces show. `configuration` may be null.
bool MaySubmitAgain(const BatchJob& job,
                    const BatchJob& accepted,
                    const TrafficConfiguration* configuration);

// The response when there is no such job, or none that the caller may use.
HttpResponse NoSuchJobResponse(const Caller& caller,
                               const WireHeaderNames& names);
// Whether a peer's response with this status to the caller's request is
// NoSuchJobResponse().
bool MeansNoSuchJob(int status, const Caller& caller);

}  // namespace carobbank
