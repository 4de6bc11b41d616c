// Requests that crash each backend server that runs them. Two distinct servers
// that crash while they run the same digest put it in quarantine; after the
// first crash it runs alone.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct CrashReport {
  std::string digest;
  // The crashed server.
  std::string instance;
  std::uint64_t incarnation = 0;
};

enum class DigestStanding {
  kClear,
  // One server crashed on it: only an idle server, with nothing beside it.
  kAlone,
  // Refuse it: not_run.
  kQuarantined,
};

struct CrashQuarantineOptions {
  std::size_t servers_to_quarantine = 2;
  // Suspects remembered; the oldest is forgotten first.
  std::size_t max_suspects = 65536;
};

// Merges this process's reports with those of others, in any order and any
// number of times.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(CrashQuarantineOptions options) : options(options) {}

  // The digests that ran at a server when it crashed are all reported; those
  // that ran alone decide at once, the others need a second server. Returns
  // the standing after the report.
  DigestStanding OnCrash(const CrashReport& report);
  // Another process has put it in quarantine.
  void OnQuarantined(std::string_view digest);
  // The work was finished somewhere: it is no longer suspect.
  void OnFinished(std::string_view digest);

  DigestStanding StandingOf(std::string_view digest) const;
  std::vector<std::string> Quarantined() const;

 private:
  struct Suspect {
    // Distinct servers, not incarnations: one sick server convicts nobody.
    std::vector<std::string> servers;
    std::list<std::string>::iterator age;
    bool quarantined = false;
  };

  Suspect& SuspectFor(std::string_view digest);

  CrashQuarantineOptions options;
  std::map<std::string, Suspect, std::less<>> suspects;
  // Oldest first; quarantined ones are not in it.
  std::list<std::string> ages;
};

}  // namespace carobbank
