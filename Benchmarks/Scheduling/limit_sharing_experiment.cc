// Compares ways to share one server's limit among gateways, by simulation: an
// even share, shares by demand that are claimed in the log, and permits from
// the server's home. Prints what is served, the fullest window, and the calls.
//
//   Build/release/bin/limit-sharing-experiment

#include <algorithm>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "LibCore/core.h"
#include "LibScheduling/scheduling.h"

namespace carobbank {
namespace {

constexpr std::size_t kGateways = 9;
constexpr double kLimit = 6;
constexpr int kSeconds = 120;
constexpr Milliseconds kLongestWait{500};
constexpr Milliseconds kWindow{4'000};
constexpr Milliseconds kClaimPeriod{1'000};
// Between an append and its arrival at another gateway.
constexpr Milliseconds kLogDelay{10};
constexpr Milliseconds kPeerRoundTrip{3};

struct Counts {
  std::vector<MonotonicTime> sent;
  std::size_t asked = 0;
  std::size_t log_calls = 0;
  std::size_t peer_calls = 0;
};

class Sharing {
 public:
  virtual ~Sharing() = default;
  virtual void Tick(MonotonicTime /*now*/, Counts& /*counts*/) {}
  virtual void Request(std::size_t gateway,
                       MonotonicTime now,
                       Counts& counts) = 0;
};

void SendBy(PermitSchedule& schedule, MonotonicTime now, Counts& counts) {
  const Milliseconds wait = schedule.WaitTime(now);
  if (wait <= kLongestWait) {
    schedule.Take(now);
    counts.sent.push_back(now + wait);
  }
}

class EvenShare final : public Sharing {
 public:
  EvenShare() {
    for (PermitSchedule& schedule : this->schedules) {
      schedule.SetRate(kLimit / static_cast<double>(kGateways));
    }
  }
  void Request(std::size_t gateway,
               MonotonicTime now,
               Counts& counts) override {
    SendBy(this->schedules[gateway], now, counts);
  }

 private:
  std::vector<PermitSchedule> schedules{kGateways};
};

// Each gateway claims a share by its recent demand, and raises it only by what
// the claims that it has read leave free.
class ClaimedShares final : public Sharing {
 public:
  void Tick(MonotonicTime now, Counts& counts) override {
    for (std::size_t index = 0; index < kGateways; ++index) {
      Member& member = this->members[index];
      if (now < member.next_claim) {
        continue;
      }
      // Spread over the period.
      member.next_claim = now + kClaimPeriod +
                          Milliseconds(member.claims++ == 0 ? 97 * index : 0);
      while (!member.demand.empty() &&
             member.demand.front() < now - kClaimPeriod) {
        member.demand.pop_front();
      }
      double others_demand = 0;
      double others_share = 0;
      for (std::size_t other = 0; other < kGateways; ++other) {
        if (other != index) {
          others_demand += this->members[other].claimed_demand;
          others_share += this->members[other].share;
        }
      }
      const auto demand = static_cast<double>(member.demand.size());
      const double wanted =
          demand == 0 ? 0 : kLimit * demand / (demand + others_demand);
      const double share =
          std::min(wanted, std::max(kLimit - others_share, 0.0));
      if (demand > 0 || member.share > 0) {
        ++counts.log_calls;
      }
      member.claimed_demand = demand;
      member.share = share;
      member.usable_at = now + kLogDelay;
      member.schedule.SetRate(share);
    }
  }
  void Request(std::size_t gateway,
               MonotonicTime now,
               Counts& counts) override {
    Member& member = this->members[gateway];
    member.demand.push_back(now);
    if (member.share > 0 && now >= member.usable_at) {
      SendBy(member.schedule, now, counts);
    }
  }

 private:
  struct Member {
    PermitSchedule schedule;
    std::deque<MonotonicTime> demand;
    double claimed_demand = 0;
    double share = 0;
    MonotonicTime usable_at{};
    MonotonicTime next_claim{};
    std::size_t claims = 0;
  };
  std::vector<Member> members{kGateways};
};

class HomePermits final : public Sharing {
 public:
  void Request(std::size_t gateway,
               MonotonicTime now,
               Counts& counts) override {
    PermitRequest request;
    request.gateway = std::to_string(gateway);
    request.server_id = "server";
    request.per_second = kLimit;
    request.longest_wait = kLongestWait;
    counts.peer_calls += gateway == 0 ? 0 : 1;
    const PermitAnswer answer =
        this->home.Decide(request, MonotonicTime(), now + kPeerRoundTrip / 2);
    if (answer.granted) {
      counts.sent.push_back(now + kPeerRoundTrip + answer.wait);
    }
  }

 private:
  PermitHome home;
};

struct Demand {
  const char* name;
  double per_second;
  // The gateway that has all of it changes with this period; zero: all have the
  // same demand.
  int change_s;
};

void Play(const char* name, Sharing& sharing, const Demand& demand) {
  Random random(7);
  Counts counts;
  const MonotonicTime begin = MonotonicTime(std::chrono::hours(1));
  for (int ms = 0; ms < kSeconds * 1'000; ++ms) {
    const MonotonicTime now = begin + Milliseconds(ms);
    sharing.Tick(now, counts);
    if (random.Unit() >= demand.per_second / 1'000) {
      continue;
    }
    ++counts.asked;
    const auto gateway =
        demand.change_s == 0
            ? random.Next() % kGateways
            : static_cast<std::size_t>(ms / (demand.change_s * 1'000)) %
                  kGateways;
    sharing.Request(gateway, now, counts);
  }
  std::sort(counts.sent.begin(), counts.sent.end());
  std::size_t most = 0;
  for (auto first = counts.sent.begin(); first != counts.sent.end(); ++first) {
    const auto end =
        std::lower_bound(first, counts.sent.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  const double possible =
      std::min(static_cast<double>(counts.asked), kLimit * kSeconds);
  std::printf("%-16s %-22s %8.2f %14.2f %12.2f %12.2f\n", demand.name, name,
              static_cast<double>(counts.sent.size()) / possible,
              static_cast<double>(most) / (kLimit * 4),
              static_cast<double>(counts.log_calls) / kSeconds,
              static_cast<double>(counts.peer_calls) / kSeconds);
}

int Run() {
  std::printf("%zu gateways, limit %.0f a second, %d s\n", kGateways, kLimit,
              kSeconds);
  std::printf("%-16s %-22s %8s %14s %12s %12s\n", "demand", "sharing", "served",
              "fullest/limit", "log calls/s", "peer calls/s");
  for (const Demand& demand :
       {Demand{"9/s, even", 9, 0}, Demand{"4/s, even", 4, 0},
        Demand{"9/s, one", 9, 1'000}, Demand{"4/s, one", 4, 1'000},
        Demand{"9/s, moving 3 s", 9, 3}}) {
    EvenShare even;
    ClaimedShares claimed;
    HomePermits permits;
    Play("even share", even, demand);
    Play("claims in the log", claimed, demand);
    Play("permits from a home", permits, demand);
  }
  return 0;
}

}  // namespace
}  // namespace carobbank

int main() {
  return carobbank::Run();
}
