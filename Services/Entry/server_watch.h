// Sends heartbeats to the backend servers that this entry watches.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibMembership/membership.h"
#include "LibProcess/process.h"
#include "routed_pools.h"

namespace carobbank {

// Version and load that a heartbeat's response reported.
struct HeartbeatStatus {
  std::uint64_t version = 0;
  LoadHint load;
  MonotonicTime load_time{};
};

class ServerWatch {
 public:
  ServerWatch(EventLoop& loop,
              const Clock& clock,
              PeerRpcClient& peers,
              ServerView& view,
              std::function<void()> changed);

  // Watches exactly these servers; state of all others is removed.
  void Watch(std::span<const Instance> servers);
  // Null when the server is not watched; default values until its first
  // successful heartbeat.
  const HeartbeatStatus* Find(std::string_view instance) const;
  std::vector<std::string_view> Ids() const;

 private:
  struct Watched {
    Instance instance;
    HeartbeatStatus report;
    std::uint32_t failures = 0;
    std::unique_ptr<Timer> timer;
  };

  void Heartbeat(const std::string& id);
  void OnHeartbeatResponse(const std::string& id,
                           const Outcome<Json::Value>& response);
  void Schedule(Watched& watched, Milliseconds delay);
  // Interval between two heartbeats to one server. Grows with the number of
  // watched servers, so that all heartbeats together stay within this process's
  // share of control traffic.
  Milliseconds Interval() const;

  EventLoop& loop;
  const Clock& clock;
  PeerRpcClient& peers;
  ServerView& view;
  std::function<void()> changed;
  std::map<std::string, Watched, std::less<>> servers;
};

}  // namespace carobbank
