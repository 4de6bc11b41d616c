// Appends crash evidence to the log, from which every entry reads which digests
// were running. Evidence waits in bounded memory while the log is unreachable,
// and is then sent to the entries directly.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "LibPlatform/platform.h"
#include "Sidecar/control_timer.h"
#include "Sidecar/crash_suspects.h"

namespace carobbank {

class CrashReporter {
 public:
  // Sends evidence to the entries.
  using Notifier = std::function<void(const CrashEvidence& evidence)>;

  CrashReporter(ControlTimers& timers,
                LogClient& log,
                std::string instance,
                std::uint64_t incarnation,
                Notifier notify_entries);

  void Report(CrashEvidence evidence);
  std::size_t Waiting() const { return this->waiting.size(); }

 private:
  void Append();
  void NotifyEntries();
  void OnAppended(std::size_t count, const Outcome<std::uint64_t>& offset);

  ControlTimers& timers;
  LogClient& log;
  std::string instance;
  std::uint64_t incarnation;
  Notifier notify_entries;
  // Oldest first. Invariant: at most kMaxWaiting while no append is in flight;
  // the oldest are dropped.
  std::deque<CrashEvidence> waiting;
  bool busy = false;
  // How many of the newest in `waiting` the entries were not sent.
  std::size_t unsent = 0;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> notify_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
