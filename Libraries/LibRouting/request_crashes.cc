// Attribution of a crash to a plain request or to other causes.

#include "LibRouting/request_crashes.h"

#include <algorithm>
#include <string>

#include "LibRouting/owed_work.h"

namespace carobbank {

namespace {

bool IsSameStart(const ServerCrashRecord& crash, const CrashReport& report) {
  return crash.instance == report.instance &&
         crash.started_at == report.started_at;
}

CrashReport ReportOf(const std::string& digest,
                     const ServerCrashRecord& crash,
                     bool owed) {
  CrashReport report;
  report.instance = crash.instance;
  report.digests = {digest};
  report.started_at = crash.started_at;
  report.at = crash.at;
  report.owed = owed;
  return report;
}

}  // namespace

void RequestCrashes::OnCrash(const CrashReport& report) {
  if (report.owed) {
    this->owed.OnCrash(report);
    this->RemoveExplained(report);
  } else if (!this->IsExplained(report)) {
    this->plain.OnCrash(report);
  }
}

void RequestCrashes::Retract(std::string_view digest,
                             std::string_view instance,
                             WallMilliseconds started_at) {
  this->plain.Retract(digest, instance, started_at);
  this->owed.Retract(digest, instance, started_at);
}

bool RequestCrashes::IsExplained(const CrashReport& report) const {
  const auto own = this->plain.CrashesOf(report.digests.front());
  const auto own_crashes = static_cast<std::size_t>(std::count_if(
      own.begin(), own.end(), [&report](const ServerCrashRecord& crash) {
        return !IsSameStart(crash, report);
      }));
  const std::vector<std::string> owed_work = this->owed.Tracked();
  return std::any_of(
      owed_work.begin(), owed_work.end(), [&](const std::string& digest) {
        return ExplainsCrash(this->owed.CrashesOf(digest), report, own_crashes);
      });
}

void RequestCrashes::RemoveExplained(const CrashReport& owed_crash) {
  for (const std::string& digest : this->plain.Tracked()) {
    const auto crashes = this->plain.CrashesOf(digest);
    const auto beside =
        std::find_if(crashes.begin(), crashes.end(),
                     [&owed_crash](const ServerCrashRecord& crash) {
                       return IsSameStart(crash, owed_crash);
                     });
    if (beside != crashes.end() &&
        this->IsExplained(ReportOf(digest, *beside, false))) {
      this->plain.Retract(digest, owed_crash.instance, owed_crash.started_at);
    }
  }
}

std::vector<CrashReport> RequestCrashes::All() const {
  std::vector<CrashReport> reports;
  for (const CrashQuarantine* const crashes : {&this->plain, &this->owed}) {
    for (const std::string& digest : crashes->Tracked()) {
      for (const ServerCrashRecord& crash : crashes->CrashesOf(digest)) {
        reports.push_back(ReportOf(digest, crash, crashes == &this->owed));
      }
    }
  }
  return reports;
}

}  // namespace carobbank
