// JSON-RPC methods that an entry offers to sidecars and other entries.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibHTTP/http.h"
#include "LibRPC/rpc.h"
#include "entry_control_snapshot.h"
#include "step_service.h"

namespace carobbank {

// Handlers of crashes and cleared digests that other entries report.
struct PeerCrashHandlers {
  std::function<void(const ServerCrash& crash)> on_crash;
  std::function<void(std::string_view digest)> on_cleared;
};

class PeerMethods {
 public:
  PeerMethods(EventLoop& loop,
              std::shared_ptr<const EntryControlSnapshot>& control,
              std::function<StepService&(std::string_view)> steps,
              PeerCrashHandlers crash_handlers);

  // Requires that the peer proof has been verified. Responds now, or when a
  // long poll ends.
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder);

  // Ends all long polls now and responds to later ones at once, so that none
  // delays the end of the process.
  void Drain();

  // Call after a new snapshot is set; responds to the long polls whose content
  // changed.
  void OnSnapshot();

 private:
  // `configuration {after_offset, wait_ms}`
  void Configuration(const Json::Value& parameters, RpcResponseCallback reply);
  // `step_owner {service, request_id}`: {working}
  void StepOwner(const Json::Value& parameters, RpcResponseCallback reply);

  struct LongPoll {
    std::string seen;
    std::int64_t after_offset = -1;
    RpcResponseCallback reply;
    std::unique_ptr<Timer> timer;
  };
  // Omits the documents if the peer has the configuration at `after_offset` and
  // no later one exists.
  Json::Value ConfigurationJson(std::int64_t after_offset) const;
  // Changes whenever a long poll should return.
  std::string Fingerprint() const;

  EventLoop& loop;
  std::shared_ptr<const EntryControlSnapshot>& control;
  std::function<StepService&(std::string_view)> steps;
  RpcDispatcher dispatcher;
  bool draining = false;
  std::vector<std::shared_ptr<LongPoll>> polls;
};

}  // namespace carobbank
