// Appends crash evidence to the log, from which every entry reads which digests
// were running. Evidence waits in bounded memory while the log is unreachable.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "LibPlatform/platform.h"
#include "Sidecar/control_timer.h"
#include "Sidecar/crash_suspects.h"

namespace carobbank {

class CrashReporter {
 public:
  CrashReporter(ControlTimers& timers,
                LogClient& log,
                std::string instance,
                std::uint64_t incarnation);

  void Report(CrashEvidence evidence);
  std::size_t Waiting() const { return this->waiting.size(); }

 private:
  void Append();
  void OnAppended(std::size_t count, const Outcome<std::uint64_t>& offset);

  ControlTimers& timers;
  LogClient& log;
  std::string instance;
  std::uint64_t incarnation;
  // Oldest first. Invariant: at most kMaxWaiting while no append is in flight;
  // the oldest are dropped.
  std::deque<CrashEvidence> waiting;
  bool busy = false;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
