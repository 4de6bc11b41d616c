// Writes entries to one log stream in groups and reports the position of each.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibLedger/ledger.h"
#include "LibPlatform/platform.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

struct LogWriterEnvironment {
  EventLoop& loop;
  const Clock& clock;
  Random& random;
  LogClient& log;
  MetricRegistry& metrics;
};

class LogWriter {
 public:
  LogWriter(LogWriterEnvironment environment,
            std::string stream,
            GroupCommitterOptions options);

  // `done` receives a position at which the entry is in the log; an earlier
  // copy may exist. `done` is never called for an entry that is not in the log.
  // Errors: as GroupCommitter::Add.
  using Done = std::function<void(LogPosition position)>;
  Result<EntryTicket> Append(std::string entry, Done done);
  // Discards the callback of `ticket`; the entry is still written.
  void DiscardCallback(EntryTicket ticket);

  bool BackPressure() const { return this->committer.BackPressure(); }
  // Whether the last append succeeded.
  bool Reachable() const { return this->reachable; }
  std::size_t BufferedBytes() const { return this->committer.BufferedBytes(); }
  std::size_t BufferedEntries() const {
    return this->committer.BufferedEntries();
  }

 private:
  void StartNextAppend();
  void OnOutcome(std::uint64_t number, const Outcome<std::uint64_t>& outcome);

  LogWriterEnvironment environment;
  std::string stream;
  GroupCommitter committer;
  std::map<EntryTicket, Done> waiting;
  std::unique_ptr<Timer> wakeup;
  bool reachable = true;
  Counter& appended;
  Counter& failed;
  Timing& append_time;
  MonotonicTime append_started{};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
