// One typed event of the timeline, and its JSON form.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

enum class EventKind {
  kAdmit,          // an entry admitted a request
  kQueue,          // a sidecar queued an attempt
  kSend,           // a request was sent to a sidecar or to a backend server
  kFirstToken,     // the first token of an attempt arrived
  kVersionChange,  // `number` is the weight version from here on
  kOrder,          // an order to an engine was issued, finished or failed
  kRefusal,        // `detail` is the problem's code
  kCommit,         // a sample was appended to its delivery stream
  kDeliver,        // a sample was delivered to its trainer
  kFinish,         // an attempt ended; `number` is its token count
  kLease,          // a lease was acquired, renewed or lost
  kDrain,          // a process or backend server began or ended its drain
  kConfiguration,  // `number` is the offset in force
  kMembership,     // an instance appeared, left or changed its incarnation
  kLinkReplaced,   // an unresponsive connection was replaced
  kQuarantine,     // a request digest was quarantined
  kRetry,          // another attempt follows
  kCancel,         // an attempt was cancelled
  kPreempt,        // live work preempted training work
  kDuplicate,      // a second attempt at a straggler, or a dropped duplicate
  kClaim,          // an idempotency key was claimed, released or done
  kStepOwnership,  // a step was accepted or taken over
  kPlatformReachability,  // the log, list or store became unreachable or came
                          // back
  kProcess,               // the process started or ended
};

std::string_view EventKindName(EventKind kind);
std::optional<EventKind> ParseEventKind(std::string_view name);
std::span<const EventKind> AllEventKinds();

// An empty string means "does not apply". An event never contains a prompt, a
// response, a token or a secret.
struct Event {
  HybridTime time;
  EventKind kind = EventKind::kProcess;
  std::string request;
  std::string step;
  std::string sample;
  std::string attempt;
  // The process that recorded the event; set by EventTimeline::Record().
  std::string instance;
  std::string data_center;
  std::string service;
  // The backend server's instance that the event is about.
  std::string server;
  std::string detail;
  std::int64_t number = 0;

  bool operator==(const Event&) const = default;
};

// Empty members are left out.
Json::Value EventToJson(const Event& event);
// Fails with kCorrupt on an unknown kind or a malformed time.
Result<Event> EventFromJson(const Json::Value& value);

}  // namespace carobbank
