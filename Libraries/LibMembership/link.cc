// The state machine of one link.

#include "LibMembership/link.h"

#include <algorithm>

namespace carobbank {

std::vector<LinkAction> Link::Start(MonotonicTime now) {
  std::vector<LinkAction> actions;
  this->Open(now, actions);
  return actions;
}

void Link::Open(MonotonicTime now, std::vector<LinkAction>& actions) {
  this->pending = this->next_connection++;
  this->probe_deadline = now + this->options.probe_timeout;
  this->next_tick = this->probe_deadline;
  actions.push_back({LinkActionKind::kOpen, this->pending});
}

std::vector<LinkAction> Link::Tick(MonotonicTime now) {
  std::vector<LinkAction> actions;
  if (now < this->next_tick) {
    return actions;
  }
  if (this->pending != 0) {
    this->ProbeFailed(now, actions);
    return actions;
  }
  if (this->current == 0) {
    this->Open(now, actions);
    return actions;
  }
  if (now - this->last_response >= this->options.response_timeout) {
    ++this->counters.unresponsive_connections;
    this->state = LinkState::kProbing;
    this->Open(now, actions);
    return actions;
  }
  ++this->counters.heartbeats;
  actions.push_back({LinkActionKind::kHeartbeat, this->current});
  this->ScheduleHeartbeat(now);
  return actions;
}

void Link::ScheduleHeartbeat(MonotonicTime now) {
  this->next_tick =
      std::min(now + this->options.heartbeat_interval,
               this->last_response + this->options.response_timeout);
}

std::vector<LinkAction> Link::OnResponse(std::uint64_t connection,
                                         MonotonicTime now) {
  std::vector<LinkAction> actions;
  const bool known = connection != 0 && (connection == this->current ||
                                         connection == this->pending);
  if (!known) {
    return actions;
  }
  const bool from_pending = connection == this->pending;
  const std::uint64_t dropped = from_pending ? this->current : this->pending;
  const bool was_up = this->state == LinkState::kUp;
  const bool was_probing = this->state == LinkState::kProbing;
  this->current = connection;
  this->pending = 0;
  this->last_response = now;
  this->state = LinkState::kUp;
  this->probe_interval = Milliseconds(0);
  if (dropped != 0) {
    actions.push_back({LinkActionKind::kClose, dropped});
  }
  if (!was_up && !was_probing) {
    actions.push_back({LinkActionKind::kReportReachable, connection});
  }
  if (!was_up) {
    this->ScheduleHeartbeat(now);
  }
  return actions;
}

std::vector<LinkAction> Link::OnFailed(std::uint64_t connection,
                                       MonotonicTime now) {
  std::vector<LinkAction> actions;
  if (connection == 0) {
    return actions;
  }
  if (connection == this->pending) {
    this->ProbeFailed(now, actions);
    return actions;
  }
  if (connection != this->current) {
    return actions;
  }
  // The connection ended. Only a failed new connection shows that the peer is
  // unreachable.
  this->current = 0;
  if (this->pending == 0) {
    this->state = LinkState::kProbing;
    this->Open(now, actions);
  }
  return actions;
}

void Link::ProbeFailed(MonotonicTime now, std::vector<LinkAction>& actions) {
  ++this->counters.failed_probes;
  actions.push_back({LinkActionKind::kClose, this->pending});
  this->pending = 0;
  if (this->current != 0) {
    actions.push_back({LinkActionKind::kClose, this->current});
    this->current = 0;
  }
  if (this->state != LinkState::kUnreachable) {
    this->state = LinkState::kUnreachable;
    actions.push_back({LinkActionKind::kReportUnreachable, 0});
  }
  this->probe_interval = this->probe_interval.count() == 0
                             ? this->options.initial_probe_interval
                             : std::min(this->options.maximum_probe_interval,
                                        this->probe_interval * 2);
  this->next_tick = now + this->probe_interval;
}

}  // namespace carobbank
