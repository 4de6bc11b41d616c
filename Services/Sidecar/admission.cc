// The admission checks, from the longest-lasting cause of refusal to the
// shortest.

#include "Sidecar/admission.h"

#include "Sidecar/problems.h"

namespace carobbank {

namespace {

constexpr AllowedVersions kAnyVersion;

std::optional<Problem> CheckService(const WorkRequest& work,
                                    const SidecarControlSnapshot& snapshot) {
  const ConfigurationState* configuration = snapshot.configuration.get();
  if (configuration == nullptr ||
      (configuration->Find(work.service) == nullptr &&
       work.configuration_offset > configuration->offset)) {
    return ConfigurationBehindProblem(work.service);
  }
  const ServiceInForce* service = configuration->Find(work.service);
  if (service == nullptr || service->document.retired) {
    return UnknownServiceProblem(work.service);
  }
  return std::nullopt;
}

}  // namespace

bool VersionAllows(const WorkRequest& work,
                   const SidecarControlSnapshot& snapshot) {
  if (work.versions == kAnyVersion) {
    return true;
  }
  return snapshot.engine && work.versions.Contains(snapshot.engine->version);
}

std::optional<Problem> CheckAdmission(const WorkRequest& work,
                                      const SidecarControlSnapshot& snapshot,
                                      const AdmissionContext& context) {
  if (context.terminating || snapshot.leaving) {
    return DrainingProblem();
  }
  if (auto refusal = CheckService(work, snapshot)) {
    return refusal;
  }
  if (snapshot.quarantine.contains(work.digest)) {
    return QuarantinedProblem();
  }
  if (work.ExpiredAt(context.now, context.wall_now)) {
    return DeadlineProblem();
  }
  if (context.is_engine && !VersionAllows(work, snapshot)) {
    return NoVersionProblem(work.versions);
  }
  if ((work.exclusive || context.suspect) && !context.idle) {
    return NotIdleProblem(context.retry_after);
  }
  if (work.duplicate && !context.has_free_slot) {
    return NotIdleProblem(context.retry_after);
  }
  return std::nullopt;
}

}  // namespace carobbank
