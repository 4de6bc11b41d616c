// Tracks suspect digests and quarantines those identified as a crash's cause.

#include "LibRouting/crash_quarantine.h"

#include <algorithm>

namespace carobbank {

std::string DigestOfRequest(std::string_view method,
                            std::string_view target,
                            std::string_view body) {
  std::string text;
  text.reserve(method.size() + target.size() + body.size() + 2);
  text.append(method).append("\n").append(target).append("\n").append(body);
  return Sha256Hex(text);
}

CrashQuarantine::Suspect& CrashQuarantine::SuspectFor(
    const std::string& digest) {
  const auto [found, added] = this->suspects.try_emplace(digest);
  if (added) {
    this->oldest_first.push_back(digest);
    found->second.position = std::prev(this->oldest_first.end());
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
    // The crash is attributed to the quarantined digest; the other work only
    // ran concurrently.
    return std::nullopt;
  }
  for (const std::string& digest : report.digests) {
    Suspect& suspect = this->SuspectFor(digest);
    const bool counted =
        std::find(suspect.servers.begin(), suspect.servers.end(),
                  report.instance) != suspect.servers.end();
    if (!counted &&
        suspect.servers.size() < this->options.servers_to_quarantine) {
      suspect.servers.push_back(report.instance);
    }
  }
  std::optional<std::string> cause;
  // Of concurrent work, even work that was not suspect before may be the cause.
  const bool ran_in_isolation =
      report.lists_all_work && report.digests.size() == 1;
  if (ran_in_isolation) {
    Suspect& suspect = this->SuspectFor(report.digests.front());
    if (suspect.servers.size() >= this->options.servers_to_quarantine) {
      cause = report.digests.front();
      this->Quarantine(suspect);
    }
  }
  this->EvictOldest();
  return cause;
}

void CrashQuarantine::Quarantine(Suspect& suspect) {
  if (suspect.quarantined) {
    return;
  }
  suspect.quarantined = true;
  this->oldest_first.erase(suspect.position);
}

void CrashQuarantine::OnQuarantined(std::string_view digest) {
  this->Quarantine(this->SuspectFor(std::string(digest)));
}

void CrashQuarantine::OnFinished(std::string_view digest) {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end() || found->second.quarantined) {
    return;
  }
  this->oldest_first.erase(found->second.position);
  this->suspects.erase(found);
}

void CrashQuarantine::EvictOldest() {
  while (this->oldest_first.size() > this->options.max_suspects) {
    this->suspects.erase(this->oldest_first.front());
    this->oldest_first.pop_front();
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
