// Whether a piece of work may enter the queue: one decision over what is known
// at its receipt. Every refusal is true, because nothing was sent yet.

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
  // Nothing runs and nothing waits.
  bool idle = true;
  // A place is free and nothing waits.
  bool has_free_slot = true;
  // The digest has crashed this backend server before.
  bool suspect = false;
  // Estimated wait of the work's class.
  Milliseconds retry_after{1'000};
};

// The refusal, or nothing when the work may be queued.
std::optional<Problem> CheckAdmission(const WorkRequest& work,
                                      const SidecarControlSnapshot& snapshot,
                                      const AdmissionContext& context);

// Whether the engine's reported version lets the work begin now.
bool VersionAllows(const WorkRequest& work,
                   const SidecarControlSnapshot& snapshot);

}  // namespace carobbank
