// Compares callers with the workspaces of jobs.

#include "job_access.h"

#include "refusals.h"

namespace carobbank {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

}  // namespace

std::size_t AssignToCaller(BatchJob& job,
                           const Caller& caller,
                           const WireHeaderNames& names) {
  job.workspace = caller.workspace;
  if (caller.kind == Caller::Kind::kUnrestricted) {
    return 0;
  }
  std::size_t removed = 0;
  for (JobSample& sample : job.samples) {
    removed +=
        std::erase_if(sample.headers, [&names](const SampleHeader& header) {
          return HeaderNamesEqual(header.name, names.authorization) ||
                 HeaderNamesEqual(header.name, names.workspace);
        });
  }
  return removed;
}

bool MayUse(const Caller& caller,
            const BatchJob& job,
            const TrafficConfiguration* configuration) {
  if (caller.kind == Caller::Kind::kUnrestricted) {
    return true;
  }
  if (!job.workspace.empty()) {
    return caller.workspace == job.workspace;
  }
  if (!caller.HasNoKey()) {
    return true;
  }
  const HostRoute* const route =
      configuration == nullptr ? nullptr
                               : configuration->routes.Find(job.host, job.path);
  return route != nullptr && route->is_public;
}

bool MaySubmitAgain(const BatchJob& job,
                    const BatchJob& accepted,
                    const TrafficConfiguration* configuration) {
  const bool has_workspaces =
      configuration != nullptr && configuration->workspaces.has_value();
  return accepted.workspace.empty() || accepted.workspace == job.workspace ||
         (job.workspace.empty() && !has_workspaces);
}

HttpResponse NoSuchJobResponse(const Caller& caller,
                               const WireHeaderNames& names) {
  if (caller.HasNoKey()) {
    return KeyRequiredResponse(caller, names);
  }
  return ClientErrorResponse(kNotFound, "no_such_job",
                             "no batch job has this id",
                             "check the id, or submit the job");
}

bool MeansNoSuchJob(int status, const Caller& caller) {
  return status == kNotFound ||
         (status == kUnauthorized && caller.kind == Caller::Kind::kAnonymous);
}

}  // namespace carobbank
