// Quarantine of requests that crash every backend server that runs them. A
// digest is quarantined when two distinct servers crashed while they ran it in
// isolation, or, where work can't be isolated, when enough servers crashed
// while they ran it beside other work. QuarantineTrials then decides when such
// a digest may run again, because the crashes may have had other causes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
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

// One crash of a server, as far as it concerns one digest.
struct ServerCrashRecord {
  std::string instance;
  // Start of the crashed instance; zero when unknown.
  WallMilliseconds started_at = 0;
  WallMilliseconds at = 0;
};

struct CrashReport {
  // The crashed server.
  std::string instance;
  // Digests of the work that ran on the server.
  std::vector<std::string> digests;
  // `digests` lists all work that ran on the server. Only the sidecar can state
  // that, or a process that sent the work to run in isolation.
  bool lists_all_work = false;
  // As in ServerCrashRecord.
  WallMilliseconds started_at = 0;
  WallMilliseconds at = 0;
  // The work is owed; see owed_work.h.
  bool owed = false;
};

enum class DigestStatus {
  kClear,
  // A server crashed while it ran the work. Run the work only in isolation, on
  // an idle server, or at least apart from other suspects.
  kSuspect,
  // Refuse the work with not_run.
  kQuarantined,
};

// What the end of a run changed for its digest.
enum class FinishEffect {
  kNone,
  // The digest is no longer suspect; its crashes still count with the next one.
  kLifted,
  // Its crashes no longer count.
  kForgotten,
};

struct CrashQuarantineOptions {
  std::size_t servers_to_quarantine = 2;
  // Crashes beside other work after which a digest is quarantined. Zero: only
  // crashes in isolation quarantine.
  std::size_t concurrent_crashes_to_quarantine = 0;
  // Complete runs, per crash and since the last one, after which the crashes
  // no longer count: fewer would clear a request that crashes only some of the
  // servers that run it.
  std::size_t runs_to_forget_crash = 16;
  // Maximum number of tracked suspects; the oldest is evicted first.
  std::size_t max_suspects = 65536;
};

// Merges the crash reports of this and other processes. Reports may arrive in
// any order and any number of times.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(CrashQuarantineOptions options) : options(options) {}

  // Returns the digest that this report identifies as the cause by a crash in
  // isolation, or nothing: any of concurrent work may be the cause, including
  // work that was not suspect before.
  std::optional<std::string> OnCrash(const CrashReport& report);
  // The server did not crash, or its crash no longer counts for the digest.
  void Retract(std::string_view digest,
               std::string_view instance,
               WallMilliseconds started_at);
  // Another process quarantined the digest.
  void OnQuarantined(std::string_view digest);
  // The work finished on some server. No effect on an identified digest.
  FinishEffect OnFinished(std::string_view digest);
  // The crashes of the digest no longer count.
  void Forget(std::string_view digest);

  DigestStatus StatusOf(std::string_view digest) const;
  // One more crash may quarantine the digest, so the crash must not be
  // attributable to another suspect.
  bool IsOnLastChance(std::string_view digest) const;
  // Crashes counted against the digest. Valid until the next change.
  std::span<const ServerCrashRecord> CrashesOf(std::string_view digest) const;
  std::vector<std::string> Quarantined() const;
  // Digests with crashes that count, and identified ones.
  std::vector<std::string> Tracked() const;
  bool Empty() const { return this->suspects.empty(); }

 private:
  struct Suspect {
    // In order of time. Invariant: no two of one start of a server.
    std::vector<ServerCrashRecord> crashes;
    std::list<std::string>::iterator position;
    // Identified by a crash in isolation, or by another process.
    bool identified = false;
    // Complete runs since the last crash.
    std::size_t complete_runs = 0;
  };

  Suspect& SuspectFor(const std::string& digest);
  void AddCrash(Suspect& suspect, const CrashReport& report);
  std::size_t Limit() const {
    return this->options.concurrent_crashes_to_quarantine;
  }
  bool IsQuarantined(const Suspect& suspect) const;
  bool AnyQuarantined(const CrashReport& report) const;
  void Identify(Suspect& suspect);
  void Erase(std::string_view digest);
  void EvictOldest();

  CrashQuarantineOptions options;
  std::map<std::string, Suspect, std::less<>> suspects;
  // Suspects without the identified ones.
  std::list<std::string> oldest_first;
};

}  // namespace carobbank
