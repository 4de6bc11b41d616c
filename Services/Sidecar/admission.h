// Decides on receipt whether a request may enter the queue. Every refusal
// guarantees that the request did not run, because nothing was sent yet.

#pragma once

#include <optional>

#include "Sidecar/sidecar_control_snapshot.h"
#include "Sidecar/work_request.h"

namespace carobbank {

struct AdmissionContext {
  MonotonicTime now;
  WallMilliseconds wall_now = 0;
  bool is_engine = true;
  // SIGTERM was received.
  bool terminating = false;
  // No request is running or queued.
  bool idle = true;
  // A concurrency slot is free and no request is queued.
  bool has_free_slot = true;
  // A request with this digest ran when this backend server crashed.
  bool suspect = false;
  // Estimated queue time of the request's class.
  Milliseconds retry_after{1'000};
};

// The refusal, or nothing when the request may be queued.
std::optional<Problem> CheckAdmission(const WorkRequest& work,
                                      const SidecarControlSnapshot& snapshot,
                                      const AdmissionContext& context);

// Whether the engine's reported version allows the request to start now.
bool VersionAllows(const WorkRequest& work,
                   const SidecarControlSnapshot& snapshot);

}  // namespace carobbank
