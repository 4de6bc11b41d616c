// Requests that crash each backend server that runs them. Two distinct servers
// that crash while they run the same digest put it in quarantine; after the
// first crash it runs alone, so that the second one tells it from its
// neighbours.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct CrashReport {
  // The crashed server.
  std::string instance;
  // Digests of the work that it ran.
  std::vector<std::string> digests;
  // Nothing else ran there: only the sidecar knows, or who sent it alone.
  bool lists_all_work = false;
};

enum class DigestStatus {
  kClear,
  // One server crashed on it: only an idle server, with nothing beside it.
  kSuspect,
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

  // Returns the digest that this report has put in quarantine, or nothing.
  // Only work that ran alone at its second crash is convicted: beside others,
  // any of them may be the cause, also one that was never suspect before. They
  // go on running alone until one is found out or all have finished.
  std::optional<std::string> OnCrash(const CrashReport& report);
  // Another process has put it in quarantine.
  void OnQuarantined(std::string_view digest);
  // The work was finished somewhere: it is no longer suspect.
  void OnFinished(std::string_view digest);

  DigestStatus StatusOf(std::string_view digest) const;
  std::vector<std::string> Quarantined() const;

 private:
  struct Suspect {
    // Distinct servers, not incarnations: one sick server convicts nobody.
    std::vector<std::string> servers;
    std::list<std::string>::iterator age;
    bool quarantined = false;
  };

  Suspect& SuspectFor(const std::string& digest);
  bool AnyQuarantined(const CrashReport& report) const;
  void Quarantine(Suspect& suspect);
  void ForgetOldest();

  CrashQuarantineOptions options;
  std::map<std::string, Suspect, std::less<>> suspects;
  // Oldest first; quarantined ones are not in it.
  std::list<std::string> ages;
};

}  // namespace carobbank
