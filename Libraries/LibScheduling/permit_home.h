// Shares the limits of servers among gateways. Each server has one home
// gateway, which permits every request to the server, so that shares follow
// demand and their sum does not depend on how many gateways there are. Pure.

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "LibCore/core.h"
#include "LibScheduling/permit_schedule.h"

namespace carobbank {

// A gateway asks to send one request.
struct PermitRequest {
  std::string gateway;
  std::string server_id;
  WallMilliseconds server_start = 0;
  // The limit as the gateway knows it, and the time since a response named it.
  double per_second = 0;
  Milliseconds limit_age{0};
  // A sample or a reward call. It gets no time in the future, so that a call
  // waits behind one of them at most.
  bool owed = false;
  // A call is refused rather than permitted after a longer wait.
  Milliseconds longest_wait{0};
};

struct PermitAnswer {
  bool granted = false;
  // Granted: until the request may be sent. Refused: until the server has a
  // free time.
  Milliseconds wait{0};
  // Gateways that asked this home lately, at least one.
  std::size_t gateways = 1;
};

class PermitHome {
 public:
  // `home_since`: when this gateway became the home of the server. The home
  // before may permit requests for a moment longer, so the first ones wait.
  PermitAnswer Decide(const PermitRequest& request,
                      MonotonicTime home_since,
                      MonotonicTime now);

  // Takes the schedule's next free time for the request, unless it comes too
  // late for it.
  static PermitAnswer TakeFrom(PermitSchedule& schedule,
                               const PermitRequest& request,
                               MonotonicTime now);

  // Requests per second that all gateways together send to a server that names
  // the limit. More than a limit close to 0, because only the response to a
  // request tells that the limit has ended.
  static double RateFor(double limit);

  // A home that was replaced notices when it renews its membership, or when its
  // peers tell that it is cut off from the log.
  static constexpr Milliseconds kTakeoverWait{500};
  // Gateways and servers without a request for this long are forgotten.
  static constexpr Milliseconds kRetention{600'000};

 private:
  struct Server {
    WallMilliseconds start = 0;
    MonotonicTime home_since{};
    MonotonicTime limit_named_at = MonotonicTime::min();
    MonotonicTime asked_at{};
    PermitSchedule schedule;
  };

  Server& ServerOf(const PermitRequest& request,
                   MonotonicTime home_since,
                   MonotonicTime now);
  void RemoveOld(MonotonicTime now);

  std::map<std::string, Server, std::less<>> servers;
  // When each gateway last asked.
  std::map<std::string, MonotonicTime, std::less<>> gateways;
  MonotonicTime removed_at = MonotonicTime::min();
};

}  // namespace carobbank
