// Keeps each output at the software version that began it: an output goes on at
// no other version, and is generated again when the version is gone or
// uncertain.

#include "job_runner.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// How long an output waits for capacity at servers of its software version
// before it is generated again at others.
constexpr Milliseconds kSoftwareWait{1'000};
// How long an output that broke off waits for reports of its servers.
constexpr Milliseconds kBrokenOutputWait{600};

}  // namespace

bool JobRunner::IsOfOneSoftware(Progress& progress) const {
  std::erase_if(progress.uncertain, [this](const UncertainStart& start) {
    return this->environment.fleet.IsCertain(start.server_id,
                                             start.server_start, start.at);
  });
  return progress.uncertain.empty() && !progress.software_version.empty();
}

void JobRunner::RequestConfirmations(const Progress& progress) {
  for (const UncertainStart& start : progress.uncertain) {
    this->start_checks.Request(start.server_id, start.server_start, start.at);
  }
}

bool JobRunner::IsRefuted(const Progress& progress) const {
  return std::any_of(
      progress.uncertain.begin(), progress.uncertain.end(),
      [this](const UncertainStart& start) {
        const FleetServer* const server =
            this->environment.fleet.Find(start.server_id);
        const WallMilliseconds reported =
            this->start_checks.ReportedStart(start.server_id, start.at)
                .value_or(0);
        return server == nullptr || server->started_at != start.server_start ||
               (reported != 0 && reported != start.server_start);
      });
}

bool JobRunner::HasFailedReport(const Progress& progress) const {
  return std::any_of(progress.uncertain.begin(), progress.uncertain.end(),
                     [this](const UncertainStart& start) {
                       return this->start_checks.ReportedStart(start.server_id,
                                                               start.at) ==
                              WallMilliseconds(0);
                     });
}

void JobRunner::KeepUntilConfirmed(const std::string& sample_id,
                                   Progress& progress) {
  if (progress.software_version.empty() || this->IsRefuted(progress)) {
    this->DiscardOutput(sample_id, progress, "start of a server is uncertain");
    return;
  }
  progress.awaits_confirmation = true;
  progress.confirm_until = this->environment.clock.Now() + kBrokenOutputWait;
  this->RequestConfirmations(progress);
}

bool JobRunner::ResolveConfirmation(const std::string& sample_id,
                                    Progress& progress) {
  if (!progress.awaits_confirmation) {
    return true;
  }
  if (this->IsOfOneSoftware(progress)) {
    progress.awaits_confirmation = false;
    return true;
  }
  // A server that broke off an output and does not report has likely crashed.
  if (this->IsRefuted(progress) || this->HasFailedReport(progress) ||
      this->environment.clock.Now() > progress.confirm_until) {
    this->DiscardOutput(sample_id, progress, "start of a server is uncertain");
    return true;
  }
  this->RequestConfirmations(progress);
  return false;
}

void JobRunner::DiscardOutput(const std::string& sample_id,
                              Progress& progress,
                              std::string_view reason) {
  this->environment.metrics
      .GetCounter(metrics::kDiscardedEvents, {{"reason", std::string(reason)}})
      .Add(progress.events);
  WriteLog(LogLevel::kInfo, "sample output discarded; it is generated again",
           {{"sample", sample_id},
            {"events", std::to_string(progress.events)},
            {"software", progress.software_version},
            {"reason", std::string(reason)}});
  ResetOutput(progress);
}

void JobRunner::KeepSoftwareVersion(const std::string& sample_id,
                                    Progress& progress,
                                    std::vector<const FleetServer*>& servers) {
  std::vector<const FleetServer*> same = servers;
  std::erase_if(same, [&progress](const FleetServer* server) {
    return server->software_version != progress.software_version;
  });
  const MonotonicTime now = this->environment.clock.Now();
  const MonotonicTime since = progress.waits_for_software_since.value_or(now);
  if (same.empty()) {
    this->DiscardOutput(sample_id, progress, "software version is gone");
  } else if (now - since > kSoftwareWait) {
    this->DiscardOutput(sample_id, progress,
                        "software version has no capacity");
  } else {
    progress.waits_for_software_since = since;
    servers = std::move(same);
  }
}

void JobRunner::ConfirmOutputs(ActiveJob& job, const JobState& state) {
  const MonotonicTime now = this->environment.clock.Now();
  job.confirming = 0;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    Progress& progress = job.samples[index];
    if (progress.stage != Stage::kConfirming) {
      continue;
    }
    if (this->IsOfOneSoftware(progress)) {
      this->OnOutputComplete(job, state, index);
      continue;
    }
    if (this->IsRefuted(progress) || now > progress.confirm_until) {
      this->DiscardOutput(state.job.samples[index].id, progress,
                          "start of a server is uncertain");
      progress.stage = Stage::kWaiting;
      continue;
    }
    this->RequestConfirmations(progress);
    ++job.confirming;
  }
}

}  // namespace carobbank
