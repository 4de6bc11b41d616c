// Crashes of servers under plain requests and under owed work, counted apart.
// A crash that owed work explains is not held against a plain request. Pure.

#pragma once

#include <string_view>
#include <vector>

#include "LibRouting/crash_quarantine.h"

namespace carobbank {

class RequestCrashes {
 public:
  // `plain` states when a plain request is quarantined; owed work never is.
  RequestCrashes(CrashQuarantineOptions plain, CrashQuarantineOptions owed)
      : plain(plain), owed(owed) {}

  // Reports name a single digest, and arrive in any order and any number of
  // times.
  void OnCrash(const CrashReport& report);
  void Retract(std::string_view digest,
               std::string_view instance,
               WallMilliseconds started_at);

  CrashQuarantine& Plain() { return this->plain; }
  const CrashQuarantine& Plain() const { return this->plain; }
  CrashQuarantine& Owed() { return this->owed; }
  const CrashQuarantine& Owed() const { return this->owed; }
  // All counted crashes.
  std::vector<CrashReport> All() const;

 private:
  // Crashes under owed work on the same server show that this one has another
  // cause than the plain request of the report.
  bool IsExplained(const CrashReport& report) const;
  // Removes the crashes of plain requests that this one under owed work
  // explains.
  void RemoveExplained(const CrashReport& owed_crash);

  CrashQuarantine plain;
  CrashQuarantine owed;
};

}  // namespace carobbank
