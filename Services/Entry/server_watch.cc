// Calls the status method of each watched server once per interval; repeated
// failures mark a server unreachable.

#include "server_watch.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kMinHeartbeatInterval{1'000};
// A status call and its response, headers included.
constexpr std::int64_t kBytesPerHeartbeat = 900;
// Of the 4 KB/s that a daemon may spend on control.
constexpr std::int64_t kHeartbeatBytesPerSecond = 2'500;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr Milliseconds kHeartbeatTimeout{1'500};
constexpr Milliseconds kFirstHeartbeatSpacing{20};
// A failed heartbeat is repeated at once on a fresh connection; the server
// counts as unreachable only when that fails too.
constexpr std::uint32_t kFailuresToUnreachable = 2;
constexpr Milliseconds kRetryAfterFailure{100};
// A server that starts or recovers should not wait for the next full interval.
constexpr Milliseconds kIntervalUntilServing{200};

}  // namespace

ServerWatch::ServerWatch(EventLoop& loop,
                         const Clock& clock,
                         PeerRpcClient& peers,
                         ServerView& view,
                         std::function<void()> changed)
    : loop(loop),
      clock(clock),
      peers(peers),
      view(view),
      changed(std::move(changed)) {}

void ServerWatch::Watch(std::span<const Instance> servers) {
  std::map<std::string, Watched, std::less<>> next;
  for (const Instance& instance : servers) {
    const auto known = this->servers.find(instance.id);
    const bool same =
        known != this->servers.end() &&
        known->second.instance.incarnation == instance.incarnation &&
        known->second.instance.address == instance.address;
    Watched& watched = next[instance.id];
    if (same) {
      watched = std::move(known->second);
    }
    watched.instance = instance;
  }
  this->servers = std::move(next);
  // Spread out, so that an entry that starts before thousands of servers does
  // not call them all at once.
  Milliseconds delay{0};
  for (auto& [id, watched] : this->servers) {
    if (!watched.timer) {
      this->Schedule(watched, delay);
      delay += kFirstHeartbeatSpacing;
    }
  }
}

const HeartbeatStatus* ServerWatch::Find(std::string_view instance) const {
  const auto found = this->servers.find(instance);
  return found == this->servers.end() ? nullptr : &found->second.report;
}

std::vector<std::string_view> ServerWatch::Ids() const {
  std::vector<std::string_view> ids;
  for (const auto& [id, watched] : this->servers) {
    ids.push_back(id);
  }
  return ids;
}

Milliseconds ServerWatch::Interval() const {
  const auto count = static_cast<std::int64_t>(this->servers.size());
  const Milliseconds within_budget(count * kBytesPerHeartbeat *
                                   kMillisecondsPerSecond /
                                   kHeartbeatBytesPerSecond);
  return std::max(kMinHeartbeatInterval, within_budget);
}

void ServerWatch::Schedule(Watched& watched, Milliseconds delay) {
  watched.timer = this->loop.CallAfter(
      delay, [this, id = watched.instance.id] { this->Heartbeat(id); });
}

void ServerWatch::Heartbeat(const std::string& id) {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) {
    return;
  }
  const std::uint64_t incarnation = found->second.instance.incarnation;
  this->peers.Call(
      found->second.instance.address, "status", Json::objectValue,
      kHeartbeatTimeout,
      [this, id, incarnation](const Outcome<Json::Value>& response) {
        const auto watched = this->servers.find(id);
        const bool current =
            watched != this->servers.end() &&
            watched->second.instance.incarnation == incarnation;
        if (current) {
          this->OnHeartbeatResponse(id, response);
        }
      });
}

void ServerWatch::OnHeartbeatResponse(const std::string& id,
                                      const Outcome<Json::Value>& response) {
  Watched& watched = this->servers.find(id)->second;
  const std::uint64_t change_count = this->view.ChangeCount();
  if (!response.Ok()) {
    ++watched.failures;
    if (watched.failures >= kFailuresToUnreachable) {
      this->view.OnUnreachable(id);
    }
    this->Schedule(watched, watched.failures < kFailuresToUnreachable
                                ? kRetryAfterFailure
                                : this->Interval());
  } else {
    const Json::Value& status = response.Value();
    watched.failures = 0;
    HeartbeatReport report;
    report.incarnation = watched.instance.incarnation;
    report.draining = JsonBoolean(status, "draining", false);
    report.serving = JsonBoolean(status, "serving", true);
    this->view.OnReachable(id);
    this->view.OnHeartbeat(id, report);
    watched.report.version =
        static_cast<std::uint64_t>(JsonInteger(status, "version"));
    watched.report.load.running =
        static_cast<std::uint32_t>(JsonInteger(status, "running"));
    watched.report.load.waiting =
        static_cast<std::uint32_t>(JsonInteger(status, "waiting"));
    watched.report.load.max_batch =
        static_cast<std::uint32_t>(JsonInteger(status, "max_batch"));
    watched.report.load_time = this->clock.Now();
    this->Schedule(watched, report.serving || report.draining
                                ? this->Interval()
                                : kIntervalUntilServing);
  }
  // A change of liveness publishes a snapshot now; a change of load waits for
  // the next one.
  if (this->view.ChangeCount() != change_count) {
    this->changed();
  }
}

}  // namespace carobbank
