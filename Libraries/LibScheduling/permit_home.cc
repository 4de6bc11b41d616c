// Decides on permits, by the newest limit that any gateway has heard of.

#include "LibScheduling/permit_home.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr Milliseconds kRemovalPeriod{60'000};
constexpr double kLowestRate = 0.25;

}  // namespace

double PermitHome::RateFor(double limit) {
  return std::max(limit, kLowestRate);
}

PermitAnswer PermitHome::Decide(const PermitRequest& request,
                                MonotonicTime home_since,
                                MonotonicTime now) {
  this->RemoveOld(now);
  this->gateways[request.gateway] = now;
  Server& server = this->ServerOf(request, home_since, now);
  PermitAnswer answer = TakeFrom(server.schedule, request, now);
  answer.gateways = this->gateways.size();
  return answer;
}

PermitAnswer PermitHome::TakeFrom(PermitSchedule& schedule,
                                  const PermitRequest& request,
                                  MonotonicTime now) {
  PermitAnswer answer;
  answer.wait = schedule.WaitTime(now);
  const Milliseconds longest_wait =
      request.owed ? Milliseconds(0) : request.longest_wait;
  answer.granted = answer.wait <= longest_wait;
  if (answer.granted) {
    schedule.Take(now);
  }
  return answer;
}

PermitHome::Server& PermitHome::ServerOf(const PermitRequest& request,
                                         MonotonicTime home_since,
                                         MonotonicTime now) {
  const auto [found, is_new] = this->servers.try_emplace(request.server_id);
  Server& server = found->second;
  if (is_new || server.start < request.server_start) {
    server = Server();
    server.start = request.server_start;
  }
  if (is_new || server.home_since != home_since) {
    server.home_since = home_since;
    server.schedule.BlockUntil(home_since + kTakeoverWait);
  }
  server.asked_at = now;
  const MonotonicTime named_at = now - request.limit_age;
  if (server.start == request.server_start &&
      named_at >= server.limit_named_at) {
    server.limit_named_at = named_at;
    server.schedule.SetRate(RateFor(request.per_second));
  }
  return server;
}

void PermitHome::RemoveOld(MonotonicTime now) {
  if (this->removed_at != MonotonicTime::min() &&
      now - this->removed_at < kRemovalPeriod) {
    return;
  }
  this->removed_at = now;
  std::erase_if(this->servers, [now](const auto& entry) {
    return now - entry.second.asked_at > kRetention;
  });
  std::erase_if(this->gateways, [now](const auto& entry) {
    return now - entry.second > kRetention;
  });
}

}  // namespace carobbank
