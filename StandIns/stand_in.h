// Base class of the stand-ins (simulated platform services): listening, POST
// /control, GET /record, and the faults common to all roles: delayed responses,
// unresponsive connections and crashes.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibHTTP/http.h"
#include "StandIns/setting_table.h"

namespace carobbank {

struct StandInOptions {
  std::string address = "127.0.0.1";
  // 0 selects a free port.
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  // Whether a crash ends the process. Otherwise the stand-in aborts its
  // connections and refuses new ones for crash_down_ms.
  bool exits_on_crash = false;
};

// Faults common to all roles, set by POST /control.
struct CommonStandInSettings {
  // Delay before each request is handled.
  std::int64_t delay_ms = 0;
  // Requests are accepted but never get a response.
  bool silent = false;
  std::int64_t crash_down_ms = 1'000;
};

class FaultInjectingResponder;

// Lives on one event loop; all calls come from the loop's thread, the
// destructor included.
class StandIn {
 public:
  StandIn(EventLoop& loop, StandInOptions options);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Fails with kUnavailable when the port is in use.
  Result<void> Listen();
  std::uint16_t Port() const { return this->port; }

  // Applies settings, faults and commands as POST /control does. At the first
  // invalid member it fails; the members before it stay applied.
  Result<void> ApplyControl(const Json::Value& members);

 protected:
  // Handles a request other than /control and /record.
  virtual void Handle(const HttpRequest& request,
                      std::shared_ptr<HttpResponder> responder) = 0;
  // Applies one member of a control request. Fails with kNotFound for an
  // unknown name.
  virtual Result<void> ApplyControlMember(const std::string& name,
                                          const Json::Value& value) = 0;
  virtual void WriteControlState(Json::Value& state) const = 0;
  // The body of GET /record: the ground truth of what happened, for independent
  // checkers.
  virtual Json::Value Record() const = 0;
  // Called on a crash: drops the state that a crash loses.
  virtual void OnDown() {}
  // Called before the stand-in listens again.
  virtual void OnUp() {}

  // Aborts every connection and restarts after crash_down_ms, or ends the
  // process with exits_on_crash.
  void Crash();
  // Runs `task` later unless the stand-in is destroyed first.
  void After(Milliseconds delay, std::function<void()> task);
  bool IsDown() const { return this->down; }

  EventLoop& loop;
  const StandInOptions options;
  SystemClock clock;
  Random random;

 private:
  void Dispatch(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  Result<void> DispatchControlMember(const std::string& name,
                                     const Json::Value& value);
  std::shared_ptr<FaultInjectingResponder> Wrap(
      const HttpRequest& request,
      std::shared_ptr<HttpResponder> responder);
  void SilenceOpenConnections();
  void Restart();

  std::uint16_t port = 0;
  std::unique_ptr<HttpServer> server;
  CommonStandInSettings common;
  bool down = false;
  // Responses in progress. Expired entries are pruned when the list is long.
  std::vector<std::weak_ptr<FaultInjectingResponder>> open_responders;
  // Retained, so that the server never sends a response for them, not even an
  // error.
  std::vector<std::shared_ptr<FaultInjectingResponder>> silenced_responders;
  std::set<std::string> known_peers;
  // Peers of connections whose requests never get a response.
  std::set<std::string> silenced_peers;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers;
  std::uint64_t next_timer = 0;
};

// Responds with {"code": code}; statuses 429 and 503 also get Retry-After.
void SendCode(HttpResponder& responder, int status, std::string_view code);

}  // namespace carobbank
