// Suspects and quarantine of requests that crash servers.

#include "LibRouting/crash_quarantine.h"

#include <algorithm>

namespace carobbank {

CrashQuarantine::Suspect& CrashQuarantine::SuspectFor(
    const std::string& digest) {
  const auto [found, added] = this->suspects.try_emplace(digest);
  if (added) {
    this->ages.push_back(digest);
    found->second.age = std::prev(this->ages.end());
  }
  return found->second;
}

bool CrashQuarantine::AnyQuarantined(const CrashReport& report) const {
  return std::any_of(report.digests.begin(), report.digests.end(),
                     [&](const std::string& digest) {
                       return this->StatusOf(digest) ==
                              DigestStatus::kQuarantined;
                     });
}

std::optional<std::string> CrashQuarantine::OnCrash(const CrashReport& report) {
  if (this->AnyQuarantined(report)) {
    // The cause is known; the others only ran beside it.
    return std::nullopt;
  }
  for (const std::string& digest : report.digests) {
    Suspect& suspect = this->SuspectFor(digest);
    const bool known = std::find(suspect.servers.begin(), suspect.servers.end(),
                                 report.instance) != suspect.servers.end();
    if (!known &&
        suspect.servers.size() < this->options.servers_to_quarantine) {
      suspect.servers.push_back(report.instance);
    }
  }
  std::optional<std::string> cause;
  // Beside others, even work that was never suspect before may be the cause.
  const bool alone = report.lists_all_work && report.digests.size() == 1;
  if (alone) {
    Suspect& suspect = this->SuspectFor(report.digests.front());
    if (suspect.servers.size() >= this->options.servers_to_quarantine) {
      cause = report.digests.front();
      this->Quarantine(suspect);
    }
  }
  this->ForgetOldest();
  return cause;
}

void CrashQuarantine::Quarantine(Suspect& suspect) {
  if (suspect.quarantined) {
    return;
  }
  suspect.quarantined = true;
  this->ages.erase(suspect.age);
}

void CrashQuarantine::OnQuarantined(std::string_view digest) {
  this->Quarantine(this->SuspectFor(std::string(digest)));
}

void CrashQuarantine::OnFinished(std::string_view digest) {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end() || found->second.quarantined) {
    return;
  }
  this->ages.erase(found->second.age);
  this->suspects.erase(found);
}

void CrashQuarantine::ForgetOldest() {
  while (this->ages.size() > this->options.max_suspects) {
    this->suspects.erase(this->ages.front());
    this->ages.pop_front();
  }
}

DigestStatus CrashQuarantine::StatusOf(std::string_view digest) const {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return DigestStatus::kClear;
  }
  return found->second.quarantined ? DigestStatus::kQuarantined
                                   : DigestStatus::kSuspect;
}

std::vector<std::string> CrashQuarantine::Quarantined() const {
  std::vector<std::string> digests;
  for (const auto& [digest, suspect] : this->suspects) {
    if (suspect.quarantined) {
      digests.push_back(digest);
    }
  }
  return digests;
}

}  // namespace carobbank
