// Incidents by start of a server, from the first broken attempt to their
// expiry.

#include "LibRouting/server_crash_detector.h"

#include <algorithm>

namespace carobbank {

WallMilliseconds ServerCrashDetector::StartOf(const BrokenAttempt& attempt,
                                              MonotonicTime now,
                                              WallMilliseconds wall_now) const {
  const auto age =
      std::chrono::duration_cast<Milliseconds>(now - attempt.began);
  const WallMilliseconds sent_at = wall_now - age.count();
  const auto known =
      this->incidents.find(Key(attempt.server_id, attempt.server_start));
  const bool crashed_before = known != this->incidents.end() &&
                              known->second.state == State::kCrashed &&
                              attempt.began > known->second.began;
  const bool reported_before = attempt.reported_crash_at.has_value() &&
                               sent_at > *attempt.reported_crash_at;
  return crashed_before || reported_before ? sent_at : attempt.server_start;
}

BrokenAttemptVerdict ServerCrashDetector::OnBroken(const BrokenAttempt& attempt,
                                                   MonotonicTime now,
                                                   WallMilliseconds wall_now) {
  BrokenAttemptVerdict verdict;
  verdict.server_start = this->StartOf(attempt, now, wall_now);
  CrashReport report;
  report.instance = attempt.server_id;
  report.digests = {attempt.digest};
  report.started_at = verdict.server_start;
  report.at = wall_now;
  report.owed = attempt.owed;
  const auto [entry, added] =
      this->incidents.try_emplace(Key(attempt.server_id, verdict.server_start));
  Incident& incident = entry->second;
  if (incident.state == State::kCrashed) {
    verdict.crashes.push_back(report);
  } else if (added || incident.state == State::kReachable) {
    incident.began = now;
    incident.state = State::kProbing;
    incident.entries = 0;
    incident.probed = 1;
    verdict.must_probe = true;
  }
  incident.reports.push_back(std::move(report));
  return verdict;
}

ProbeVerdict ServerCrashDetector::OnProbed(std::string_view server_id,
                                           WallMilliseconds server_start,
                                           bool reachable,
                                           MonotonicTime now,
                                           WallMilliseconds wall_now) {
  const auto found =
      this->incidents.find(Key(std::string(server_id), server_start));
  if (found == this->incidents.end() ||
      found->second.state != State::kProbing) {
    return {};
  }
  Incident& incident = found->second;
  incident.began = now;
  if (!reachable) {
    incident.state = State::kCrashed;
    for (CrashReport& report : incident.reports) {
      report.at = wall_now;
    }
    return {false, incident.reports};
  }
  const auto probed =
      incident.reports.begin() + static_cast<std::ptrdiff_t>(incident.probed);
  std::vector<CrashReport>& undecided = incident.undecided;
  undecided.insert(undecided.end(), incident.reports.begin(), probed);
  incident.reports.erase(incident.reports.begin(), probed);
  if (undecided.size() > kMaxUndecided) {
    undecided.erase(undecided.begin(), undecided.end() - kMaxUndecided);
  }
  // The server may have crashed after it had responded.
  incident.probed = incident.reports.size();
  if (incident.reports.empty()) {
    incident.state = State::kReachable;
  }
  return {!incident.reports.empty(), {}};
}

std::vector<CrashReport> ServerCrashDetector::TakeCrashes(
    Incident& incident,
    WallMilliseconds started_at,
    WallMilliseconds wall_now) {
  std::vector<CrashReport> crashes;
  for (std::vector<CrashReport>* const reports :
       {&incident.undecided, &incident.reports}) {
    std::erase_if(*reports, [&](CrashReport& report) {
      const bool recent = wall_now - report.at <= kEntryDelay.count();
      const bool started_then =
          started_at >= report.at - kClockDifference.count() &&
          started_at <= report.at + kEntryDelay.count();
      if (recent || started_then) {
        crashes.push_back(std::move(report));
      }
      return recent || started_then;
    });
  }
  return crashes;
}

RegistrationVerdict ServerCrashDetector::OnRegistered(
    std::string_view server_id,
    WallMilliseconds started_at,
    MonotonicTime now,
    WallMilliseconds wall_now) {
  RegistrationVerdict verdict;
  for (auto entry = this->incidents.lower_bound(Key(std::string(server_id), 0));
       entry != this->incidents.end() && entry->first.first == server_id;) {
    const WallMilliseconds incident_start = entry->first.second;
    Incident& incident = entry->second;
    const MonotonicTime::duration age = now - incident.began;
    if (incident_start != started_at && incident.state != State::kCrashed) {
      const std::vector<CrashReport> crashes =
          TakeCrashes(incident, started_at, wall_now);
      if (!crashes.empty()) {
        incident.state = State::kCrashed;
        incident.began = now;
        incident.reports = crashes;
        verdict.crashes.insert(verdict.crashes.end(), crashes.begin(),
                               crashes.end());
      }
    }
    const bool alive_long_after = incident_start == started_at &&
                                  incident.state == State::kCrashed &&
                                  age >= kLatestOldEntry;
    if (alive_long_after && ++incident.entries >= kEntriesToRetract) {
      verdict.retracted.insert(verdict.retracted.end(),
                               incident.reports.begin(),
                               incident.reports.end());
      entry = this->incidents.erase(entry);
    } else {
      ++entry;
    }
  }
  return verdict;
}

bool ServerCrashDetector::AwaitsProbe(std::string_view digest) const {
  return std::any_of(
      this->incidents.begin(), this->incidents.end(), [&](const auto& entry) {
        const Incident& incident = entry.second;
        return incident.state == State::kProbing &&
               std::any_of(incident.reports.begin(), incident.reports.end(),
                           [&](const CrashReport& report) {
                             return report.digests.front() == digest;
                           });
      });
}

void ServerCrashDetector::RemoveExpired(MonotonicTime now) {
  std::erase_if(this->incidents, [now](const auto& entry) {
    return now - entry.second.began > kRetention;
  });
}

}  // namespace carobbank
