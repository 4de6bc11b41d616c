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

// Who hears of what other entries tell about crashes.
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

  // The proof has been checked. Answers now, or when a long poll ends.
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder);

  // Answers every long poll now and from now on at once, so that none keeps the
  // process from ending.
  void Drain();

  // A new snapshot is in place: answers the long polls that it concerns.
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
  // Without the documents for a peer that has those of `after_offset`.
  Json::Value ConfigurationJson(std::int64_t after_offset) const;
  // Changes whenever a poller should hear of something.
  std::string Fingerprint() const;

  EventLoop& loop;
  std::shared_ptr<const EntryControlSnapshot>& control;
  std::function<StepService&(std::string_view)> steps;
  RpcDispatcher dispatcher;
  bool draining = false;
  std::vector<std::shared_ptr<LongPoll>> polls;
};

}  // namespace carobbank
