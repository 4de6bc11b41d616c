// Decides whether attempts broke off because their server crashed. A connection
// that is reset or falls silent proves no crash. A server that can't be reached
// right afterwards is presumed to have crashed, until its registry entry shows
// that the same start of it is still alive. Pure.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/core.h"
#include "LibRouting/crash_quarantine.h"

namespace carobbank {

// An attempt that may have run and ended without a response.
struct BrokenAttempt {
  std::string server_id;
  // Start of the server, as known when the attempt was sent.
  WallMilliseconds server_start = 0;
  std::string digest;
  // When the attempt was sent.
  MonotonicTime began{};
  // The request is owed; see owed_work.h.
  bool owed = false;
  // When this start of the server last crashed with the digest, as far as any
  // process has reported it. The server has started again since if the attempt
  // was sent later, though its entry does not show that yet.
  std::optional<WallMilliseconds> reported_crash_at = std::nullopt;
};

struct BrokenAttemptVerdict {
  // The caller has to connect to the server and call OnProbed().
  bool must_probe = false;
  // Start of the server at which the attempt broke off, for OnProbed(): a later
  // one than known if that had crashed before the attempt was sent.
  WallMilliseconds server_start = 0;
  // The server is known to have crashed.
  std::vector<CrashReport> crashes;
};

struct ProbeVerdict {
  // Attempts broke off during the probe; the caller has to probe again.
  bool must_probe = false;
  std::vector<CrashReport> crashes;
};

// What a new registry entry of a server shows.
struct RegistrationVerdict {
  std::vector<CrashReport> crashes;
  // Reported crashes that did not happen.
  std::vector<CrashReport> retracted;
};

class ServerCrashDetector {
 public:
  BrokenAttemptVerdict OnBroken(const BrokenAttempt& attempt,
                                MonotonicTime now,
                                WallMilliseconds wall_now);
  // The result of a request to the server. `reachable`: this start of the
  // server responded, or at least accepted a connection.
  ProbeVerdict OnProbed(std::string_view server_id,
                        WallMilliseconds server_start,
                        bool reachable,
                        MonotonicTime now,
                        WallMilliseconds wall_now);
  RegistrationVerdict OnRegistered(std::string_view server_id,
                                   WallMilliseconds started_at,
                                   MonotonicTime now,
                                   WallMilliseconds wall_now);
  // An attempt of the digest broke off at a server whose probe has not ended.
  bool AwaitsProbe(std::string_view digest) const;
  // Discards incidents older than kRetention.
  void RemoveExpired(MonotonicTime now);

  // Entries written before the crash arrive within this time, but for single
  // stale ones.
  static constexpr Milliseconds kLatestOldEntry{4'000};
  static constexpr int kEntriesToRetract = 2;
  // A server that was reachable may already have been its next start. It was if
  // an entry with another start arrives within this time, or later states a
  // start within this time.
  static constexpr Milliseconds kEntryDelay{3'000};
  // Difference between the clocks of the server and of this process.
  static constexpr Milliseconds kClockDifference{500};
  // Attempts at a crashed server may take this long to time out, and entries
  // may arrive this late.
  static constexpr Milliseconds kRetention{60'000};
  // Maximum number of undecided reports of one start of a server.
  static constexpr std::size_t kMaxUndecided = 64;

 private:
  enum class State { kProbing, kReachable, kCrashed };
  // A start of a server at which attempts broke off.
  struct Incident {
    // Of the current state.
    MonotonicTime began;
    State state = State::kProbing;
    // Of the attempts that broke off since the last probe that was answered.
    std::vector<CrashReport> reports;
    // How many of `reports` broke off before the current probe.
    std::size_t probed = 0;
    // Of earlier attempts: the server responded, maybe as its next start.
    std::vector<CrashReport> undecided;
    // Entries since the crash that may show that it did not happen.
    int entries = 0;
  };
  using Key = std::pair<std::string, WallMilliseconds>;

  // The start of the server at which the attempt broke off.
  WallMilliseconds StartOf(const BrokenAttempt& attempt,
                           MonotonicTime now,
                           WallMilliseconds wall_now) const;
  // Removes the reports whose attempt broke off as the server started again at
  // `started_at`, and returns them.
  static std::vector<CrashReport> TakeCrashes(Incident& incident,
                                              WallMilliseconds started_at,
                                              WallMilliseconds wall_now);

  std::map<Key, Incident> incidents;
};

}  // namespace carobbank
