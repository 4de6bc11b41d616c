// What every stand-in has in common: its port, POST /control and GET /record,
// and the faults that need nothing of the role: slow answers, silent
// connections and crashes.

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
  // 0 takes a free port.
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  // Whether a crash ends the process. Otherwise the stand-in drops its
  // connections and refuses new ones for crash_down_ms.
  bool exits_on_crash = false;
};

// Faults of every role, switched by POST /control.
struct CommonSettings {
  // Every answer waits that long.
  std::int64_t delay_ms = 0;
  // Requests are taken in and never answered.
  bool silent = false;
  std::int64_t crash_down_ms = 1'000;
};

class GuardedResponder;

// Lives on one event loop; all calls come from the loop's thread, the
// destructor included.
class StandIn {
 public:
  StandIn(EventLoop& loop, StandInOptions options);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Fails with kUnavailable when the port is taken.
  Result<void> Listen();
  std::uint16_t Port() const { return this->port; }

  // Takes settings, faults and commands as POST /control does: all or, at the
  // first wrong one, those before it.
  Result<void> Control(const Json::Value& members);

 protected:
  // One request that is neither /control nor /record.
  virtual void Handle(const HttpRequest& request,
                      std::shared_ptr<HttpResponder> responder) = 0;
  // One member of a control request. Fails with kNotFound for an unknown name.
  virtual Result<void> ControlMember(const std::string& name,
                                     const Json::Value& value) = 0;
  virtual void ShowControl(Json::Value& shown) const = 0;
  // What truly happened, for independent checkers.
  virtual Json::Value Record() const = 0;
  // Called when the stand-in goes down: what a crash loses is dropped here.
  virtual void OnDown() {}
  // Called before the stand-in listens again.
  virtual void OnUp() {}

  // Cuts every connection, and comes back after crash_down_ms.
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
  Result<void> ControlOne(const std::string& name, const Json::Value& value);
  std::shared_ptr<GuardedResponder> Guard(
      const HttpRequest& request,
      std::shared_ptr<HttpResponder> responder);
  void SilenceOpenConnections();
  void ComeBack();

  std::uint16_t port = 0;
  std::unique_ptr<HttpServer> server;
  CommonSettings common;
  bool down = false;
  // Every answer in progress; expired ones are dropped now and then.
  std::vector<std::weak_ptr<GuardedResponder>> open_answers;
  // Kept alive so that they are never answered, not even with an error.
  std::vector<std::shared_ptr<GuardedResponder>> silenced_answers;
  std::set<std::string> known_peers;
  // Connections that stay silent for good.
  std::set<std::string> silenced_peers;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers;
  std::uint64_t next_timer = 0;
};

// Answers {"code": code}, with Retry-After where the status calls for it.
void SendCode(HttpResponder& responder, int status, std::string_view code);

}  // namespace carobbank
