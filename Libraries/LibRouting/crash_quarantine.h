// Quarantine of requests that crash every backend server that runs them. A
// digest is quarantined when two distinct servers crashed while they ran it.
// After the first crash it runs in isolation, so that the second crash can be
// attributed to it rather than to concurrent work.

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

// Digest of a request. It doesn't depend on the request's id, so repetitions of
// the request have the same digest. `target`: path and query, after the host
// where the host selects the service.
std::string DigestOfRequest(std::string_view method,
                            std::string_view target,
                            std::string_view body);

struct CrashReport {
  // The crashed server.
  std::string instance;
  // Digests of the work that ran on the server.
  std::vector<std::string> digests;
  // `digests` lists all work that ran on the server. Only the sidecar can state
  // that, or a process that sent the work to run in isolation.
  bool lists_all_work = false;
};

enum class DigestStatus {
  kClear,
  // A server crashed while it ran the work. Run the work only in isolation, on
  // an idle server.
  kSuspect,
  // Refuse the work with not_run.
  kQuarantined,
};

struct CrashQuarantineOptions {
  std::size_t servers_to_quarantine = 2;
  // Maximum number of tracked suspects; the oldest is evicted first.
  std::size_t max_suspects = 65536;
};

// Merges the crash reports of this and other processes. Reports may arrive in
// any order and any number of times.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(CrashQuarantineOptions options) : options(options) {}

  // Returns the digest that this report quarantines, or nothing. Only work that
  // ran in isolation at its second crash is quarantined: any of concurrent work
  // may be the cause, including work that was not suspect before. Suspects run
  // in isolation until one is identified as the cause or all have finished.
  std::optional<std::string> OnCrash(const CrashReport& report);
  // Another process quarantined the digest.
  void OnQuarantined(std::string_view digest);
  // The work finished on some server, so it is no longer suspect.
  void OnFinished(std::string_view digest);

  DigestStatus StatusOf(std::string_view digest) const;
  std::vector<std::string> Quarantined() const;

 private:
  struct Suspect {
    // Distinct servers, not restarts of one server: a single faulty server
    // never quarantines a digest.
    std::vector<std::string> servers;
    std::list<std::string>::iterator position;
    bool quarantined = false;
  };

  Suspect& SuspectFor(const std::string& digest);
  bool AnyQuarantined(const CrashReport& report) const;
  void Quarantine(Suspect& suspect);
  void EvictOldest();

  CrashQuarantineOptions options;
  std::map<std::string, Suspect, std::less<>> suspects;
  // Suspects without the quarantined ones.
  std::list<std::string> oldest_first;
};

}  // namespace carobbank
