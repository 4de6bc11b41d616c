// Health of the connection between this process and one other instance. An
// unresponsive connection is replaced; the peer counts as unreachable only when
// a new connection fails as well.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct LinkOptions {
  // Interval between two heartbeats on a working connection.
  Milliseconds heartbeat_interval{1000};
  // Without any response for this long the connection counts as unresponsive.
  Milliseconds response_timeout{2500};
  // Time within which the first heartbeat on a new connection must be answered.
  Milliseconds probe_timeout{1000};
  // Interval between two probes of an unreachable peer; doubles up to the
  // maximum.
  Milliseconds initial_probe_interval{500};
  Milliseconds maximum_probe_interval{10000};
};

enum class LinkState {
  // No response has arrived on the first connection yet.
  kConnecting,
  kUp,
  // The connection is unresponsive or closed; a new one is being tried.
  kProbing,
  // A new connection failed too; probes continue with backoff.
  kUnreachable,
};

enum class LinkActionKind {
  // Open connection `connection` and send one heartbeat on it.
  kOpen,
  // Send a heartbeat on `connection`.
  kHeartbeat,
  // Close `connection`; requests on it that ended without a response may have
  // run.
  kClose,
  // Report to the ServerView.
  kReportReachable,
  kReportUnreachable,
};

struct LinkAction {
  LinkActionKind kind = LinkActionKind::kOpen;
  // Connection numbers increase; a response on a closed connection is ignored.
  std::uint64_t connection = 0;
};

struct LinkCounters {
  std::uint64_t heartbeats = 0;
  std::uint64_t unresponsive_connections = 0;
  std::uint64_t failed_probes = 0;
};

// Call Start() once, Tick() at NextTick(), and the On... handlers on their
// events. Perform the returned actions in order.
class Link {
 public:
  explicit Link(LinkOptions options) : options(options) {}

  std::vector<LinkAction> Start(MonotonicTime now);
  std::vector<LinkAction> Tick(MonotonicTime now);
  // Bytes arrived from the peer on this connection.
  std::vector<LinkAction> OnResponse(std::uint64_t connection,
                                     MonotonicTime now);
  // The connection was refused, reset or closed.
  std::vector<LinkAction> OnFailed(std::uint64_t connection, MonotonicTime now);

  MonotonicTime NextTick() const { return this->next_tick; }
  LinkState State() const { return this->state; }
  // The connection to send requests on; 0 when there is none.
  std::uint64_t Connection() const { return this->current; }
  const LinkCounters& Counters() const { return this->counters; }

 private:
  void Open(MonotonicTime now, std::vector<LinkAction>& actions);
  void ScheduleHeartbeat(MonotonicTime now);
  void ProbeFailed(MonotonicTime now, std::vector<LinkAction>& actions);

  LinkOptions options;
  LinkState state = LinkState::kConnecting;
  std::uint64_t next_connection = 1;
  // The connection of the last response, 0 for none.
  std::uint64_t current = 0;
  // The new connection without a response yet, 0 for none.
  std::uint64_t pending = 0;
  MonotonicTime last_response{};
  MonotonicTime probe_deadline{};
  MonotonicTime next_tick{};
  Milliseconds probe_interval{0};
  LinkCounters counters;
};

}  // namespace carobbank
