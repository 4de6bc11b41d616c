// Holds plain calls back at this gateway while the servers of their service are
// overloaded, and refuses those that would be served too late. The decisions
// are LibScheduling's AdmissionQueue, one for each service; this part measures,
// keeps the timers and reports. Without the setting `admission` it does
// nothing.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibScheduling/scheduling.h"
#include "gateway_environment.h"

namespace carobbank {

class PlainCallAdmission;

struct CallToAdmit {
  std::string_view service;
  // The route's name, by which response times are learned.
  std::string_view route;
  // Time within which a response of the route has its full value.
  Milliseconds objective{0};
  // Empty without workspaces.
  std::string_view workspace;
  std::optional<std::int64_t> workspace_priority;
  std::int64_t route_priority = 0;
  // The same in each attempt of a caller.
  std::string_view digest;
  std::size_t bytes = 0;
  MonotonicTime deadline;
};

enum class AdmissionState : std::uint8_t { kSend, kWait, kRefused };

// A call that waits or is in flight. The destructor removes it from the queue,
// or ends it.
class AdmissionPass {
 public:
  // Receives kSend or kRefused once, when the wait ends.
  using Callback = std::function<void(AdmissionState)>;

  ~AdmissionPass();
  AdmissionPass(const AdmissionPass&) = delete;
  AdmissionPass& operator=(const AdmissionPass&) = delete;

  AdmissionState State() const { return this->state; }
  // For a call that is refused, here or by all servers: how long its caller
  // should wait. The caller's next attempt then goes before later calls.
  Milliseconds Refuse();
  // A server refused an attempt for lack of capacity.
  void OnRefused(MonotonicTime attempt_began);
  // A server answered. `streamed`: at the pace at which its caller reads.
  void OnAnswered(MonotonicTime attempt_began, bool streamed);

 private:
  friend class PlainCallAdmission;
  struct Service;

  AdmissionPass(PlainCallAdmission& admission,
                Service& service,
                const CallToAdmit& call);

  PlainCallAdmission& admission;
  Service& service;
  std::string route;
  Milliseconds objective;
  std::string key;
  MonotonicTime arrived;
  MonotonicTime deadline;
  AdmissionState state = AdmissionState::kSend;
  AdmissionId id = 0;
  // Expected wait of a refused call.
  std::optional<Milliseconds> wait;
  MonotonicTime asked_at;
  MonotonicTime sent_at;
  bool answered = false;
  Callback decided;
};

class PlainCallAdmission {
 public:
  explicit PlainCallAdmission(GatewayEnvironment& environment);
  ~PlainCallAdmission();

  bool Enabled() const { return this->environment.settings.admission; }
  // Sends, holds back or refuses the call; `decided` is called only for a call
  // that waits, never before Ask() returns.
  std::unique_ptr<AdmissionPass> Ask(const CallToAdmit& call,
                                     AdmissionPass::Callback decided);
  // Whether the service has no capacity to spare, for example for hedges.
  bool Congested(std::string_view service) const;
  std::size_t Queued() const { return this->budget.calls; }

 private:
  friend class AdmissionPass;
  using Service = AdmissionPass::Service;

  Service& EnsureService(std::string_view name);
  void UpdateSlots(Service& service, MonotonicTime now);
  // Calls Pump() from the loop: a call that ends may be in the middle of
  // another function of its own or of its owner.
  void PostPump(Service& service);
  // Sends and refuses waiting calls whose time has come.
  void Pump(Service& service);
  void EndWait(Service& service,
               AdmissionId id,
               AdmissionState state,
               std::string_view outcome);
  void ScheduleExpiry(Service& service);
  void OnQueued(Service& service);
  void CheckQueueingEnded(Service& service);
  void Report(const Service& service);
  void Count(const Service& service, std::string_view outcome);

  GatewayEnvironment& environment;
  AdmissionBudget budget;
  RefusedCalls refused;
  // One for each service of the configurations so far.
  std::map<std::string, std::unique_ptr<Service>, std::less<>> services;
};

}  // namespace carobbank
