// Tracks suspect digests and quarantines those that crashes point to.

#include "LibRouting/crash_quarantine.h"

#include <algorithm>
#include <set>

namespace carobbank {

namespace {

// Further crashes of a digest replace its latest one.
constexpr std::size_t kMaxCrashesPerDigest = 32;

bool IsSameStart(const ServerCrashRecord& crash,
                 std::string_view instance,
                 WallMilliseconds started_at) {
  return crash.instance == instance && crash.started_at == started_at;
}

}  // namespace

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

void CrashQuarantine::AddCrash(Suspect& suspect, const CrashReport& report) {
  const bool counted = std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(),
      [&report](const ServerCrashRecord& crash) {
        return IsSameStart(crash, report.instance, report.started_at);
      });
  if (counted) {
    return;
  }
  suspect.complete_runs = 0;
  if (suspect.crashes.size() == kMaxCrashesPerDigest) {
    suspect.crashes.pop_back();
  }
  const auto later =
      std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                   [&report](const ServerCrashRecord& crash) {
                     return crash.at > report.at;
                   });
  suspect.crashes.insert(later,
                         {report.instance, report.started_at, report.at});
}

bool CrashQuarantine::IsQuarantined(const Suspect& suspect) const {
  return suspect.identified ||
         (this->Limit() > 0 && suspect.crashes.size() >= this->Limit());
}

bool CrashQuarantine::AnyQuarantined(const CrashReport& report) const {
  return std::any_of(report.digests.begin(), report.digests.end(),
                     [&](const std::string& digest) {
                       return this->StatusOf(digest) ==
                              DigestStatus::kQuarantined;
                     });
}

std::optional<std::string> CrashQuarantine::OnCrash(const CrashReport& report) {
  const bool any_quarantined = this->AnyQuarantined(report);
  for (const std::string& digest : report.digests) {
    // The crash is attributed to the quarantined digest; the other work only
    // ran concurrently.
    if (!any_quarantined ||
        this->StatusOf(digest) == DigestStatus::kQuarantined) {
      this->AddCrash(this->SuspectFor(digest), report);
    }
  }
  std::optional<std::string> cause;
  // Of concurrent work, even work that was not suspect before may be the cause.
  const bool ran_in_isolation =
      report.lists_all_work && report.digests.size() == 1;
  if (ran_in_isolation && !any_quarantined) {
    Suspect& suspect = this->SuspectFor(report.digests.front());
    // Distinct servers, not restarts of one server: a single faulty server
    // never identifies a digest.
    std::set<std::string_view> servers;
    for (const ServerCrashRecord& crash : suspect.crashes) {
      servers.insert(crash.instance);
    }
    if (servers.size() >= this->options.servers_to_quarantine) {
      cause = report.digests.front();
      this->Identify(suspect);
    }
  }
  this->EvictOldest();
  return cause;
}

void CrashQuarantine::Retract(std::string_view digest,
                              std::string_view instance,
                              WallMilliseconds started_at) {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return;
  }
  std::erase_if(found->second.crashes, [&](const ServerCrashRecord& crash) {
    return IsSameStart(crash, instance, started_at);
  });
  if (found->second.crashes.empty() && !found->second.identified) {
    this->Erase(digest);
  }
}

void CrashQuarantine::Identify(Suspect& suspect) {
  if (suspect.identified) {
    return;
  }
  suspect.identified = true;
  this->oldest_first.erase(suspect.position);
}

void CrashQuarantine::OnQuarantined(std::string_view digest) {
  this->Identify(this->SuspectFor(std::string(digest)));
}

FinishEffect CrashQuarantine::OnFinished(std::string_view digest) {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end() || found->second.identified) {
    return FinishEffect::kNone;
  }
  Suspect& suspect = found->second;
  ++suspect.complete_runs;
  if (suspect.complete_runs >=
      this->options.runs_to_forget_crash * suspect.crashes.size()) {
    this->Erase(digest);
    return FinishEffect::kForgotten;
  }
  return suspect.complete_runs == 1 && !this->IsQuarantined(suspect)
             ? FinishEffect::kLifted
             : FinishEffect::kNone;
}

void CrashQuarantine::Forget(std::string_view digest) {
  const auto found = this->suspects.find(digest);
  if (found != this->suspects.end() && !found->second.identified) {
    this->Erase(digest);
  }
}

void CrashQuarantine::Erase(std::string_view digest) {
  const auto found = this->suspects.find(digest);
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
  if (this->IsQuarantined(found->second)) {
    return DigestStatus::kQuarantined;
  }
  return found->second.complete_runs > 0 ? DigestStatus::kClear
                                         : DigestStatus::kSuspect;
}

bool CrashQuarantine::IsOnLastChance(std::string_view digest) const {
  return this->Limit() > 0 &&
         this->CrashesOf(digest).size() + 1 >= this->Limit();
}

std::span<const ServerCrashRecord> CrashQuarantine::CrashesOf(
    std::string_view digest) const {
  const auto found = this->suspects.find(digest);
  return found == this->suspects.end()
             ? std::span<const ServerCrashRecord>()
             : std::span<const ServerCrashRecord>(found->second.crashes);
}

std::vector<std::string> CrashQuarantine::Quarantined() const {
  std::vector<std::string> digests;
  for (const auto& [digest, suspect] : this->suspects) {
    if (this->IsQuarantined(suspect)) {
      digests.push_back(digest);
    }
  }
  return digests;
}

std::vector<std::string> CrashQuarantine::Tracked() const {
  std::vector<std::string> digests;
  for (const auto& [digest, suspect] : this->suspects) {
    digests.push_back(digest);
  }
  return digests;
}

}  // namespace carobbank
