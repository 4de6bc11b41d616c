// Performs the appends that the group committer schedules.

#include "log_writer.h"

#include <algorithm>
#include <utility>

namespace carobbank {

LogWriter::LogWriter(LogWriterEnvironment environment,
                     std::string stream,
                     GroupCommitterOptions options)
    : environment(environment),
      stream(std::move(stream)),
      committer(options),
      appended(environment.metrics.GetCounter(
          metrics::kLogAppends,
          {{"stream", this->stream}, {"outcome", "appended"}})),
      failed(environment.metrics.GetCounter(
          metrics::kLogAppends,
          {{"stream", this->stream}, {"outcome", "failed"}})),
      append_time(environment.metrics.GetTiming(metrics::kLogAppendTime)) {}

Result<EntryTicket> LogWriter::Append(std::string entry, Done done) {
  BOOST_LEAF_AUTO(ticket, this->committer.Add(std::move(entry)));
  this->waiting.emplace(ticket, std::move(done));
  this->StartNextAppend();
  return ticket;
}

void LogWriter::DiscardCallback(EntryTicket ticket) {
  this->waiting.erase(ticket);
}

void LogWriter::StartNextAppend() {
  const MonotonicTime now = this->environment.clock.Now();
  auto request = this->committer.NextAppend(now);
  if (!request) {
    const auto next = this->committer.NextWakeup();
    if (next) {
      const auto delay = std::chrono::ceil<Milliseconds>(*next - now);
      this->wakeup =
          this->environment.loop.CallAfter(std::max(delay, Milliseconds(1)),
                                           [this] { this->StartNextAppend(); });
    }
    return;
  }
  this->append_started = now;
  this->environment.log.Append(
      this->stream, std::move(request->payload),
      [this, number = request->number,
       token = std::weak_ptr<bool>(this->alive)](Outcome<std::uint64_t> got) {
        if (!token.expired()) {
          this->OnOutcome(number, got);
        }
      });
}

void LogWriter::OnOutcome(std::uint64_t number,
                          const Outcome<std::uint64_t>& outcome) {
  const MonotonicTime now = this->environment.clock.Now();
  this->reachable = outcome.Ok();
  if (!outcome.Ok()) {
    this->failed.Add();
    this->committer.OnFailed(number, outcome.GetError().kind, now,
                             this->environment.random);
    this->StartNextAppend();
    return;
  }
  this->appended.Add();
  this->append_time.Record(now - this->append_started);
  for (const AppendedEntry& entry :
       this->committer.OnAppended(number, outcome.Value())) {
    const auto found = this->waiting.find(entry.ticket);
    if (found == this->waiting.end()) {
      continue;
    }
    const Done done = std::move(found->second);
    this->waiting.erase(found);
    done(entry.position);
  }
  this->StartNextAppend();
}

}  // namespace carobbank
