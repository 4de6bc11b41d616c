// Liveness of the connection between this process and one other instance. A
// connection that goes silent is replaced; only when a fresh connection fails
// as well is the other end held unreachable.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct LinkOptions {
  // Between two heartbeats on a working connection.
  Milliseconds heartbeat_interval{1000};
  // Without any answer for this long the connection counts as silent.
  Milliseconds silence_limit{2500};
  // A fresh connection must answer its first heartbeat within this.
  Milliseconds probe_timeout{1000};
  // Between two probes of an unreachable end; doubles up to the maximum.
  Milliseconds initial_probe_interval{500};
  Milliseconds maximum_probe_interval{10000};
};

enum class LinkState {
  // The first connection has not answered yet.
  kConnecting,
  kUp,
  // The connection fell silent; a fresh one is being tried beside it.
  kProbing,
  // A fresh connection failed too; probes go on with backoff.
  kUnreachable,
};

enum class LinkActionKind {
  // Open connection `connection` and send one heartbeat on it.
  kOpen,
  // Send a heartbeat on `connection`.
  kHeartbeat,
  // Drop `connection`; requests on it that ended without answer may have run.
  kClose,
  // Report to the ServerView.
  kReportReachable,
  kReportUnreachable,
};

struct LinkAction {
  LinkActionKind kind = LinkActionKind::kOpen;
  // Numbers grow; an answer on a closed connection is ignored.
  std::uint64_t connection = 0;
};

struct LinkCounters {
  std::uint64_t heartbeats = 0;
  std::uint64_t silent_connections = 0;
  std::uint64_t failed_probes = 0;
};

// Call Start once, Tick at NextTick, and the On... events as they happen;
// perform the actions in order.
class Link {
 public:
  explicit Link(LinkOptions options) : options(options) {}

  std::vector<LinkAction> Start(MonotonicTime now);
  std::vector<LinkAction> Tick(MonotonicTime now);
  // Any bytes from the other end on this connection.
  std::vector<LinkAction> OnAnswer(std::uint64_t connection, MonotonicTime now);
  // The connection was refused, reset or closed.
  std::vector<LinkAction> OnFailed(std::uint64_t connection, MonotonicTime now);

  MonotonicTime NextTick() const { return this->next_tick; }
  LinkState State() const { return this->state; }
  // The connection that work should use; 0 when there is none.
  std::uint64_t Connection() const { return this->current; }
  const LinkCounters& Counters() const { return this->counters; }

 private:
  void Open(MonotonicTime now, std::vector<LinkAction>& actions);
  void ScheduleHeartbeat(MonotonicTime now);
  void ProbeFailed(MonotonicTime now, std::vector<LinkAction>& actions);

  LinkOptions options;
  LinkState state = LinkState::kConnecting;
  std::uint64_t next_connection = 1;
  // The connection that has answered last, 0 for none.
  std::uint64_t current = 0;
  // The fresh connection that has not answered yet, 0 for none.
  std::uint64_t fresh = 0;
  MonotonicTime last_answer{};
  MonotonicTime probe_deadline{};
  MonotonicTime next_tick{};
  Milliseconds probe_interval{0};
  LinkCounters counters;
};

}  // namespace carobbank
